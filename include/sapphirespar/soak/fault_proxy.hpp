// A TCP proxy on loopback that injects faults into its open connections: delay,
// reset, loss in one direction, or a stall.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>

namespace sapphirespar::soak {

namespace asio = boost::asio;

enum class link_fault
{
  None,
  // Bytes are delayed in both directions.
  Delay,
  // Open connections are reset, and new ones as soon as they are accepted.
  Reset,
  // Bytes from the connecting side are dropped, for good on connections that
  // send any meanwhile; bytes to it still pass.
  DropRequests,
  // The same for bytes to the connecting side.
  DropResponses,
  // No bytes pass in either direction, and connections stay open. The proxy
  // forwards the held bytes when the fault ends.
  Stall,
};

class fault_proxy
{
public:
  // Listens on a free port of 127.0.0.1 and relays each connection to aTarget.
  fault_proxy(asio::io_context& aContext, asio::ip::tcp::endpoint aTarget);
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  std::uint16_t Port() const;

  // Applies to open connections and to new ones until the next call.
  void SetFault(link_fault aFault);

  struct state;

private:
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::soak
