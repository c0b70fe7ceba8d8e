// Orders under faults at each step, to engines that check fencing numbers and
// to engines that ignore them.
#include "sapphirespar/upstream/order_controller.hpp"

#include "order_record.hpp"
#include "sapphirespar/base/pausable_timer_service.hpp"
#include "sapphirespar/model/fake_platform.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>

namespace sapphirespar::upstream {
namespace {

using namespace std::chrono_literals;

constexpr auto kOrderTime = 10s;
const engine_order kLoad{ order_kind::LoadModel, { "tiny" } };

// An engine that takes a while for each order.
struct fake_engine
{
  fake_engine(timer_service& aTimers, std::string aName, bool aChecks)
    : mTimers(aTimers)
  {
    mSpec.mId = { std::move(aName) };
    mSpec.mChecksFencing = aChecks;
  }

  order_reply Take(const engine_order& aOrder, std::uint64_t aFence)
  {
    if (mSpec.mChecksFencing && aFence < mFence) {
      return order_reply::Refused;
    }
    mFence = std::max(mFence, aFence);
    ++mTaken;
    mOverlaps += mBusyUntil > mTimers.Now() ? 1 : 0;
    mBusyUntil = mTimers.Now() + mOrderTime;
    mDone = mTimers.After(mOrderTime,
                          [this, aOrder] { mModels = { aOrder.mModel }; });
    return order_reply::Accepted;
  }

  timer_service& mTimers;
  upstream_spec mSpec;
  steady_duration mOrderTime = kOrderTime;
  std::uint64_t mFence = 0;
  unsigned mTaken = 0;
  // Orders that came while another was being carried out.
  unsigned mOverlaps = 0;
  steady_time mBusyUntil{};
  std::vector<model_id> mModels;
  timer_subscription mDone;
};

// One process that gives orders.
struct test_holder
{
  test_holder(timer_service& aTimers, const std::shared_ptr<fake_store>& aStore)
    : mTimers(aTimers)
    , mPlatform(mTimers, aStore)
  {
    mPlatform.Faults().mDelay = 4ms;
  }

  void Start()
  {
    order_hooks hooks;
    hooks.mSend =
      [this](const auto&, const auto& aOrder, auto aFence, auto aDone) {
        const auto reply = mEngine->Take(aOrder, aFence);
        aDone(mLoseReplies ? order_reply::Unknown : reply);
      };
    hooks.mFetchLoad = [this](const auto&, const auto& aDone) {
      load_report report;
      report.mModels = mEngine->mModels;
      aDone(mLoseReports ? std::nullopt : std::optional(report));
    };
    mOrders.emplace(process_id{ { "vm" }, 1 }, mPlatform, mTimers, hooks);
  }

  void Issue(fake_engine& aEngine)
  {
    mEngine = &aEngine;
    if (!mOrders) {
      Start();
    }
    mOrders->Issue(
      aEngine.mSpec, kLoad, [this](order_outcome aEnd) { mEnd = aEnd; });
  }

