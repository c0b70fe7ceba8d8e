// Lets coroutines on traffic threads wait until the slot broker on the control
// thread assigns their request to an upstream or refuses it.
#pragma once

#include "sapphirespar/model/outcome.hpp"
#include "sapphirespar/policy/scheduler.hpp"
#include "sapphirespar/router/slot_broker.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <variant>

namespace sapphirespar::router {

namespace asio = boost::asio;

// The caller disconnected while its request was waiting.
struct caller_left
{};

using acquire_result = std::variant<upstream_id, refusal, caller_left>;

// Safe on any thread.
class dispatcher
{
public:
  // aBroker is used on aControl's thread and outlives every request.
  dispatcher(asio::io_context& aControl, slot_broker& aBroker);
  ~dispatcher();
  dispatcher(const dispatcher&) = delete;
  dispatcher& operator=(const dispatcher&) = delete;

  // Waits for a slot on the calling coroutine's thread and withdraws the
  // request when aCallerDisconnected, called periodically, returns true. If the
  // result is an upstream, the caller of Acquire must call Finish.
  asio::awaitable<acquire_result> Acquire(
    policy::queued_request aRequest,
    std::function<bool()> aCallerDisconnected);

  // Releases the slot of a request that has left its upstream.
  void Finish(const policy::completion& aCompletion);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::router
