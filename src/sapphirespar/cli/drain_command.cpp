// The command that starts or ends the drain of an upstream.
#include "commands.hpp"

#include "sapphirespar/upstream/drain_watcher.hpp"

#include <string_view>

namespace sapphirespar::cli {
namespace {

using upstream::change_kind;
using upstream::object_change;

// A drain is in force while its object exists at the platform. aValue is the
// current value of the object, or empty if the object does not exist.
object_change
BeginDrain(std::string_view aValue, store_era)
{
  return aValue.empty() ? object_change{ change_kind::Write, "{}" }
                        : object_change{ change_kind::Keep, {} };
}

object_change
EndDrain(std::string_view aValue, store_era)
{
  return { aValue.empty() ? change_kind::Keep : change_kind::Remove, {} };
}

} // namespace

exit_code
Drain(const ctl_options& aOptions, ctl_streams aStreams)
{
  const auto updated =
    RunUpdate(aOptions.mConnection,
              { std::string(upstream::kDrainKind), aOptions.mUpstream },
              aOptions.mEnd ? EndDrain : BeginDrain);
  if (!updated) {
    aStreams.mError << "sapphirespar-ctl: " << updated.error().mProblem << '\n';
    return exit_code::Failed;
  }
  if (updated.value() != upstream::update_status::Ok) {
    aStreams.mError << "sapphirespar-ctl: the platform at "
                    << aOptions.mConnection.mPlatform
                    << " did not confirm the change in time; it may or may "
                       "not be in force\n";
    return exit_code::Failed;
  }
  aStreams.mOut << aOptions.mUpstream
                << (aOptions.mEnd ? " receives new work again\n"
                                  : " receives no new work\n");
  return exit_code::Ok;
}

} // namespace sapphirespar::cli
