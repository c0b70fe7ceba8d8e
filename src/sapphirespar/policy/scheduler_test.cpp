// Tests that apply to every scheduler, and tests of the order of tiers.
#include "sapphirespar/policy/scheduler.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

const std::string kPool = "small";

bundle_ptr
TwoTiers()
{
  auto result = std::make_shared<bundle>();
  result->mClasses.resize(2);
  result->mClasses[0].mId = { "booking" };
  result->mClasses[0].mTier = 1;
  result->mClasses[1].mId = { "tag" };
  result->mClasses[1].mTier = 3;
  result->mClasses[1].mQueueLimit = 4;
  return result;
}

upstream_view
Upstream(std::string aName, unsigned aSlots)
{
  upstream_view view;
  view.mId = { std::move(aName) };
  view.mPools = { kPool };
  view.mSlots = aSlots;
  return view;
}

queued_request
Request(std::string aId, std::string aClass = "tag")
{
  queued_request request;
  request.mId = { std::move(aId) };
  request.mClass = { std::move(aClass) };
  request.mAccount = { "account of " + request.mId.mText };
  request.mPool = kPool;
  request.mFirstTokenBy = steady_time{ 10s };
  request.mAnswerBy = steady_time{ 60s };
  return request;
}

class every_scheduler : public testing::TestWithParam<const char*>
{
protected:
  void SetUp() override
  {
    mScheduler = MakeScheduler(GetParam());
    mScheduler->Configure(TwoTiers());
  }

  decisions SetUpstreams(std::vector<upstream_view> aUpstreams)
  {
    return mScheduler->SetUpstreams(aUpstreams, mNow);
  }
  decisions Submit(queued_request aRequest)
  {
    return mScheduler->Submit(std::move(aRequest), mNow);
  }
  decisions Finish(std::string aId)
  {
    return mScheduler->Finish({ .mRequest = { std::move(aId) } }, mNow);
  }

  scheduler_ptr mScheduler;
  steady_time mNow{};
};

TEST_P(every_scheduler, AssignsUpToTheSlotsAndThenInOrder)
{
  SetUpstreams({ Upstream("a", 1), Upstream("b", 1) });
  const auto first = Submit(Request("1"));
  const auto second = Submit(Request("2"));
  EXPECT_TRUE(Submit(Request("3")).mAssignments.empty());
  ASSERT_EQ(first.mAssignments.size(), 1);
  ASSERT_EQ(second.mAssignments.size(), 1);
  EXPECT_NE(first.mAssignments[0].mUpstream, second.mAssignments[0].mUpstream);
  const auto next = Finish("1");
  ASSERT_EQ(next.mAssignments.size(), 1);
  EXPECT_EQ(next.mAssignments[0].mRequest.mText, "3");
  EXPECT_EQ(next.mAssignments[0].mUpstream, first.mAssignments[0].mUpstream);
}

TEST_P(every_scheduler, NeverUsesExcludedLeavingOrEjectedUpstreams)
{
  auto leaving = Upstream("b", 4);
  leaving.mState = upstream_state::Leaving;
  auto ejected = Upstream("c", 4);
  ejected.mState = upstream_state::Ejected;
  SetUpstreams({ Upstream("a", 4), leaving, ejected });
  auto request = Request("1");
  request.mExcluded = { { "a" } };
  EXPECT_TRUE(Submit(request).mAssignments.empty());
  const auto result = Submit(Request("2"));
  ASSERT_EQ(result.mAssignments.size(), 1);
  EXPECT_EQ(result.mAssignments[0].mUpstream.mText, "a");
}

TEST_P(every_scheduler, RefusesARequestAtOnceIfNoUpstreamCanServeIt)
{
  const auto result = Submit(Request("1"));
  ASSERT_EQ(result.mRejections.size(), 1);
  EXPECT_EQ(result.mRejections[0].mRefusal.mReason, refusal_reason::NoUpstream);
  EXPECT_EQ(result.mRejections[0].mRefusal.mOutcome, outcome::NotRun);
}

