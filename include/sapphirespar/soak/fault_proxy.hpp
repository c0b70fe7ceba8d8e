// A TCP proxy on loopback whose connections can be delayed, reset, cut in one
// direction or silenced while they are open.
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
  // Bytes wait for a while, either way.
  Delay,
  // Open connections are reset, and new ones at once.
  Reset,
  // Bytes of the connecting side are lost; answers still pass.
  LoseRequests,
  // Answers are lost.
  LoseAnswers,
  // Nothing passes, and nobody is told.
  Silence,
};

class fault_proxy
{
public:
  // Listens on a free port of 127.0.0.1 and connects to aTarget.
  fault_proxy(asio::io_context& aContext, asio::ip::tcp::endpoint aTarget);
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  std::uint16_t Port() const;

  // Holds for open connections and for new ones.
  void SetFault(link_fault aFault);

  struct state;

private:
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::soak
