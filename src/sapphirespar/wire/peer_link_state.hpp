// The internal state of a peer mesh, shared by the code that accepts
// connections and the code that dials them.
#pragma once

#include "peer_frame.hpp"

#include "sapphirespar/wire/peer_link.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <deque>
#include <exception>
#include <map>

namespace sapphirespar::wire {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Completes with the error code as a value instead of throwing it.
inline constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

// Completion handler of a link's coroutines; logs an exception that ended one.
void LogLinkFailure(std::exception_ptr aProblem);

// A connection for sending messages, shared by its reader and its writer
// coroutine.
struct dialled_connection
{
  explicit dialled_connection(byte_stream_ptr aStream)
    : mStream(std::move(aStream))
  {
  }

  byte_stream_ptr mStream;
  // Set by the reader or the writer once the connection is unusable.
  bool mBroken = false;
  bool mPongAwaited = false;
  steady_clock::time_point mLastPing{};
};

using connection_ptr = std::shared_ptr<dialled_connection>;

// The queue of outgoing messages to one peer, and the connection to it.
struct peer_queue
{
  peer_queue(asio::io_context& aContext, vm_id aVm)
    : mVm(std::move(aVm))
    , mWake(aContext)
  {
  }

  vm_id mVm;
  // Queued frames, oldest first.
  std::deque<std::string> mFrames;
  // Total size of mFrames.
  std::size_t mBytes = 0;
  // Cancelled or expired to wake the writer.
  asio::steady_timer mWake;
  // Null unless connected.
  connection_ptr mConnection;
  milliseconds mBackoff{ 0 };
};

using queue_ptr = std::shared_ptr<peer_queue>;

// A connection that a peer has opened. The coroutine that serves it owns the
// stream.
struct accepted_connection
{
  process_id mFrom;
  byte_stream* mStream = nullptr;
};

struct peer_mesh::state : std::enable_shared_from_this<peer_mesh::state>
{
  state(asio::io_context& aContext,
        peer_mesh_settings aSettings,
        peer_mesh_hooks aHooks)
    : mContext(aContext)
    , mAcceptor(aContext)
    , mSettings(std::move(aSettings))
    , mHooks(std::move(aHooks))
  {
  }

  void Listen();
  void Send(const vm_id& aTo, const peer_message& aMessage);
  void Close();

  // Accepting side.
  asio::awaitable<void> Accept();
  asio::awaitable<void> ServePeer(asio::ip::tcp::socket aSocket);
  asio::awaitable<void> ReceiveFrames(byte_stream& aStream,
                                      frame_reader& aReader,
                                      process_id aFrom);
  bool Admit(const process_id& aFrom, byte_stream& aStream);
  void Receive(const process_id& aFrom, std::string_view aBytes);

  // Dialling side.
  asio::awaitable<void> RunQueue(queue_ptr aQueue);
  asio::awaitable<bool> Dial(queue_ptr aQueue);
  asio::awaitable<bool> ExchangeHellos(byte_stream& aStream, vm_id aVm);
  asio::awaitable<void> ReadPongs(queue_ptr aQueue, connection_ptr aConnection);
  asio::awaitable<void> WriteFrames(queue_ptr aQueue,
                                    connection_ptr aConnection);
  asio::awaitable<bool> WriteFrame(byte_stream& aStream, std::string aBytes);
  asio::awaitable<bool> WaitForFrames(queue_ptr aQueue,
                                      connection_ptr aConnection);
  bool PingDue(const dialled_connection& aConnection) const;
  bool PongTimedOut(const dialled_connection& aConnection) const;
  void DropFrames(peer_queue& aQueue);

  asio::io_context& mContext;
  asio::ip::tcp::acceptor mAcceptor;
  peer_mesh_settings mSettings;
  peer_mesh_hooks mHooks;
  peer_traffic mTraffic;
  bool mClosed = false;
  std::map<vm_id, queue_ptr> mQueues;
  // At most one connection per VM: a new one closes the previous one.
  std::map<vm_id, accepted_connection> mAccepted;
};

} // namespace sapphirespar::wire
