// The peer mesh: dialling, sending and finding out silent connections.
#include "peer_link_state.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/wire/peer_codec.hpp"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <utility>

namespace sapphirespar::wire {

void
peer_mesh::state::DropFrames(peer_queue& aQueue)
{
  mTraffic.mMessagesDropped += aQueue.mFrames.size();
  aQueue.mFrames.clear();
  aQueue.mBytes = 0;
}

// Dials whenever there is something to send; ends once nothing has been for
// the idle limit.
asio::awaitable<void>
peer_mesh::state::RunQueue(queue_ptr aQueue)
{
  while (!mClosed && !aQueue->mFrames.empty()) {
    if (co_await Dial(aQueue)) {
      aQueue->mBackoff = milliseconds(0);
      auto connection = aQueue->mConnection;
      co_await WriteFrames(aQueue, connection);
      connection->mBroken = true;
      connection->mStream->Close();
      aQueue->mConnection.reset();
      continue;
    }
    DropFrames(*aQueue);
    if (mClosed) {
      break;
    }
    if (mHooks.mUnreachable) {
      mHooks.mUnreachable(aQueue->mVm);
    }
    aQueue->mBackoff = std::clamp(
      2 * aQueue->mBackoff, mSettings.mInitialBackoff, mSettings.mMaxBackoff);
    asio::steady_timer pause(mContext, aQueue->mBackoff);
    co_await pause.async_wait(kAsTuple);
    // What came during the pause is tried once more, right now.
  }
  DropFrames(*aQueue);
  mQueues.erase(aQueue->mVm);
}

asio::awaitable<bool>
peer_mesh::state::Dial(queue_ptr aQueue)
{
  const auto remote = mHooks.mLookUp(aQueue->mVm);
  if (!remote) {
    co_return false;
  }
  ++mTraffic.mConnects;
  auto connected = co_await ConnectStream(mContext.get_executor(),
                                          *remote,
                                          mSettings.mClientTls,
                                          mSettings.mConnectTimeout);
  if (!connected || mClosed) {
    co_return false;
  }
  auto stream = std::move(connected).value();
  if (!co_await Greet(*stream, aQueue->mVm) || mClosed) {
    co_return false;
  }
  aQueue->mConnection = std::make_shared<dialled_connection>(std::move(stream));
  co_return true;
}

// Exchanges hellos; false unless the far end is the vm that was meant.
asio::awaitable<bool>
peer_mesh::state::Greet(byte_stream& aStream, vm_id aVm)
{
  auto hello = FrameBytes(frame_kind::Hello, EncodeHello(mSettings.mSelf));
  if (!co_await WriteFrame(aStream, std::move(hello))) {
    co_return false;
  }
  frame_reader reader(aStream, mSettings.mFrameLimitBytes);
  const auto answer = co_await reader.Next(mSettings.mConnectTimeout);
  if (!answer || answer->mKind != frame_kind::Hello) {
    co_return false;
  }
  const auto far = DecodeHello(answer->mBody);
  co_return far&& far.value().mVm == aVm;
}

asio::awaitable<void>
peer_mesh::state::ReadPongs(queue_ptr aQueue, connection_ptr aConnection)
{
  frame_reader reader(*aConnection->mStream, mSettings.mFrameLimitBytes);
  const auto patience = 2 * mSettings.mIdleLimit;
  while (!aConnection->mBroken) {
    const auto next = co_await reader.Next(patience);
    if (!next) {
      break;
    }
    mTraffic.mBytesIn += kFrameHeaderBytes + next->mBody.size();
    if (next->mKind == frame_kind::Pong) {
      aConnection->mPongAwaited = false;
    }
  }
  aConnection->mBroken = true;
  aQueue->mWake.cancel();
}

bool
peer_mesh::state::PingDue(const dialled_connection& aConnection) const
{
  return !aConnection.mPongAwaited &&
         steady_clock::now() - aConnection.mLastPing >= mSettings.mPingPeriod;
}

bool
peer_mesh::state::PongMissed(const dialled_connection& aConnection) const
{
  return aConnection.mPongAwaited &&
         steady_clock::now() - aConnection.mLastPing >= mSettings.mPongTimeout;
}

// Sends what the queue holds until the connection breaks, goes silent or has
// been idle.
asio::awaitable<void>
peer_mesh::state::WriteFrames(queue_ptr aQueue, connection_ptr aConnection)
{
  asio::co_spawn(
    mContext,
    [](std::shared_ptr<state> aSelf,
       queue_ptr aQueue,
       connection_ptr aConnection) -> asio::awaitable<void> {
      co_await aSelf->ReadPongs(aQueue, aConnection);
    }(shared_from_this(), aQueue, aConnection),
    LogLostLink);
  auto& stream = *aConnection->mStream;
  while (!mClosed && !aConnection->mBroken) {
    if (PongMissed(*aConnection)) {
      ++mTraffic.mSilentConnections;
      LogEvent(log_level::Warning,
               "peer_connection_silent",
               { { "vm", aQueue->mVm.mText } });
      co_return;
    }
    if (aQueue->mFrames.empty()) {
      if (!co_await AwaitWork(aQueue, aConnection)) {
        co_return;
      }
      continue;
    }
    auto bytes = std::move(aQueue->mFrames.front());
    aQueue->mFrames.pop_front();
    aQueue->mBytes -= bytes.size();
    ++mTraffic.mMessagesOut;
    if (PingDue(*aConnection)) {
      bytes += FrameBytes(frame_kind::Ping, {});
      aConnection->mPongAwaited = true;
      aConnection->mLastPing = steady_clock::now();
    }
    if (!co_await WriteFrame(stream, std::move(bytes))) {
      co_return;
    }
  }
}

// Waits until there is something to look at. Returns false if there was nothing
// for the idle limit.
asio::awaitable<bool>
peer_mesh::state::AwaitWork(queue_ptr aQueue, connection_ptr aConnection)
{
  const bool pongAwaited = aConnection->mPongAwaited;
  const auto until = pongAwaited
                       ? aConnection->mLastPing + mSettings.mPongTimeout
                       : steady_clock::now() + mSettings.mIdleLimit;
  aQueue->mWake.expires_at(until);
  co_await aQueue->mWake.async_wait(kAsTuple);
  const bool expired = steady_clock::now() >= until;
  co_return pongAwaited || !expired || !aQueue->mFrames.empty();
}

} // namespace sapphirespar::wire
