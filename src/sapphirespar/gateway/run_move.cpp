// Calls the engine that a run leaves, and keeps what its replies tell.
#include "run_move.hpp"

#include "sapphirespar/base/boot_clock.hpp"
#include "sapphirespar/base/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A call is answered when the copy is complete, behind those of other runs.
constexpr milliseconds kCopyTimeout{ 2000 };
constexpr milliseconds kStopTimeout{ 1000 };
constexpr milliseconds kFreeTimeout{ 500 };

// A run is not stopped for a copy that is older than this, as engines drop
// copies that are not used.
constexpr milliseconds kCopyLife{ 1500 };

constexpr std::size_t kReplyLimitBytes = 4096;

// An engine that has stopped a run closes its stream within this time.
constexpr milliseconds kCloseTime{ 200 };

wire::endpoint
EndpointOf(const upstream_entry& aEntry)
{
  wire::endpoint endpoint;
  endpoint.mAddress = aEntry.mAddress;
  endpoint.mPort = aEntry.mPort;
  return endpoint;
}

entry_point
AddressOf(const upstream_entry& aEntry)
{
  return { aEntry.mAddress, aEntry.mPort };
}

} // namespace

std::string_view
ToText(run_move_state aState)
{
  switch (aState) {
    case run_move_state::Copying:
      return "copying";
    case run_move_state::Stopping:
      return "stopping";
    case run_move_state::Stopped:
      return "stopped";
    case run_move_state::NotMoved:
      return "not_moved";
    case run_move_state::Unknown:
      break;
  }
  return "unknown";
}

run_move::run_move(asio::any_io_executor aExecutor,
                   const forward_services& aServices,
                   std::string aRequestId,
                   upstream_ptr aSource,
                   wire::call_abort_ptr aSourceCall,
                   attempt_target aTarget)
  : mServices(aServices)
  , mRequestId(std::move(aRequestId))
  , mSource(std::move(aSource))
  , mSourceCall(std::move(aSourceCall))
  , mDestination(aTarget.mUpstream)
  , mTarget(std::move(aTarget))
  , mWake(std::move(aExecutor))
{
}

void
run_move::Start()
{
  const auto run = [](run_move_ptr aSelf) -> asio::awaitable<void> {
    co_await aSelf->Run();
  };
  asio::co_spawn(mWake.get_executor(), run(shared_from_this()), asio::detached);
}

bool
run_move::MayHaveStopped() const
{
  return mState == run_move_state::Stopping ||
         mState == run_move_state::Stopped || mState == run_move_state::Unknown;
}

