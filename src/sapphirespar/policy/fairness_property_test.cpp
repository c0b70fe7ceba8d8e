// Property test: every class gets its minimum share, whatever the load of
// higher tiers.
#include "sapphirespar/policy/scheduler.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

struct class_plan
{
  unsigned mTier = 2;
  unsigned mSharePercent = 0;
  steady_duration mSlotTime{};
};

// One upstream with more waiting requests of each class than it can run. Each
// request frees its slot after the slot time of its class.
class saturated_upstream
{
public:
  saturated_upstream(std::span<const class_plan> aPlans, unsigned aSlots)
    : mPlans(aPlans.begin(), aPlans.end())
    , mUsed(aPlans.size())
  {
    auto rules = std::make_shared<bundle>();
    for (std::size_t i = 0; i < mPlans.size(); ++i) {
      auto& added = rules->mClasses.emplace_back();
      added.mId = { std::to_string(i) };
      added.mTier = mPlans[i].mTier;
      added.mMinimumSharePercent = mPlans[i].mSharePercent;
    }
    mScheduler->Configure(rules);
    upstream_view view;
    view.mId = { "a" };
    view.mPools = { "m" };
    view.mSlots = aSlots;
    const std::vector views{ view };
    mScheduler->SetUpstreams(views, mNow);
  }

  void RunUntil(steady_time aEnd)
  {
    for (std::size_t i = 0; i < mPlans.size(); ++i) {
      for (int n = 0; n < 5; ++n) {
        Submit(i);
      }
    }
    while (mNow < aEnd) {
      const auto next = mEnds.begin();
      mNow = next->first;
      const auto id = next->second;
      mEnds.erase(next);
      const auto index = mClassOf.at(id);
      mUsed[index] += mPlans[index].mSlotTime;
      completion done;
      done.mRequest = id;
      done.mSucceeded = true;
      done.mTokens = 1;
      ApplyDecisions(mScheduler->Finish(done, mNow));
    }
  }

  steady_duration Used(std::size_t aIndex) const { return mUsed[aIndex]; }

private:
  void Submit(std::size_t aIndex)
  {
    queued_request request;
    request.mId = { std::to_string(mNext++) };
    request.mClass = { std::to_string(aIndex) };
    request.mAccount = { request.mId.mText };
    request.mPool = "m";
    request.mArrival = mNow;
    request.mFirstTokenBy = mNow + 100h;
    request.mAnswerBy = mNow + 200h;
    mClassOf.emplace(request.mId, aIndex);
    ApplyDecisions(mScheduler->Submit(request, mNow));
  }

  // Submits a new request of the same class for each one that starts.
  void ApplyDecisions(const decisions& aDecisions)
  {
    RC_ASSERT(aDecisions.mRejections.empty());
    for (const auto& assignment : aDecisions.mAssignments) {
      const auto index = mClassOf.at(assignment.mRequest);
      mEnds.emplace(mNow + mPlans[index].mSlotTime, assignment.mRequest);
      Submit(index);
    }
  }

  const std::vector<class_plan> mPlans;
  const scheduler_ptr mScheduler = MakeScheduler(scheduler_kind::Tiered);
  steady_time mNow{ 1h };
  unsigned mNext = 0;
  std::map<request_id, std::size_t> mClassOf;
  std::multimap<steady_time, request_id> mEnds;
  std::vector<steady_duration> mUsed;
};

TEST(MinimumShare, IsKeptUnderAnyLoadOfOtherClasses)
{
  EXPECT_TRUE(rc::check([] {
    const auto count = *rc::gen::inRange(2, 5);
    const auto slots = *rc::gen::inRange(2u, 9u);
    std::vector<class_plan> plans(count);
    for (auto& plan : plans) {
      plan.mTier = *rc::gen::inRange(2u, 5u);
      plan.mSharePercent = *rc::gen::inRange(2u, 20u);
      plan.mSlotTime = 10ms * *rc::gen::inRange(1, 100);
    }
    saturated_upstream upstream(plans, slots);
    // Not in seconds, in which a tenth of a short time would be none.
    constexpr steady_duration kTime = 60s;
    upstream.RunUntil(steady_time{ 1h } + kTime);
    for (std::size_t i = 0; i < plans.size(); ++i) {
      const auto promised = kTime * slots * plans[i].mSharePercent / 100;
      // Requests still running at the end are not counted, and credit is only
      // available after the time in which it accrued.
      const auto slack = promised / 10 + plans[i].mSlotTime * 2 * slots;
      RC_ASSERT(upstream.Used(i) + slack >= promised);
    }
  }));
}

// Lanes with credit were served by the age of their requests, so that short
// requests got as many slots as long ones and less of their time.
TEST(MinimumShare, ShortRequestsKeepTheirsBesideLongOnes)
{
  constexpr unsigned kSlots = 2;
  const std::vector<class_plan> plans{
    { 3, 5, 120ms }, { 2, 16, 10ms }, { 2, 2, 640ms }, { 2, 19, 60ms }
  };
  saturated_upstream upstream(plans, kSlots);
  constexpr steady_duration kTime = 60s;
  upstream.RunUntil(steady_time{ 1h } + kTime);
  for (std::size_t i = 0; i < plans.size(); ++i) {
    const auto promised = kTime * kSlots * plans[i].mSharePercent / 100;
    EXPECT_GE(upstream.Used(i), promised * 95 / 100) << i;
  }
}

} // namespace
} // namespace sapphirespar::policy
