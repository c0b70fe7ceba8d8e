// The peer mesh: accepts connections, receives messages and queues outgoing
// ones.
#include "peer_link_state.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/wire/peer_codec.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace sapphirespar::wire {

void
LogLinkFailure(std::exception_ptr aProblem)
{
  if (!aProblem) {
    return;
  }
  try {
    std::rethrow_exception(aProblem);
  } catch (const std::exception& problem) {
    LogEvent(
      log_level::Error, "peer_link_failed", { { "error", problem.what() } });
  }
}

void
peer_mesh::state::Listen()
{
  const asio::ip::tcp::endpoint endpoint(
    asio::ip::make_address(mSettings.mAddress), mSettings.mPort);
  mAcceptor.open(endpoint.protocol());
  mAcceptor.set_option(asio::socket_base::reuse_address(true));
  mAcceptor.bind(endpoint);
  mAcceptor.listen();
  asio::co_spawn(
    mContext,
    [](std::shared_ptr<state> aSelf) -> asio::awaitable<void> {
      co_await aSelf->Accept();
    }(shared_from_this()),
    LogLinkFailure);
}

asio::awaitable<void>
peer_mesh::state::Accept()
{
  while (!mClosed) {
    auto [error, socket] = co_await mAcceptor.async_accept(kAsTuple);
    if (mClosed || error == asio::error::operation_aborted ||
        error == asio::error::bad_descriptor) {
      break;
    }
    if (error) {
      asio::steady_timer pause(mContext, mSettings.mInitialBackoff);
      co_await pause.async_wait(kAsTuple);
      continue;
    }
    asio::co_spawn(
      mContext,
      [](std::shared_ptr<state> aSelf,
         asio::ip::tcp::socket aSocket) -> asio::awaitable<void> {
        co_await aSelf->ServePeer(std::move(aSocket));
      }(shared_from_this(), std::move(socket)),
      LogLinkFailure);
  }
}

asio::awaitable<void>
peer_mesh::state::ServePeer(asio::ip::tcp::socket aSocket)
{
  auto accepted = co_await AcceptStream(
    std::move(aSocket), mSettings.mServerTls, mSettings.mConnectTimeout);
  if (!accepted) {
    co_return;
  }
  const auto stream = std::move(accepted).value();
  frame_reader reader(*stream, mSettings.mFrameLimitBytes);
  const auto first = co_await reader.Next(mSettings.mConnectTimeout);
  if (!first || first->mKind != frame_kind::Hello) {
    co_return;
  }
  const auto from = DecodeHello(first->mBody);
  if (!from || mClosed || !Admit(from.value(), *stream)) {
    co_return;
  }
  auto hello = EncodeFrame(frame_kind::Hello, EncodeHello(mSettings.mSelf));
  if (co_await WriteFrame(*stream, std::move(hello))) {
    co_await ReceiveFrames(*stream, reader, from.value());
  }
  stream->Close();
  const auto entry = mAccepted.find(from.value().mVm);
  if (entry != mAccepted.end() && entry->second.mStream == stream.get()) {
    mAccepted.erase(entry);
  }
}

// Makes aStream the only connection of its VM and closes the previous one.
// Returns false if a later incarnation of the VM is connected already.
bool
peer_mesh::state::Admit(const process_id& aFrom, byte_stream& aStream)
{
  auto& entry = mAccepted[aFrom.mVm];
  if (entry.mStream && entry.mFrom.mIncarnation > aFrom.mIncarnation) {
    return false;
  }
  if (entry.mStream) {
    entry.mStream->Close();
  }
  entry = { aFrom, &aStream };
  return true;
}