asio::awaitable<void>
run_move::Wait()
{
  while (mState == run_move_state::Copying ||
         mState == run_move_state::Stopping) {
    mWake.expires_at(steady_time::max());
    co_await mWake.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

std::optional<attempt_target>
run_move::TakeTarget()
{
  if (mState != run_move_state::Stopped || !mTarget) {
    return std::nullopt;
  }
  auto target = std::exchange(mTarget, std::nullopt);
  target->mCopy =
    run_copy{ AddressOf(mSource->mEntry), std::exchange(mHandle, {}) };
  return target;
}

void
run_move::Abandon()
{
  if (std::exchange(mAbandoned, true)) {
    return;
  }
  mTarget.reset();
  const bool isOver =
    mState != run_move_state::Copying && mState != run_move_state::Stopping;
  if (isOver && !mHandle.empty()) {
    const auto free = [](run_move_ptr aSelf) -> asio::awaitable<void> {
      co_await aSelf->Free();
    };
    asio::co_spawn(
      mWake.get_executor(), free(shared_from_this()), asio::detached);
  }
}

asio::awaitable<void>
run_move::Run()
{
  const auto copied = co_await Call(false);
  mHandle = copied.mHandle;
  if (copied.mEnd != run_move_end::Copied) {
    SetState(run_move_state::NotMoved, ToText(copied.mEnd));
    co_return;
  }
  mCopiedAt = BootNow();
  if (MayStop()) {
    SetState(run_move_state::Stopping, {});
    const auto reply = co_await Call(true);
    OnStopReply(reply);
  } else {
    SetState(run_move_state::NotMoved, "copy_useless");
  }
  if (mState == run_move_state::NotMoved || mAbandoned) {
    co_await Free();
    co_return;
  }
  if (mState == run_move_state::Stopped) {
    // All that the run has generated has arrived by then.
    asio::steady_timer timer(mWake.get_executor(), kCloseTime);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    mSourceCall->Abort();
  }
}

// Whether the run may be stopped: the copy is wanted, and can be used when the
// call is written, which may be some time after the copy was made.
bool
run_move::MayStop() const
{
  return !mAbandoned && mDestination->TakesWork() &&
         BootNow() - mCopiedAt < kCopyLife;
}

asio::awaitable<run_move_reply>
run_move::Call(bool aStops)
{
  // Replies name no call, so that each has a connection on which no other
  // answer can be late.
  auto request = mServices.mProtocol.mMoveRequest(
    { mRequestId, AddressOf(mDestination->mEntry), aStops });
  wire::send_check maySend = [this, aStops](wire::http_request&) {
    return aStops ? MayStop() : !mAbandoned;
  };
  auto endpoint = EndpointOf(mSource->mEntry);
  auto opened =
    co_await mServices.mClient.Open(std::move(endpoint),
                                    std::move(request),
                                    aStops ? kStopTimeout : kCopyTimeout,
                                    wire::connection_choice::Fresh,
                                    nullptr,
                                    std::move(maySend));
  if (!opened) {
    co_return opened.error().mBytesWritten
      ? run_move_reply{}
      : run_move_reply{ run_move_end::NotSent, mHandle };
  }
  auto& stream = *opened.value();
  std::string body;
  while (!stream.Finished()) {
    const auto piece = co_await stream.Read(kFreeTimeout);
    if (!piece || body.size() > kReplyLimitBytes) {
      co_return run_move_reply{};
    }
    body += piece.value();
  }
  co_return mServices.mProtocol.mReadMoveReply(stream.Head().mStatus, body);
}

void
run_move::OnStopReply(const run_move_reply& aReply)
{
  using enum run_move_end;
  switch (aReply.mEnd) {
    case Copied:
      mHandle = aReply.mHandle;
      SetState(run_move_state::Stopped, {});
      break;
    case NotSent:
    case NoSuchRun:
    case Busy:
      // The run goes on, or has ended by itself.
      SetState(run_move_state::NotMoved, ToText(aReply.mEnd));
      break;
    case NoRoom:
    case Unknown:
      SetState(run_move_state::Unknown, ToText(aReply.mEnd));
      break;
  }
}

// Frees the copy at both engines. Without a reply it expires by itself.
asio::awaitable<void>
run_move::Free()
{
  const auto handle = std::exchange(mHandle, {});
  if (!handle.empty()) {
    auto endpoint = EndpointOf(mSource->mEntry);
    auto request = mServices.mProtocol.mFreeCopyRequest(handle);
    co_await mServices.mClient.Fetch(std::move(endpoint),
                                     std::move(request),
                                     kFreeTimeout,
                                     wire::connection_choice::Fresh);
  }
}

void
run_move::SetState(run_move_state aState, std::string_view aDetail)
{
  mState = aState;
  const auto ms = [](auto aTime) {
    return std::chrono::duration_cast<milliseconds>(aTime).count();
  };
  LogEvent(log_level::Info,
           "run_move",
           { { "request", mRequestId },
             { "source", mSource->mEntry.mId.mText },
             { "destination", mDestination->mEntry.mId.mText },
             { "state", ToText(aState) },
             { "detail", aDetail },
             { "leaves_in_ms",
               mSource->mLeavesAt ? ms(*mSource->mLeavesAt - BootNow()) : -1 },
             { "took_ms", ms(steady_clock::now() - mStarted) } });
  if (aState != run_move_state::Stopping) {
    mServices.mMetrics.Count("gateway_run_moves_total",
                             { { "end", ToText(aState) } });
  }
  mWake.cancel();
}

} // namespace sapphirespar::gateway
