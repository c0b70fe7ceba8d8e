// Property tests of invariants that hold for every sequence of events.
#include "sapphirespar/policy/scheduler.hpp"
#include "sapphirespar/policy/slot_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

const std::vector<std::string> kClasses{ "booking", "question", "draft" };
const std::vector<std::string> kPools{ "small", "large" };
constexpr unsigned kUpstreams = 4;

bundle_ptr
ThreeTiers()
{
  auto result = std::make_shared<bundle>();
  for (unsigned tier = 1; tier <= kClasses.size(); ++tier) {
    auto& rules = result->mClasses.emplace_back();
    rules.mId = { kClasses[tier - 1] };
    rules.mTier = tier;
    rules.mQueueLimit = 20;
  }
  return result;
}

// Runs a scheduler with random events, applies its decisions and checks each.
class checked_scheduler
{
public:
  explicit checked_scheduler(std::string_view aName)
    : mTiered(aName == "tiered")
    , mScheduler(MakeScheduler(aName))
  {
    mScheduler->Configure(ThreeTiers());
    mViews.resize(kUpstreams);
    for (unsigned i = 0; i < kUpstreams; ++i) {
      mViews[i].mId = { std::to_string(i) };
      mViews[i].mSlots = 1 + i % 2;
      mViews[i].mPools = { kPools[i % 2] };
      mViews[i].mCanPause = true;
    }
    mViews[0].mPools = kPools;
    Apply(mScheduler->SetUpstreams(mViews, mNow));
  }

  void Step()
  {
    switch (*rc::gen::weightedElement<int>(
      { { 6, 0 }, { 5, 1 }, { 1, 2 }, { 2, 3 }, { 1, 4 } })) {
      case 0:
        Submit();
        break;
      case 1:
        Finish();
        break;
      case 2:
        Withdraw();
        break;
      case 3:
        mNow += std::chrono::milliseconds(*rc::gen::inRange(1, 2000));
        Apply(mScheduler->Tick(mNow));
        break;
      default:
        ChangeUpstream();
    }
    CheckWorkConserved();
  }

  // Checks that nothing waits after all running requests have ended and all
  // deadlines have passed.
  void End()
  {
    for (auto& view : mViews) {
      view.mState = upstream_state::Healthy;
    }
    Apply(mScheduler->SetUpstreams(mViews, mNow));
    while (!mRunning.empty()) {
      FinishOne(mRunning.begin()->first);
    }
    mNow += 1h;
    Apply(mScheduler->Tick(mNow));
    RC_ASSERT(mWaiting.empty());
    RC_ASSERT(mPaused.empty());
  }

private:
  void Submit()
  {
    queued_request request;
    request.mId = { std::to_string(mNextId++) };
    request.mClass = { *rc::gen::elementOf(kClasses) };
    request.mAccount = { std::to_string(*rc::gen::inRange(0, 3)) };
    request.mPool = *rc::gen::elementOf(kPools);
    request.mArrival = mNow;
    request.mFirstTokenBy =
      mNow + std::chrono::milliseconds(*rc::gen::inRange(100, 3000));
    request.mAnswerBy = request.mFirstTokenBy + 5s;
    if (*rc::gen::inRange(0, 4) == 0) {
      request.mExcluded = { { std::to_string(
        *rc::gen::inRange(0u, kUpstreams)) } };
    }
    mWaiting.emplace(request.mId, request);
    Apply(mScheduler->Submit(request, mNow));
  }

  void Finish()
  {
    if (!mRunning.empty()) {
      const auto index = *rc::gen::inRange<std::size_t>(0, mRunning.size());
      FinishOne(std::next(mRunning.begin(), index)->first);
    }
  }

  void FinishOne(request_id aId)
  {
    mRunning.erase(aId);
    mPaused.erase(aId);
    completion done;
    done.mRequest = aId;
    done.mSucceeded = *rc::gen::arbitrary<bool>();
    done.mTokens = *rc::gen::inRange(1u, 500u);
    done.mFirstToken = 50ms;
    Apply(mScheduler->Finish(done, mNow));
  }

  void Withdraw()
  {
    if (!mWaiting.empty()) {
      const auto id = mWaiting.begin()->first;
      mWaiting.erase(id);
      Apply(mScheduler->Withdraw(id, mNow));
    }
  }

  void ChangeUpstream()
  {
    auto& view = mViews[*rc::gen::inRange(0u, kUpstreams)];
    view.mState = *rc::gen::element(upstream_state::Healthy,
                                    upstream_state::Leaving,
                                    upstream_state::Ejected,
                                    upstream_state::Probing);
    Apply(mScheduler->SetUpstreams(mViews, mNow));
  }