TEST_P(every_scheduler, RefusesWaitingRequestsWhenTheLastUpstreamIsRemoved)
{
  SetUpstreams({ Upstream("a", 1) });
  Submit(Request("1"));
  Submit(Request("2"));
  const auto result = SetUpstreams({});
  ASSERT_EQ(result.mRejections.size(), 1);
  EXPECT_EQ(result.mRejections[0].mRequest.mText, "2");
  // The first request still runs, and its end has no further effect.
  EXPECT_TRUE(Finish("1").mAssignments.empty());
}

TEST_P(every_scheduler, AnAdoptedRequestHoldsItsSlot)
{
  SetUpstreams({ Upstream("a", 1) });
  mScheduler->Adopt(Request("1"), { "a" }, mNow);
  EXPECT_TRUE(Submit(Request("2")).mAssignments.empty());
  EXPECT_EQ(Finish("1").mAssignments.size(), 1);
}

TEST_P(every_scheduler, AWithdrawnRequestIsNeverAssigned)
{
  SetUpstreams({ Upstream("a", 1) });
  Submit(Request("1"));
  Submit(Request("2"));
  mScheduler->Withdraw({ "2" }, mNow);
  EXPECT_TRUE(Finish("1").mAssignments.empty());
  EXPECT_EQ(mScheduler->Counts()[0].mQueued, 0);
}

TEST_P(every_scheduler, RefusesRequestsPastTheirDeadline)
{
  SetUpstreams({ Upstream("a", 1) });
  Submit(Request("1"));
  Submit(Request("2"));
  mNow = steady_time{ 60s };
  const auto result = mScheduler->Tick(mNow);
  ASSERT_EQ(result.mRejections.size(), 1);
  EXPECT_EQ(result.mRejections[0].mRefusal.mReason, refusal_reason::TooLate);
  EXPECT_GT(result.mRejections[0].mRefusal.mRetryAfter, 0ms);
}

INSTANTIATE_TEST_SUITE_P(Schedulers,
                         every_scheduler,
                         testing::Values("tiered",
                                         "fifo",
                                         "least_outstanding"));

TEST(MakeScheduler, ReturnsNullForAnyOtherName)
{
  EXPECT_EQ(MakeScheduler("round_robin"), nullptr);
}

TEST(TieredScheduler, ServesTheFirstTierFirstThenTheEarliestDeadline)
{
  const auto scheduler = MakeScheduler(scheduler_kind::Tiered);
  scheduler->Configure(TwoTiers());
  const std::vector upstreams{ Upstream("a", 1) };
  scheduler->SetUpstreams(upstreams, {});
  scheduler->Submit(Request("1"), {});
  scheduler->Submit(Request("2"), {});
  auto urgent = Request("3");
  urgent.mFirstTokenBy = steady_time{ 5s };
  scheduler->Submit(urgent, {});
  scheduler->Submit(Request("4", "booking"), {});
  std::string order;
  for (std::string id = "1"; !id.empty();) {
    const auto result = scheduler->Finish({ .mRequest = { id } }, {});
    id =
      result.mAssignments.empty() ? "" : result.mAssignments[0].mRequest.mText;
    order += id;
  }
  EXPECT_EQ(order, "432");
}

TEST(TieredScheduler, BoundsTheQueuePerClassAndAccount)
{
  const auto scheduler = MakeScheduler(scheduler_kind::Tiered);
  scheduler->Configure(TwoTiers());
  const std::vector upstreams{ Upstream("a", 1) };
  scheduler->SetUpstreams(upstreams, {});
  scheduler->Submit(Request("0"), {});
  const auto submit = [&](const char* aId, const char* aAccount) {
    auto request = Request(aId);
    request.mAccount = { aAccount };
    const auto result = scheduler->Submit(request, {});
    return result.mRejections.empty()
             ? "waits"
             : ToText(result.mRejections[0].mRefusal.mReason);
  };
  EXPECT_EQ(submit("1", "large"), "waits");
  EXPECT_EQ(submit("2", "large"), "waits");
  EXPECT_EQ(submit("3", "large"), "queue_full");
  EXPECT_EQ(submit("4", "small"), "waits");
  EXPECT_EQ(submit("5", "tiny"), "waits");
  EXPECT_EQ(submit("6", "other"), "queue_full");
}

} // namespace
} // namespace sapphirespar::policy
