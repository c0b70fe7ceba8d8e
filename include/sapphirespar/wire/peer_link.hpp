// Connections between routers. Each router dials one connection to each peer
// that it sends to and accepts one from each peer that sends to it.
//
// A connection may go silent while both ends think it open. The sending end
// therefore asks for a pong along with its messages; without one in time the
// connection is dropped and a fresh one is tried. Only if that fails too is
// the far end reported as unreachable.
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
  // Zero takes any free port.
  std::uint16_t mPort = 0;
  // Null speaks plain TCP.
  tls_context_ptr mServerTls;
  tls_context_ptr mClientTls;
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  std::chrono::milliseconds mWriteTimeout{ 2000 };
  // A connection in use carries a ping at least this often.
  std::chrono::milliseconds mPingPeriod{ 2000 };
  // Without a pong within this time the connection counts as silent, so one
  // in use is found out within mPingPeriod + mPongTimeout.
  std::chrono::milliseconds mPongTimeout{ 2000 };
  // A connection without messages for this long is closed.
  std::chrono::milliseconds mIdleLimit{ 60000 };
  std::chrono::milliseconds mInitialBackoff{ 100 };
  std::chrono::milliseconds mMaxBackoff{ 5000 };
  // What may wait for one peer; later messages are dropped.
  std::size_t mQueueLimitBytes = 8 * 1024 * 1024;
  std::size_t mFrameLimitBytes = 4 * 1024 * 1024;
};

// Totals since the start; bytes include frame headers, pings and pongs.
struct peer_traffic
{
  std::uint64_t mMessagesIn = 0;
  std::uint64_t mMessagesOut = 0;
  std::uint64_t mBytesIn = 0;
  std::uint64_t mBytesOut = 0;
  // Given up because a queue was full or a peer unreachable.
  std::uint64_t mMessagesDropped = 0;
  std::uint64_t mConnects = 0;
  std::uint64_t mSilentConnections = 0;
};

struct peer_mesh_hooks
{
  // Where a vm's router listens for peers; nothing while unknown.
  std::function<std::optional<endpoint>(const vm_id&)> mLookUp;
  peer_receiver mReceive;
  // A fresh connection to this vm has failed; may be empty.
  std::function<void(const vm_id&)> mUnreachable;
};

// All peer connections of one router. Belongs to the thread of its context.
class peer_mesh : public peer_network
{
public:
  // Throws boost::system::system_error if the address can't be bound, which a
  // program reports at its start.
  peer_mesh(asio::io_context& aContext,
            peer_mesh_settings aSettings,
            peer_mesh_hooks aHooks);
  ~peer_mesh() override;
  peer_mesh(const peer_mesh&) = delete;
  peer_mesh& operator=(const peer_mesh&) = delete;

  std::uint16_t Port() const;

  // Only on the context's thread. A message to this router itself is received
  // in a later turn of the context.
  void Send(const vm_id& aTo, peer_message aMessage) override;

  // Send for any thread.
  void Post(const vm_id& aTo, peer_message aMessage);

  const peer_traffic& Traffic() const;

  // Stops accepting and closes every connection.
  void Close();

  struct state;

private:
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::wire