  pausable_timer_service mTimers;
  fake_platform mPlatform;
  fake_engine* mEngine = nullptr;
  bool mLoseReplies = false;
  bool mLoseReports = false;
  std::optional<order_outcome> mEnd;
  std::optional<order_controller> mOrders;
};

struct order_world
{
  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  fake_engine mChecking{ mTimers, "checking", true };
  fake_engine mIgnoring{ mTimers, "ignoring", false };
  test_holder mFirst{ mTimers, mStore };
  test_holder mSecond{ mTimers, mStore };
};

TEST(OrderController, AnOrderIsFencedSentAndVerified)
{
  order_world world;
  world.mFirst.Issue(world.mChecking);
  world.mTimers.Advance(1min);
  EXPECT_EQ(world.mFirst.mEnd, order_outcome::Done);
  EXPECT_EQ(world.mChecking.mTaken, 1U);
  EXPECT_GT(world.mChecking.mFence, 0U);
}

TEST(OrderController, ALaterOrderHasAHigherFence)
{
  order_world world;
  world.mFirst.Issue(world.mChecking);
  world.mTimers.Advance(1min);
  const auto fence = world.mChecking.mFence;
  world.mSecond.Issue(world.mChecking);
  world.mTimers.Advance(1min);
  EXPECT_GT(world.mChecking.mFence, fence);
}

TEST(OrderController, OneOrderAtATimeForEachUpstream)
{
  order_world world;
  world.mFirst.Issue(world.mChecking);
  EXPECT_FALSE(world.mFirst.mOrders->Issue(
    world.mChecking.mSpec, kLoad, [](order_outcome) {}));
}

TEST(OrderController, TheWeightStoreServesAFewAtATimeFleetWide)
{
  order_world world;
  std::vector<std::unique_ptr<fake_engine>> engines;
  std::vector<std::unique_ptr<test_holder>> holders;
  for (int i = 0; i < 10; ++i) {
    engines.push_back(std::make_unique<fake_engine>(
      world.mTimers, "e" + std::to_string(i), true));
    holders.push_back(
      std::make_unique<test_holder>(world.mTimers, world.mStore));
    holders.back()->Issue(*engines.back());
  }
  for (int second = 0; second < 300; ++second) {
    world.mTimers.Advance(1s);
    const auto busy = std::ranges::count_if(engines, [&](const auto& aEngine) {
      return aEngine->mBusyUntil > world.mTimers.Now();
    });
    ASSERT_LE(busy, order_settings{}.mWeightStoreSlots);
  }
  for (const auto& holder : holders) {
    EXPECT_EQ(holder->mEnd, order_outcome::Done);
  }
}

TEST(Fault_CrashAfter, Order_Verify_ACrashedHoldersSlotIsGivenOn)
{
  order_world world;
  std::vector<std::string> held{ "a", "b", "c", "d" };
  world.mStore->Write({ std::string(kOrderKind), "weight-store" },
                      WriteSlots(held),
                      false,
                      kNoObject);
  world.mFirst.Issue(world.mChecking);
  world.mTimers.Advance(1min);
  EXPECT_EQ(world.mChecking.mTaken, 0U);
  world.mTimers.Advance(order_settings{}.mSlotExpiry);
  EXPECT_EQ(world.mChecking.mTaken, 1U);
}

TEST(Fault_AnswerLost, Order_Fence_TheRecordIsReadBackAndOneOrderSent)
{
  order_world world;
  world.mFirst.mPlatform.Faults().mLoseAnswers = 3;
  world.mFirst.Issue(world.mIgnoring);
  world.mTimers.Advance(1min);
  EXPECT_EQ(world.mFirst.mEnd, order_outcome::Done);
  EXPECT_EQ(world.mIgnoring.mTaken, 1U);
}

TEST(Fault_StoreOutage, Order_Fence_NothingIsSent)
{
  order_world world;
  world.mFirst.mPlatform.Faults().mOutage = true;
  world.mFirst.Issue(world.mIgnoring);
  world.mTimers.Advance(5min);
  EXPECT_EQ(world.mFirst.mEnd, order_outcome::NotSent);
  EXPECT_EQ(world.mIgnoring.mTaken, 0U);
}

TEST(Fault_TwoOperators,
     Order_Fence_TwoHoldersNeverOverlapWhereFencesAreIgnored)
{
  order_world world;
  world.mFirst.Issue(world.mIgnoring);
  world.mSecond.Issue(world.mIgnoring);
  world.mTimers.Advance(10min);
  EXPECT_EQ(world.mIgnoring.mOverlaps, 0U);
  EXPECT_EQ(world.mSecond.mEnd == order_outcome::Superseded,
            world.mFirst.mEnd == order_outcome::Done);
}

TEST(Fault_CrashBefore, Order_Send_TheNextHolderWaitsAndThenSends)
{
  order_world world;
  world.mFirst.Issue(world.mIgnoring);
  // The slot has been taken and the record written.
  while (!world.mStore->Find({ std::string(kOrderKind), "ignoring" })) {
    world.mTimers.Advance(1ms);
  }
  world.mFirst.mOrders.reset();
  world.mSecond.Issue(world.mIgnoring);
  world.mTimers.Advance(order_settings{}.mMaxOrderDuration);
  EXPECT_EQ(world.mIgnoring.mTaken, 0U);
  world.mTimers.Advance(1min);
  EXPECT_EQ(world.mSecond.mEnd, order_outcome::Done);
}

TEST(Fault_CrashAfter, Order_Send_TheNextHolderWaitsTheOrderOut)
{
  order_world world;
  world.mIgnoring.mOrderTime = 100s;
  world.mFirst.Issue(world.mIgnoring);
  world.mTimers.Advance(1s);
  EXPECT_EQ(world.mIgnoring.mTaken, 1U);
  world.mFirst.mOrders.reset();
  world.mSecond.Issue(world.mIgnoring);
  world.mTimers.Advance(10min);
  EXPECT_EQ(world.mIgnoring.mTaken, 2U);
  EXPECT_EQ(world.mIgnoring.mOverlaps, 0U);
}

TEST(Fault_PausePastLease, Order_Send_AWokenHolderSendsNothing)
{
  order_world world;
  world.mFirst.Issue(world.mIgnoring);
  while (!world.mStore->Find({ std::string(kOrderKind), "ignoring" })) {
    world.mTimers.Advance(1ms);
  }
  world.mFirst.mTimers.Pause();
  world.mSecond.Issue(world.mIgnoring);
  world.mTimers.Advance(10min);
  EXPECT_EQ(world.mSecond.mEnd, order_outcome::Done);
  world.mFirst.mTimers.Resume();
  world.mTimers.Advance(10min);
  EXPECT_EQ(world.mFirst.mEnd, order_outcome::Superseded);
  EXPECT_EQ(world.mIgnoring.mTaken, 1U);
}

TEST(Fault_PausePastLease, Order_Verify_AFenceKeepsAWokenHolderOut)
{
  order_world world;
  world.mFirst.Issue(world.mChecking);
  while (!world.mStore->Find({ std::string(kOrderKind), "checking" })) {
    world.mTimers.Advance(1ms);
  }
  world.mFirst.mTimers.Pause();
  world.mSecond.Issue(world.mChecking);
  world.mTimers.Advance(1min);
  world.mFirst.mTimers.Resume();
  world.mTimers.Advance(10min);
  EXPECT_EQ(world.mFirst.mEnd, order_outcome::Superseded);
  EXPECT_EQ(world.mChecking.mTaken, 1U);
}

TEST(Fault_SilentInbound, Order_Send_TheEnginesReportDecides)
{
  order_world world;
  world.mFirst.mLoseReplies = true;
  world.mFirst.Issue(world.mIgnoring);
  world.mTimers.Advance(1min);
  EXPECT_EQ(world.mFirst.mEnd, order_outcome::Done);
  EXPECT_EQ(world.mIgnoring.mTaken, 1U);
}

TEST(Fault_Slow, Order_Verify_AnOrderThatTakesTooLongIsUnverified)
{
  order_world world;
  world.mIgnoring.mOrderTime = 1h;
  world.mFirst.Issue(world.mIgnoring);
  world.mTimers.Advance(10min);
  EXPECT_EQ(world.mFirst.mEnd, order_outcome::Unverified);
}

TEST(Fault_MessageLost, Order_Verify_LostReportsAreAskedForAgain)
{
  order_world world;
  world.mFirst.mLoseReports = true;
  world.mFirst.Issue(world.mIgnoring);
  world.mTimers.Advance(1min);
  EXPECT_EQ(world.mFirst.mEnd, std::nullopt);
  world.mFirst.mLoseReports = false;
  world.mTimers.Advance(5s);
  EXPECT_EQ(world.mFirst.mEnd, order_outcome::Done);
}

RC_GTEST_PROP(OrderRecord, AnyValueReadsCarefully, (const std::string& aText))
{
  auto text = WriteOrderRecord({ "vm/1", false });
  const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
  text.replace(place, 1, aText);
  const auto record = ReadOrderRecord(text);
  // What cannot be read counts as open.
  if (record.mOrder.empty()) {
    RC_ASSERT(record.mOpen || text == WriteOrderRecord(record));
  }
  ReadSlots(text);
  const auto letters = rc::gen::inRange<char>(' ', '~');
  const auto name = *rc::gen::container<std::string>(letters);
  RC_ASSERT(ReadSlots(WriteSlots({ name })) == std::vector{ name });
}

} // namespace
} // namespace sapphirespar::upstream