asio::awaitable<void>
peer_mesh::state::ReceiveFrames(byte_stream& aStream,
                                frame_reader& aReader,
                                process_id aFrom)
{
  // The dialling end closes an idle connection first.
  const auto readTimeout = 2 * mSettings.mIdleLimit;
  while (!mClosed) {
    const auto next = co_await aReader.Next(readTimeout);
    const auto entry = mAccepted.find(aFrom.mVm);
    const bool current =
      entry != mAccepted.end() && entry->second.mStream == &aStream;
    if (!next || mClosed || !current) {
      break;
    }
    mTraffic.mBytesIn += kFrameHeaderBytes + next->mBody.size();
    if (next->mKind == frame_kind::Ping) {
      auto pong = EncodeFrame(frame_kind::Pong, {});
      if (!co_await WriteFrame(aStream, std::move(pong))) {
        break;
      }
    } else if (next->mKind == frame_kind::Message) {
      Receive(aFrom, next->mBody);
    }
  }
}

void
peer_mesh::state::Receive(const process_id& aFrom, std::string_view aBytes)
{
  ++mTraffic.mMessagesIn;
  auto message = DecodePeerMessage(aBytes);
  if (!message) {
    LogEvent(
      log_level::Warning,
      "peer_message_refused",
      { { "from", aFrom.mVm.mText }, { "error", ToText(message.error()) } });
    return;
  }
  mHooks.mReceive(aFrom, std::move(message).value());
}

void
peer_mesh::state::Send(const vm_id& aTo, const peer_message& aMessage)
{
  if (mClosed) {
    return;
  }
  if (aTo == mSettings.mSelf.mVm) {
    asio::post(mContext, [self = shared_from_this(), aMessage] {
      if (!self->mClosed) {
        self->mHooks.mReceive(self->mSettings.mSelf, aMessage);
      }
    });
    return;
  }
  auto bytes = EncodeFrame(frame_kind::Message, EncodePeerMessage(aMessage));
  auto& queue = mQueues[aTo];
  const bool isNew = !queue;
  if (isNew) {
    queue = std::make_shared<peer_queue>(mContext, aTo);
  }
  if (queue->mBytes + bytes.size() > mSettings.mQueueLimitBytes) {
    ++mTraffic.mMessagesDropped;
    return;
  }
  queue->mBytes += bytes.size();
  queue->mFrames.push_back(std::move(bytes));
  queue->mWake.cancel();
  if (isNew) {
    asio::co_spawn(
      mContext,
      [](std::shared_ptr<state> aSelf,
         queue_ptr aQueue) -> asio::awaitable<void> {
        co_await aSelf->RunQueue(aQueue);
      }(shared_from_this(), queue),
      LogLinkFailure);
  }
}

asio::awaitable<bool>
peer_mesh::state::WriteFrame(byte_stream& aStream, std::string aBytes)
{
  mTraffic.mBytesOut += aBytes.size();
  const auto error = co_await aStream.Write(aBytes, mSettings.mWriteTimeout);
  co_return !error;
}

void
peer_mesh::state::Close()
{
  mClosed = true;
  boost::system::error_code ignored;
  mAcceptor.close(ignored);
  for (auto& [vm, queue] : mQueues) {
    queue->mWake.cancel();
    if (queue->mConnection) {
      queue->mConnection->mStream->Close();
    }
  }
  for (auto& [vm, accepted] : mAccepted) {
    if (accepted.mStream) {
      accepted.mStream->Close();
    }
  }
}

peer_mesh::peer_mesh(asio::io_context& aContext,
                     peer_mesh_settings aSettings,
                     peer_mesh_hooks aHooks)
  : mState(std::make_shared<state>(aContext,
                                   std::move(aSettings),
                                   std::move(aHooks)))
{
  mState->Listen();
}

peer_mesh::~peer_mesh()
{
  Close();
}

std::uint16_t
peer_mesh::Port() const
{
  return mState->mAcceptor.local_endpoint().port();
}

void
peer_mesh::Send(const vm_id& aTo, peer_message aMessage)
{
  mState->Send(aTo, aMessage);
}

void
peer_mesh::Post(const vm_id& aTo, peer_message aMessage)
{
  asio::post(mState->mContext,
             [state = mState, aTo, message = std::move(aMessage)] {
               state->Send(aTo, message);
             });
}

const peer_traffic&
peer_mesh::Traffic() const
{
  return mState->mTraffic;
}

void
peer_mesh::Close()
{
  mState->Close();
}

} // namespace sapphirespar::wire
