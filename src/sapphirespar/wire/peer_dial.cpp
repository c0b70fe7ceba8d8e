// The peer mesh: dials connections, sends messages and detects silent
// connections.
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

// Dials while there are frames to send. Ends once the queue is empty after a
// connection has closed or a failed attempt's backoff has passed.
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
    // Frames that were queued during the backoff cause one more attempt.
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
  if (!co_await ExchangeHellos(*stream, aQueue->mVm) || mClosed) {
    co_return false;
  }
  aQueue->mConnection = std::make_shared<dialled_connection>(std::move(stream));
  co_return true;
}

// Exchanges hellos. Returns false unless the peer identifies itself as aVm.
asio::awaitable<bool>
peer_mesh::state::ExchangeHellos(byte_stream& aStream, vm_id aVm)
{
  auto hello = EncodeFrame(frame_kind::Hello, EncodeHello(mSettings.mSelf));
  if (!co_await WriteFrame(aStream, std::move(hello))) {
    co_return false;
  }
  frame_reader reader(aStream, mSettings.mFrameLimitBytes);
  const auto answer = co_await reader.Next(mSettings.mConnectTimeout);
  if (!answer || answer->mKind != frame_kind::Hello) {
    co_return false;
  }
  const auto identity = DecodeHello(answer->mBody);
  co_return identity&& identity.value().mVm == aVm;
}

asio::awaitable<void>
peer_mesh::state::ReadPongs(queue_ptr aQueue, connection_ptr aConnection)
{
  frame_reader reader(*aConnection->mStream, mSettings.mFrameLimitBytes);
  const auto readTimeout = 2 * mSettings.mIdleLimit;
  while (!aConnection->mBroken) {
    const auto next = co_await reader.Next(readTimeout);
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
peer_mesh::state::PongTimedOut(const dialled_connection& aConnection) const
{
  return aConnection.mPongAwaited &&
         steady_clock::now() - aConnection.mLastPing >= mSettings.mPongTimeout;
}

// Sends the queued frames until the connection fails, goes silent or reaches
// the idle limit.
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
    LogLinkFailure);
  auto& stream = *aConnection->mStream;
  while (!mClosed && !aConnection->mBroken) {
    if (PongTimedOut(*aConnection)) {
      ++mTraffic.mSilentConnections;
      LogEvent(log_level::Warning,
               "peer_connection_silent",
               { { "vm", aQueue->mVm.mText } });
      co_return;
    }
    if (aQueue->mFrames.empty()) {
      if (!co_await WaitForFrames(aQueue, aConnection)) {
        co_return;
      }
      continue;
    }
    auto bytes = std::move(aQueue->mFrames.front());
    aQueue->mFrames.pop_front();
    aQueue->mBytes -= bytes.size();
    ++mTraffic.mMessagesOut;
    if (PingDue(*aConnection)) {
      bytes += EncodeFrame(frame_kind::Ping, {});
      aConnection->mPongAwaited = true;
      aConnection->mLastPing = steady_clock::now();
    }
    if (!co_await WriteFrame(stream, std::move(bytes))) {
      co_return;
    }
  }
}

// Waits until a frame is queued or the connection fails, but no longer than
// until the pong timeout if a pong is awaited, or else the idle limit. Returns
// false if no frame was queued within the idle limit.
asio::awaitable<bool>
peer_mesh::state::WaitForFrames(queue_ptr aQueue, connection_ptr aConnection)
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
