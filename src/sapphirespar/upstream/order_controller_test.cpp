// Tests orders with faults at each step, to engines that check fencing numbers
// and to engines that ignore them.
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

// An engine that carries out each order after a delay.
struct fake_engine
{
  fake_engine(timer_service& aTimers, std::string aName, bool aChecksFencing)
    : mTimers(aTimers)
  {
    mSpec.mId = { std::move(aName) };
    mSpec.mChecksFencing = aChecksFencing;
  }

  order_reply HandleOrder(const engine_order& aOrder, std::uint64_t aFence)
  {
    if (mSpec.mChecksFencing && aFence < mFence) {
      return order_reply::Refused;
    }
    mFence = std::max(mFence, aFence);
    ++mOrdersAccepted;
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
  unsigned mOrdersAccepted = 0;
  // Orders that arrived while another was being carried out.
  unsigned mOverlaps = 0;
  steady_time mBusyUntil{};
  std::vector<model_id> mModels;
  timer_subscription mDone;
};

// One process that issues orders.
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
        const auto reply = mEngine->HandleOrder(aOrder, aFence);
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
    mOrders->Issue(aEngine.mSpec, kLoad, [this](order_outcome aOutcome) {
      mEnd = aOutcome;
    });
  }

  pausable_timer_service mTimers;
  fake_platform mPlatform;
  fake_engine* mEngine = nullptr;
  bool mLoseReplies = false;
  bool mLoseReports = false;
  std::optional<order_outcome> mEnd;
  std::optional<order_controller> mOrders;
};

struct order_fixture
{
  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  fake_engine mFencedEngine{ mTimers, "checking", true };
  fake_engine mUnfencedEngine{ mTimers, "ignoring", false };
  test_holder mFirst{ mTimers, mStore };
  test_holder mSecond{ mTimers, mStore };
};

TEST(OrderController, AnOrderIsFencedSentAndVerified)
{
  order_fixture fixture;
  fixture.mFirst.Issue(fixture.mFencedEngine);
  fixture.mTimers.Advance(1min);
  EXPECT_EQ(fixture.mFirst.mEnd, order_outcome::Done);
  EXPECT_EQ(fixture.mFencedEngine.mOrdersAccepted, 1U);
  EXPECT_GT(fixture.mFencedEngine.mFence, 0U);
}

TEST(OrderController, ALaterOrderHasAHigherFence)
{
  order_fixture fixture;
  fixture.mFirst.Issue(fixture.mFencedEngine);
  fixture.mTimers.Advance(1min);
  const auto fence = fixture.mFencedEngine.mFence;
  fixture.mSecond.Issue(fixture.mFencedEngine);
  fixture.mTimers.Advance(1min);
  EXPECT_GT(fixture.mFencedEngine.mFence, fence);
}

TEST(OrderController, OneOrderAtATimeForEachUpstream)
{
  order_fixture fixture;
  fixture.mFirst.Issue(fixture.mFencedEngine);
  EXPECT_FALSE(fixture.mFirst.mOrders->Issue(
    fixture.mFencedEngine.mSpec, kLoad, [](order_outcome) {}));
}

TEST(OrderController, LimitsConcurrentLoadsInTheWholeFleet)
{
  order_fixture fixture;
  std::vector<std::unique_ptr<fake_engine>> engines;
  std::vector<std::unique_ptr<test_holder>> holders;
  for (int i = 0; i < 10; ++i) {
    engines.push_back(std::make_unique<fake_engine>(
      fixture.mTimers, "e" + std::to_string(i), true));
    holders.push_back(
      std::make_unique<test_holder>(fixture.mTimers, fixture.mStore));
    holders.back()->Issue(*engines.back());
  }
  for (int second = 0; second < 300; ++second) {
    fixture.mTimers.Advance(1s);
    const auto busy = std::ranges::count_if(engines, [&](const auto& aEngine) {
      return aEngine->mBusyUntil > fixture.mTimers.Now();
    });
    ASSERT_LE(busy, order_settings{}.mWeightStoreSlots);
  }
  for (const auto& holder : holders) {
    EXPECT_EQ(holder->mEnd, order_outcome::Done);
  }
}

