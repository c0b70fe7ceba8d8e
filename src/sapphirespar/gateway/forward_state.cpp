// Names of the ends of attempts, and remaining times.
#include "forward_state.hpp"

#include <algorithm>

namespace sapphirespar::gateway {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::string_view
ToText(attempt_end aEnd)
{
  switch (aEnd) {
    case attempt_end::Relayed:
      return "relayed";
    case attempt_end::CallerDisconnected:
      return "caller_gone";
    case attempt_end::Superseded:
      return "superseded";
    case attempt_end::NotSent:
      return "not_sent";
    case attempt_end::NotRun:
      return "not_run";
    case attempt_end::Failed:
      return "failed";
    case attempt_end::Broken:
      return "broken";
    case attempt_end::Moved:
      return "moved";
    case attempt_end::TimedOut:
      break;
  }
  return "silent";
}

std::string_view
ToText(run_move_end aEnd)
{
  switch (aEnd) {
    case run_move_end::NotSent:
      return "not_sent";
    case run_move_end::Copied:
      return "copied";
    case run_move_end::NoSuchRun:
      return "no_such_run";
    case run_move_end::Busy:
      return "busy";
    case run_move_end::NoRoom:
      return "no_room";
    case run_move_end::Unknown:
      break;
  }
  return "unknown";
}

milliseconds
LeftUntil(steady_time aTime)
{
  const auto left =
    std::chrono::duration_cast<milliseconds>(aTime - steady_clock::now());
  return std::max(left, milliseconds::zero());
}

} // namespace sapphirespar::gateway
