// Slots for requests: traffic coroutines wait here while the broker on the
// control thread finds them an upstream or refuses them.
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

// The caller left while its request was waiting.
struct caller_left
{};

using acquire_result = std::variant<upstream_id, refusal, caller_left>;

// Safe on any thread.
class dispatcher
{
public:
  // aBroker lives on aControl's thread and outlives every call.
  dispatcher(asio::io_context& aControl, slot_broker& aBroker);
  ~dispatcher();
  dispatcher(const dispatcher&) = delete;
  dispatcher& operator=(const dispatcher&) = delete;

  // Waits for a slot on the calling coroutine's thread, asking aCallerGone now
  // and then. Whoever is given an upstream must call Finish.
  asio::awaitable<acquire_result> Acquire(policy::queued_request aRequest,
                                          std::function<bool()> aCallerGone);

  // Gives a slot back.
  void Finish(const policy::completion& aCompletion);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::router