TEST(Fault_CrashAfter, Order_Verify_ACrashedHoldersSlotIsGivenOn)
{
  order_fixture fixture;
  std::vector<std::string> held{ "a", "b", "c", "d" };
  fixture.mStore->Write({ std::string(kOrderKind), "weight-store" },
                        WriteSlots(held),
                        false,
                        kNoObject);
  fixture.mFirst.Issue(fixture.mFencedEngine);
  fixture.mTimers.Advance(1min);
  EXPECT_EQ(fixture.mFencedEngine.mOrdersAccepted, 0U);
  fixture.mTimers.Advance(order_settings{}.mSlotExpiry);
  EXPECT_EQ(fixture.mFencedEngine.mOrdersAccepted, 1U);
}

TEST(Fault_AnswerLost, Order_Fence_TheRecordIsReadBackAndOneOrderSent)
{
  order_fixture fixture;
  fixture.mFirst.mPlatform.Faults().mLoseAnswers = 3;
  fixture.mFirst.Issue(fixture.mUnfencedEngine);
  fixture.mTimers.Advance(1min);
  EXPECT_EQ(fixture.mFirst.mEnd, order_outcome::Done);
  EXPECT_EQ(fixture.mUnfencedEngine.mOrdersAccepted, 1U);
}

TEST(Fault_StoreOutage, Order_Fence_NothingIsSent)
{
  order_fixture fixture;
  fixture.mFirst.mPlatform.Faults().mOutage = true;
  fixture.mFirst.Issue(fixture.mUnfencedEngine);
  fixture.mTimers.Advance(5min);
  EXPECT_EQ(fixture.mFirst.mEnd, order_outcome::NotSent);
  EXPECT_EQ(fixture.mUnfencedEngine.mOrdersAccepted, 0U);
}

TEST(Fault_TwoOperators,
     Order_Fence_TwoHoldersNeverOverlapWhereFencesAreIgnored)
{
  order_fixture fixture;
  fixture.mFirst.Issue(fixture.mUnfencedEngine);
  fixture.mSecond.Issue(fixture.mUnfencedEngine);
  fixture.mTimers.Advance(10min);
  EXPECT_EQ(fixture.mUnfencedEngine.mOverlaps, 0U);
  EXPECT_EQ(fixture.mSecond.mEnd == order_outcome::Superseded,
            fixture.mFirst.mEnd == order_outcome::Done);
}

TEST(Fault_CrashBefore, Order_Send_TheNextHolderWaitsAndThenSends)
{
  order_fixture fixture;
  fixture.mFirst.Issue(fixture.mUnfencedEngine);
  // Once the record exists, the slot has been acquired too.
  while (!fixture.mStore->Find({ std::string(kOrderKind), "ignoring" })) {
    fixture.mTimers.Advance(1ms);
  }
  fixture.mFirst.mOrders.reset();
  fixture.mSecond.Issue(fixture.mUnfencedEngine);
  fixture.mTimers.Advance(order_settings{}.mMaxOrderDuration);
  EXPECT_EQ(fixture.mUnfencedEngine.mOrdersAccepted, 0U);
  fixture.mTimers.Advance(1min);
  EXPECT_EQ(fixture.mSecond.mEnd, order_outcome::Done);
}

// A controller that ends while it waits for an earlier order to end must leave
// no timer behind that uses it.
TEST(Fault_CrashAfter, Order_Fence_AnEndedControllerDoesNothingMore)
{
  order_fixture fixture;
  fixture.mUnfencedEngine.mOrderTime = 100s;
  fixture.mFirst.Issue(fixture.mUnfencedEngine);
  fixture.mTimers.Advance(1s);
  fixture.mSecond.Issue(fixture.mUnfencedEngine);
  fixture.mTimers.Advance(1s);
  const auto& calls = fixture.mSecond.mPlatform.Calls();
  const auto before = calls.Total();
  fixture.mSecond.mOrders.reset();
  fixture.mTimers.Advance(2 * order_settings{}.mMaxOrderDuration);
  EXPECT_EQ(calls.Total(), before);
  EXPECT_EQ(fixture.mSecond.mEnd, std::nullopt);
}

