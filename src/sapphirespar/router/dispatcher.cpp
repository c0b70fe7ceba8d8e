// Passes requests to the broker on the control thread, and the broker's results
// back to the waiting coroutines.
#include "sapphirespar/router/dispatcher.hpp"

#include "sapphirespar/router/one_shot.hpp"

#include <boost/asio/this_coro.hpp>

#include <optional>
#include <unordered_map>

namespace sapphirespar::router {
namespace {

using waiter = one_shot<acquire_result>;
using waiter_ptr = std::shared_ptr<waiter>;

// How often a waiting request checks whether its caller is still connected.
constexpr std::chrono::milliseconds kCallerCheckPeriod{ 200 };

acquire_result
ToAcquireResult(slot_outcome aOutcome)
{
  return std::visit(
    [](auto& aValue) { return acquire_result(std::move(aValue)); }, aOutcome);
}

} // namespace

struct dispatcher::state : std::enable_shared_from_this<state>
{
  state(asio::io_context& aControl, slot_broker& aBroker)
    : mControl(aControl)
    , mBroker(aBroker)
  {
  }

  // These functions run on the control thread.
  void Submit(policy::queued_request aRequest, waiter_ptr aWaiter);
  void Resolve(const request_id& aRequest, acquire_result aAnswer);
  void Withdraw(const request_id& aRequest);

  asio::io_context& mControl;
  slot_broker& mBroker;
  // One entry for each submitted request without a result. Used on the control
  // thread only.
  std::unordered_map<request_id, waiter_ptr> mWaiters;
};

void
dispatcher::state::Submit(policy::queued_request aRequest, waiter_ptr aWaiter)
{
  const auto id = aRequest.mId;
  mWaiters.emplace(id, std::move(aWaiter));
  mBroker.Acquire(std::move(aRequest),
                  [weak = weak_from_this(), id](slot_outcome aOutcome) {
                    if (const auto self = weak.lock()) {
                      self->Resolve(id, ToAcquireResult(std::move(aOutcome)));
                    }
                  });
}

void
dispatcher::state::Resolve(const request_id& aRequest, acquire_result aAnswer)
{
  if (auto waiting = mWaiters.extract(aRequest)) {
    waiting.mapped()->Set(std::move(aAnswer));
  }
}

// Has no effect on a request that already has a result, because its coroutine
// will receive that result.
void
dispatcher::state::Withdraw(const request_id& aRequest)
{
  if (mWaiters.contains(aRequest)) {
    mBroker.Withdraw(aRequest);
    Resolve(aRequest, caller_left{});
  }
}

dispatcher::dispatcher(asio::io_context& aControl, slot_broker& aBroker)
  : mState(std::make_shared<state>(aControl, aBroker))
{
}

dispatcher::~dispatcher() = default;

asio::awaitable<acquire_result>
dispatcher::Acquire(policy::queued_request aRequest,
                    std::function<bool()> aCallerDisconnected)
{
  const auto state = mState;
  const auto id = aRequest.mId;
  const auto ownWaiter =
    std::make_shared<waiter>(co_await asio::this_coro::executor);
  asio::post(state->mControl,
             [state, ownWaiter, request = std::move(aRequest)]() mutable {
               state->Submit(std::move(request), ownWaiter);
             });
  bool withdrawn = false;
  while (true) {
    auto answer = co_await ownWaiter->Wait(kCallerCheckPeriod);
    if (answer) {
      co_return *answer;
    }
    if (!withdrawn && aCallerDisconnected()) {
      withdrawn = true;
      asio::post(state->mControl, [state, id] { state->Withdraw(id); });
    }
  }
}

void
dispatcher::Finish(const policy::completion& aCompletion)
{
  asio::post(mState->mControl, [state = mState, aCompletion] {
    state->mBroker.Finish(aCompletion);
  });
}

} // namespace sapphirespar::router
