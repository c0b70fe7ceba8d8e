// Connections between routers. Each router dials one connection to each peer
// that it sends to and accepts one from each peer that sends to it.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/model/peer_message.hpp"
#include "sapphirespar/wire/byte_stream.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sapphirespar::wire {

struct peer_mesh_settings
{
  process_id mSelf;
  std::string mAddress = "127.0.0.1";
  // Zero picks any free port.
  std::uint16_t mPort = 0;
  // Null means plain TCP.
  tls_context_ptr mServerTls;
  tls_context_ptr mClientTls;
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  std::chrono::milliseconds mWriteTimeout{ 2000 };
  // While messages are sent on a connection, a ping goes along with one of them
  // once this time has passed since the last ping.
  std::chrono::milliseconds mPingPeriod{ 2000 };
  // Time to wait for a pong before the connection counts as silent. A silent
  // connection in use is thus detected within mPingPeriod + mPongTimeout.
  std::chrono::milliseconds mPongTimeout{ 2000 };
  // A connection that has carried no messages for this long is closed.
  std::chrono::milliseconds mIdleLimit{ 60000 };
  std::chrono::milliseconds mInitialBackoff{ 100 };
  std::chrono::milliseconds mMaxBackoff{ 5000 };
  // Most bytes that may be queued for one peer. Messages over the limit are
  // dropped.
  std::size_t mQueueLimitBytes = 8 * 1024 * 1024;
  // A longer frame from a peer closes the connection.
  std::size_t mFrameLimitBytes = 4 * 1024 * 1024;
};

// Totals since the start. Bytes include frame headers, pings and pongs.
struct peer_traffic
{
  std::uint64_t mMessagesIn = 0;
  std::uint64_t mMessagesOut = 0;
  std::uint64_t mBytesIn = 0;
  std::uint64_t mBytesOut = 0;
  // Dropped because the queue was full or the peer was unreachable.
  std::uint64_t mMessagesDropped = 0;
  // Attempts to connect to a peer.
  std::uint64_t mConnects = 0;
  // Connections closed because a pong did not arrive in time.
  std::uint64_t mSilentConnections = 0;
};

struct peer_mesh_hooks
{
  // Returns the address at which a VM's router listens for peers, or nothing
  // while it is unknown.
  std::function<std::optional<endpoint>(const vm_id&)> mLookUp;
  peer_receiver mReceive;
  // Called when a new connection to this VM has failed; may be empty.
  std::function<void(const vm_id&)> mUnreachable;
};

// All peer connections of one router. Must be used on the thread of its
// context, except where a member says otherwise.
//
// A connection may go silent while both ends consider it open. The sender
// therefore adds pings to its messages. If a pong does not arrive in time, the
// sender closes the connection and opens a new one for its next message. It
// reports the peer as unreachable only if a new connection fails.
class peer_mesh : public peer_network
{
public:
  // Throws boost::system::system_error if the address cannot be bound; programs
  // report this at startup.
  peer_mesh(asio::io_context& aContext,
            peer_mesh_settings aSettings,
            peer_mesh_hooks aHooks);
  ~peer_mesh() override;
  peer_mesh(const peer_mesh&) = delete;
  peer_mesh& operator=(const peer_mesh&) = delete;

  std::uint16_t Port() const;

  // Queues a message. A message to this router itself is posted to the context,
  // so that it is received after this call has returned.
  void Send(const vm_id& aTo, peer_message aMessage) override;

  // Like Send, but safe on any thread.
  void Post(const vm_id& aTo, peer_message aMessage);

  const peer_traffic& Traffic() const;

  // Stops accepting connections and closes all open ones.
  void Close();

  struct state;

private:
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::wire