TEST(Fault_CrashAfter, Order_Send_TheNextHolderWaitsTheOrderOut)
{
  order_fixture fixture;
  fixture.mUnfencedEngine.mOrderTime = 100s;
  fixture.mFirst.Issue(fixture.mUnfencedEngine);
  fixture.mTimers.Advance(1s);
  EXPECT_EQ(fixture.mUnfencedEngine.mOrdersAccepted, 1U);
  fixture.mFirst.mOrders.reset();
  fixture.mSecond.Issue(fixture.mUnfencedEngine);
  fixture.mTimers.Advance(10min);
  EXPECT_EQ(fixture.mUnfencedEngine.mOrdersAccepted, 2U);
  EXPECT_EQ(fixture.mUnfencedEngine.mOverlaps, 0U);
}

TEST(Fault_PausePastLease, Order_Send_AWokenHolderSendsNothing)
{
  order_fixture fixture;
  fixture.mFirst.Issue(fixture.mUnfencedEngine);
  while (!fixture.mStore->Find({ std::string(kOrderKind), "ignoring" })) {
    fixture.mTimers.Advance(1ms);
  }
  fixture.mFirst.mTimers.Pause();
  fixture.mSecond.Issue(fixture.mUnfencedEngine);
  fixture.mTimers.Advance(10min);
  EXPECT_EQ(fixture.mSecond.mEnd, order_outcome::Done);
  fixture.mFirst.mTimers.Resume();
  fixture.mTimers.Advance(10min);
  EXPECT_EQ(fixture.mFirst.mEnd, order_outcome::Superseded);
  EXPECT_EQ(fixture.mUnfencedEngine.mOrdersAccepted, 1U);
}

TEST(Fault_PausePastLease, Order_Verify_AFenceKeepsAWokenHolderOut)
{
  order_fixture fixture;
  fixture.mFirst.Issue(fixture.mFencedEngine);
  while (!fixture.mStore->Find({ std::string(kOrderKind), "checking" })) {
    fixture.mTimers.Advance(1ms);
  }
  fixture.mFirst.mTimers.Pause();
  fixture.mSecond.Issue(fixture.mFencedEngine);
  fixture.mTimers.Advance(1min);
  fixture.mFirst.mTimers.Resume();
  fixture.mTimers.Advance(10min);
  EXPECT_EQ(fixture.mFirst.mEnd, order_outcome::Superseded);
  EXPECT_EQ(fixture.mFencedEngine.mOrdersAccepted, 1U);
}

TEST(Fault_SilentInbound, Order_Send_TheEnginesReportDecides)
{
  order_fixture fixture;
  fixture.mFirst.mLoseReplies = true;
  fixture.mFirst.Issue(fixture.mUnfencedEngine);
  fixture.mTimers.Advance(1min);
  EXPECT_EQ(fixture.mFirst.mEnd, order_outcome::Done);
  EXPECT_EQ(fixture.mUnfencedEngine.mOrdersAccepted, 1U);
}

TEST(Fault_Slow, Order_Verify_AnOrderThatTakesTooLongIsUnverified)
{
  order_fixture fixture;
  fixture.mUnfencedEngine.mOrderTime = 1h;
  fixture.mFirst.Issue(fixture.mUnfencedEngine);
  fixture.mTimers.Advance(10min);
  EXPECT_EQ(fixture.mFirst.mEnd, order_outcome::Unverified);
}