  void Apply(const decisions& aDecisions)
  {
    for (const auto& rejection : aDecisions.mRejections) {
      CheckRejection(rejection);
      // The request was still waiting, so this is its first decision.
      RC_ASSERT(mWaiting.erase(rejection.mRequest) == 1u);
    }
    for (const auto& order : aDecisions.mPauses) {
      RC_ASSERT(mRunning.contains(order.mRequest));
      RC_ASSERT(mRunning.at(order.mRequest).mClass.mText != kClasses[0]);
      const bool changed = order.mResume
                             ? mPaused.erase(order.mRequest) == 1
                             : mPaused.insert(order.mRequest).second;
      RC_ASSERT(changed);
    }
    for (const auto& assignment : aDecisions.mAssignments) {
      Assign(assignment);
    }
    for (const auto& assignment : aDecisions.mAssignments) {
      CheckNoFirstTierWaitsFor(assignment);
    }
  }

  void Assign(const assignment& aAssignment)
  {
    auto node = mWaiting.extract(aAssignment.mRequest);
    RC_ASSERT(!node.empty());
    const auto& view = ViewOf(aAssignment.mUpstream);
    RC_ASSERT(MayRun(node.mapped(), view));
    mUpstreamOf[aAssignment.mRequest] = aAssignment.mUpstream;
    mRunning.insert(std::move(node));
    RC_ASSERT(Running(view) <= view.mSlots);
  }

  // Checks that no first-tier request waits that could use the slot given to a
  // lower tier.
  void CheckNoFirstTierWaitsFor(const assignment& aAssignment)
  {
    if (!mTiered ||
        mRunning.at(aAssignment.mRequest).mClass.mText == kClasses[0]) {
      return;
    }
    for (const auto& [id, request] : mWaiting) {
      RC_ASSERT(request.mClass.mText != kClasses[0] ||
                !MayRun(request, ViewOf(aAssignment.mUpstream)));
    }
  }

  void CheckRejection(const rejection& aRejection)
  {
    const auto& refusal = aRejection.mRefusal;
    const auto& request = mWaiting.at(aRejection.mRequest);
    RC_ASSERT(refusal.mOutcome == outcome::NotRun);
    RC_ASSERT(refusal.mRetryAfter > 0ms);
    if (request.mClass.mText != kClasses[0]) {
      return;
    }
    // Load of lower tiers must never cause a refusal of the first tier.
    const auto waiting = std::ranges::count_if(mWaiting, [](const auto& aItem) {
      return aItem.second.mClass.mText == kClasses[0];
    });
    RC_ASSERT(refusal.mReason == refusal_reason::NoUpstream ||
              (refusal.mReason == refusal_reason::TooLate &&
               request.mAnswerBy <= mNow) ||
              (refusal.mReason == refusal_reason::QueueFull && waiting > 10));
  }

  // Checks that no request waits while a slot that it could use is free.
  void CheckWorkConserved()
  {
    for (const auto& [id, request] : mWaiting) {
      for (const auto& view : mViews) {
        const auto slots =
          view.mState == upstream_state::Probing ? 1u : view.mSlots;
        RC_ASSERT(!MayRun(request, view) || Running(view) >= slots);
      }
    }
  }

  const upstream_view& ViewOf(const upstream_id& aId) const
  {
    return *std::ranges::find(mViews, aId, &upstream_view::mId);
  }

  unsigned Running(const upstream_view& aView) const
  {
    return std::ranges::count_if(mRunning, [&](const auto& aItem) {
      return mUpstreamOf.at(aItem.first) == aView.mId &&
             !mPaused.contains(aItem.first);
    });
  }

  static bool MayRun(const queued_request& aRequest, const upstream_view& aView)
  {
    return std::ranges::count(aView.mPools, aRequest.mPool) > 0 &&
           std::ranges::count(aRequest.mExcluded, aView.mId) == 0 &&
           aView.mState != upstream_state::Leaving &&
           aView.mState != upstream_state::Ejected;
  }

  const bool mTiered;
  const scheduler_ptr mScheduler;
  steady_time mNow{ 1s };
  unsigned mNextId = 0;
  std::vector<upstream_view> mViews;
  std::map<request_id, queued_request> mWaiting;
  std::map<request_id, queued_request> mRunning;
  std::map<request_id, upstream_id> mUpstreamOf;
  std::set<request_id> mPaused;
};

class any_scheduler : public testing::TestWithParam<const char*>
{};

TEST_P(any_scheduler, KeepsItsInvariantsUnderAnyEvents)
{
  EXPECT_TRUE(rc::check([] {
    checked_scheduler checked(GetParam());
    const auto steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) {
      checked.Step();
    }
    checked.End();
  }));
}

INSTANTIATE_TEST_SUITE_P(Schedulers,
                         any_scheduler,
                         testing::Values("tiered",
                                         "fifo",
                                         "least_outstanding"));

} // namespace
} // namespace sapphirespar::policy
