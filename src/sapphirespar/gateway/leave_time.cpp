// Sends the question on a connection of its own.
#include "leave_time.hpp"

#include "sapphirespar/base/boot_clock.hpp"
#include "sapphirespar/base/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAnswerTime{ 300 };

// A lost answer is asked for once more.
constexpr unsigned kMaximumQueries = 2;

asio::awaitable<void>
Ask(const forward_services& aServices, upstream_ptr aUpstream)
{
  const auto sent = BootNow();
  wire::endpoint endpoint;
  endpoint.mAddress = aUpstream->mEntry.mAddress;
  endpoint.mPort = aUpstream->mEntry.mPort;
  auto request = aServices.mProtocol.mStateRequest();
  // The answer names no call, so none may be late on the connection.
  const auto answer =
    co_await aServices.mClient.Fetch(std::move(endpoint),
                                     std::move(request),
                                     kAnswerTime,
                                     wire::connection_choice::Fresh);
  std::optional<milliseconds> left;
  if (answer && IsSuccess(answer.value().mStatus)) {
    left = aServices.mProtocol.mReadLeavesIn(aUpstream->mEntry,
                                             answer.value().mBody);
  }
  aUpstream->mIsAskedWhenItLeaves = false;
  if (left) {
    aUpstream->mLeavesAt = sent + *left;
  }
  LogEvent(
    log_level::Info,
    "upstream_reclaimed",
    { { "upstream", aUpstream->mEntry.mId.mText },
      { "leaves_in_ms", left ? left->count() : -1 },
      { "queries", aUpstream->mLeaveQueries },
      { "own_running", aUpstream->mOwnLoad.mRunning },
      { "took_ms",
        std::chrono::duration_cast<milliseconds>(BootNow() - sent).count() } });
}

} // namespace

void
AskWhenItLeaves(const asio::any_io_executor& aExecutor,
                const forward_services& aServices,
                const upstream_ptr& aUpstream)
{
  if (aUpstream->mLeavesAt || aUpstream->mIsAskedWhenItLeaves ||
      aUpstream->mLeaveQueries >= kMaximumQueries) {
    return;
  }
  aUpstream->mIsAskedWhenItLeaves = true;
  ++aUpstream->mLeaveQueries;
  asio::co_spawn(aExecutor, Ask(aServices, aUpstream), asio::detached);
}

} // namespace sapphirespar::gateway