TEST(Fault_MessageLost, Order_Verify_LostReportsAreAskedForAgain)
{
  order_fixture fixture;
  fixture.mFirst.mLoseReports = true;
  fixture.mFirst.Issue(fixture.mUnfencedEngine);
  fixture.mTimers.Advance(1min);
  EXPECT_EQ(fixture.mFirst.mEnd, std::nullopt);
  fixture.mFirst.mLoseReports = false;
  fixture.mTimers.Advance(5s);
  EXPECT_EQ(fixture.mFirst.mEnd, order_outcome::Done);
}

// Fences one order in a store that is then restored from a copy without it.
struct restore_fixture : order_fixture
{
  restore_fixture() { mStore->mEra = 1; }

  // Issues the order and lets it reach the engine, which takes aOrderTime.
  void IssueInLostSpan(fake_engine& aEngine, steady_duration aOrderTime)
  {
    aEngine.mOrderTime = aOrderTime;
    const auto copy = mStore->Copy();
    mFirst.Issue(aEngine);
    const auto sent = [&] { return aEngine.mOrdersAccepted > 0; };
    while (!sent()) {
      mTimers.Advance(1s);
    }
    mStore->Restore(copy);
  }

  // Leaves a closed record of the first order in the store.
  void RunOrder(fake_engine& aEngine)
  {
    aEngine.mOrderTime = 5s;
    mFirst.Issue(aEngine);
    mTimers.Advance(10min);
    ASSERT_EQ(mFirst.mEnd, order_outcome::Done);
    aEngine.mModels.clear();
    aEngine.mOrdersAccepted = 0;
  }
};

TEST(Fault_StoreRestore, Order_Fence_NoFencingNumberIsHandedOutAgain)
{
  restore_fixture fixture;
  fixture.IssueInLostSpan(fixture.mFencedEngine, 10s);
  const auto lost = fixture.mFencedEngine.mFence;
  fixture.mSecond.Issue(fixture.mFencedEngine);
  fixture.mTimers.Advance(1min);
  EXPECT_GT(fixture.mFencedEngine.mFence, lost);
}

TEST(Fault_StoreRestore, Order_Send_AnOrderOfTheLostSpanIsWaitedOut)
{
  restore_fixture fixture;
  fixture.RunOrder(fixture.mUnfencedEngine);
  fixture.IssueInLostSpan(fixture.mUnfencedEngine, 100s);
  fixture.mSecond.Issue(fixture.mUnfencedEngine);
  fixture.mTimers.Advance(10min);
  EXPECT_EQ(fixture.mUnfencedEngine.mOrdersAccepted, 2U);
  EXPECT_EQ(fixture.mUnfencedEngine.mOverlaps, 0U);
}

// The record of the second order is lost, and the first, which the second had
// superseded, finds its own record again.
TEST(Fault_StoreRestore, Order_Send_ASupersededHolderDoesNotReturn)
{
  restore_fixture fixture;
  fixture.RunOrder(fixture.mUnfencedEngine);
  fixture.mUnfencedEngine.mOrderTime = 100s;
  const auto versionBefore = fixture.mStore->Version();
  fixture.mFirst.Issue(fixture.mUnfencedEngine);
  const object_key record{ std::string(kOrderKind), "ignoring" };
  while (fixture.mStore->Find(record)->mVersion <= versionBefore) {
    fixture.mTimers.Advance(1ms);
  }
  fixture.mFirst.mTimers.Pause();
  const auto copy = fixture.mStore->Copy();
  fixture.mSecond.Issue(fixture.mUnfencedEngine);
  while (fixture.mUnfencedEngine.mOrdersAccepted == 0) {
    fixture.mTimers.Advance(1s);
  }
  fixture.mStore->Restore(copy);
  fixture.mFirst.mTimers.Resume();
  fixture.mTimers.Advance(10min);
  EXPECT_EQ(fixture.mUnfencedEngine.mOverlaps, 0U);
}

RC_GTEST_PROP(OrderRecord,
              AMalformedValueReadsAsOpen,
              (const std::string& aText))
{
  auto text = WriteOrderRecord({ "vm/1", false });
  const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
  text.replace(place, 1, aText);
  const auto record = ReadOrderRecord(text);
  // A value that cannot be parsed must be read as an open order.
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
