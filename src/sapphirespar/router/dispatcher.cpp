// The dispatcher: a scheduler under a lock, and the coroutines that wait.
#include "sapphirespar/router/dispatcher.hpp"

#include "sapphirespar/router/one_shot.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace sapphirespar::router {
namespace {

using waiter = one_shot<slot_answer>;
using waiter_ptr = std::shared_ptr<waiter>;

// How often a waiting request looks whether its caller is still there.
constexpr std::chrono::milliseconds kCallerCheck{ 200 };

// A decision on its way to the coroutine that waits for it.
struct delivery
{
  waiter_ptr mWaiter;
  slot_answer mAnswer;
};

} // namespace

struct dispatcher::state
{
  // Runs aWork on the scheduler and hands out its decisions. A waiter leaves
  // mWaiters under the same lock under which its decision was made, so a
  // request that is still there has not been decided.
  template<class Work>
  void Change(Work aWork)
  {
    policy::decisions made;
    std::vector<delivery> deliveries;
    {
      const std::lock_guard lock(mMutex);
      made = aWork(*mScheduler);
      deliveries = TakeDecided(made);
    }
    std::ranges::for_each(made.mPauses, mPause);
    for (auto& item : deliveries) {
      item.mWaiter->Set(std::move(item.mAnswer));
    }
  }

  std::vector<delivery> TakeDecided(const policy::decisions& aDecisions);

  // Takes back a request that has not been decided; false if it has been.
  bool Withdraw(const request_id& aRequest);

  // Removes and returns who waits for aRequest, or null. Needs the lock.
  waiter_ptr TakeWaiter(const request_id& aRequest);

  mutable std::mutex mMutex;
  policy::scheduler_ptr mScheduler;
  pause_hook mPause;
  // One for each request submitted and not yet decided.
  std::unordered_map<request_id, waiter_ptr> mWaiters;
};

waiter_ptr
dispatcher::state::TakeWaiter(const request_id& aRequest)
{
  auto taken = mWaiters.extract(aRequest);
  return taken ? std::move(taken.mapped()) : nullptr;
}

std::vector<delivery>
dispatcher::state::TakeDecided(const policy::decisions& aDecisions)
{
  std::vector<delivery> taken;
  for (const auto& item : aDecisions.mRejections) {
    if (auto found = TakeWaiter(item.mRequest)) {
      taken.push_back({ std::move(found), item.mRefusal });
    }
  }
  for (const auto& item : aDecisions.mAssignments) {
    if (auto found = TakeWaiter(item.mRequest)) {
      taken.push_back({ std::move(found), item.mUpstream });
    }
  }
  return taken;
}

bool
dispatcher::state::Withdraw(const request_id& aRequest)
{
  bool waiting = false;
  Change([&](auto& aScheduler) {
    waiting = TakeWaiter(aRequest) != nullptr;
    return waiting
             ? aScheduler.Withdraw(aRequest, std::chrono::steady_clock::now())
             : policy::decisions{};
  });
  return waiting;
}

dispatcher::dispatcher(policy::scheduler_ptr aScheduler, pause_hook aPause)
  : mState(std::make_unique<state>())
{
  mState->mScheduler = std::move(aScheduler);
  mState->mPause = std::move(aPause);
}

dispatcher::~dispatcher() = default;

void
dispatcher::Configure(bundle_ptr aBundle)
{
  const std::lock_guard lock(mState->mMutex);
  mState->mScheduler->Configure(std::move(aBundle));
}

void
dispatcher::SetUpstreams(std::span<const policy::upstream_view> aUpstreams)
{
  mState->Change([&](auto& aScheduler) {
    return aScheduler.SetUpstreams(aUpstreams,
                                   std::chrono::steady_clock::now());
  });
}

void
dispatcher::Tick()
{
  mState->Change([](auto& aScheduler) {
    return aScheduler.Tick(std::chrono::steady_clock::now());
  });
}

asio::awaitable<slot_answer>
dispatcher::Acquire(policy::queued_request aRequest,
                    std::function<bool()> aCallerGone)
{
  const auto id = aRequest.mId;
  const auto own = std::make_shared<waiter>(co_await asio::this_coro::executor);
  mState->Change([&](auto& aScheduler) {
    mState->mWaiters.emplace(id, own);
    return aScheduler.Submit(std::move(aRequest),
                             std::chrono::steady_clock::now());
  });
  while (true) {
    auto answer = co_await own->Wait(kCallerCheck);
    if (answer) {
      co_return *answer;
    }
    if (aCallerGone() && mState->Withdraw(id)) {
      co_return caller_left{};
    }
  }
}

void
dispatcher::Finish(const policy::completion& aCompletion)
{
  mState->Change([&](auto& aScheduler) {
    return aScheduler.Finish(aCompletion, std::chrono::steady_clock::now());
  });
}

std::vector<policy::scheduler_counts>
dispatcher::Counts() const
{
  const std::lock_guard lock(mState->mMutex);
  return mState->mScheduler->Counts();
}

} // namespace sapphirespar::router
