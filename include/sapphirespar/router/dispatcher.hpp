// Slots for requests: traffic coroutines wait here until the scheduler gives
// them an upstream or refuses them.
#pragma once

#include "sapphirespar/model/outcome.hpp"
#include "sapphirespar/policy/scheduler.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <span>
#include <variant>
#include <vector>

namespace sapphirespar::router {

namespace asio = boost::asio;

// The caller left while its request was waiting.
struct caller_left
{};

using slot_answer = std::variant<upstream_id, refusal, caller_left>;

// Called without the dispatcher's lock, on whichever thread caused the order.
using pause_hook = std::function<void(const policy::pause_order&)>;

// Safe on any thread.
class dispatcher
{
public:
  dispatcher(policy::scheduler_ptr aScheduler, pause_hook aPause);
  ~dispatcher();
  dispatcher(const dispatcher&) = delete;
  dispatcher& operator=(const dispatcher&) = delete;

  void Configure(bundle_ptr aBundle);
  void SetUpstreams(std::span<const policy::upstream_view> aUpstreams);
  void Tick();

  // Waits for a slot on the calling coroutine's thread, asking aCallerGone now
  // and then. Whoever is given an upstream must call Finish.
  asio::awaitable<slot_answer> Acquire(policy::queued_request aRequest,
                                       std::function<bool()> aCallerGone);

  // Gives a slot back.
  void Finish(const policy::completion& aCompletion);

  std::vector<policy::scheduler_counts> Counts() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace sapphirespar::router
