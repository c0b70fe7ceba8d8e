// Tests who holds the duties while holders are killed, paused and cut off, and
// while the store fails or comes back from an older copy.
#include "duty_fleet_test.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sapphirespar::duties {
namespace {

using namespace std::chrono_literals;

class duty_lease_test : public testing::Test
{
protected:
  duty_lease_test() { mFleet.Advance(3s); }

  // The only gateway that may send calls.
  unsigned Holder() const
  {
    const auto holders = mFleet.Holders();
    EXPECT_EQ(holders.size(), 1U);
    return holders.empty() ? 0 : holders.front();
  }

  duty_gateway& At(unsigned aIndex) { return *mFleet.At(aIndex); }

  duty_fleet mFleet{ 3 };
};

TEST_F(duty_lease_test, OneGatewayHoldsTheDuties)
{
  const auto first = Holder();
  mFleet.Advance(60s);
  EXPECT_EQ(Holder(), first);
}

// The others are told by the holder, and don't read the record.
TEST_F(duty_lease_test, TheHolderAloneCallsTheStoreOnceAPeriod)
{
  const auto calls = [&] {
    std::uint64_t sum = 0;
    for (unsigned index = 0; index < mFleet.Size(); ++index) {
      sum += At(index).mPlatform.Calls().Total();
    }
    return sum;
  };
  const auto before = calls();
  mFleet.Advance(60s);
  // 20 renewals, and for each of 12 windows a read and a write of the report.
  EXPECT_LE(calls() - before, 20U + 2U * 13U + 1U);
}

TEST_F(duty_lease_test, TheTokenRisesWithEachRenewal)
{
  auto& holder = At(Holder());
  const auto first = holder.mLease.Token();
  mFleet.Advance(kLeasePeriod + 500ms);
  EXPECT_GT(holder.mLease.Token(), first);
  const auto second = holder.mLease.Token();
  holder.mLease.RaiseToken();
  mFleet.Advance(300ms);
  EXPECT_GT(holder.mLease.Token(), second);
}

TEST_F(duty_lease_test, Fault_CrashAfter_Duty_Take_AnotherGatewayFollows)
{
  const auto first = Holder();
  mFleet.Kill(first);
  mFleet.Advance(2 * kLeasePeriod + 2s);
  EXPECT_NE(Holder(), first);
}

TEST_F(duty_lease_test, AHolderThatLeavesIsFollowedAtOnce)
{
  const auto first = Holder();
  At(first).mLease.Release();
  EXPECT_TRUE(mFleet.Holders().empty());
  mFleet.Advance(1s);
  EXPECT_NE(Holder(), first);
}

TEST_F(duty_lease_test, AHolderThatLeavesWhileItRenewsIsFollowed)
{
  const auto first = Holder();
  At(first).mPlatform.Faults().mDelay = 200ms;
  At(first).mLease.RaiseToken();
  mFleet.Advance(100ms);
  At(first).mLease.Release();
  EXPECT_EQ(At(first).mLease.Token(), std::nullopt);
  mFleet.Advance(2s);
  EXPECT_NE(Holder(), first);
}

TEST_F(duty_lease_test, Fault_PausePastLease_Duty_Call_ItIsNotSent)
{
  const auto first = Holder();
  auto& paused = At(first);
  const auto token = paused.mLease.Token();
  paused.mTimers.Pause();
  mFleet.Advance(2 * kLeasePeriod + 2s);
  EXPECT_NE(Holder(), first);
  // Asked right after the pause, before any timer or answer.
  EXPECT_EQ(paused.mLease.Token(), std::nullopt);
  paused.mTimers.Resume();
  EXPECT_NE(paused.mLease.Token(), token);
  mFleet.Advance(3s);
  EXPECT_NE(Holder(), first);
}

TEST_F(duty_lease_test, Fault_PausePastLease_Duty_Call_EachLengthOfPause)
{
  for (auto length = 500ms; length <= 8s; length += 500ms) {
    const auto first = Holder();
    At(first).mTimers.Pause();
    mFleet.Advance(length);
    if (length >= 2 * kLeasePeriod) {
      EXPECT_EQ(At(first).mLease.Token(), std::nullopt);
    }
    At(first).mTimers.Resume();
    mFleet.Advance(2 * kLeasePeriod + 2s);
    EXPECT_EQ(mFleet.Holders().size(), 1U);
  }
  EXPECT_TRUE(mFleet.mDuties.mBroken.empty());
}

TEST_F(duty_lease_test, Fault_StoreOutage_Duty_Renew_TheHolderStopsInTime)
{
  const auto first = Holder();
  At(first).mPlatform.Faults().mOutage = true;
  mFleet.Advance(2 * kLeasePeriod + 3s);
  EXPECT_NE(Holder(), first);
  At(first).mPlatform.Faults().mOutage = false;
  mFleet.Advance(10s);
  EXPECT_NE(Holder(), first);
}

TEST_F(duty_lease_test, Fault_StoreOutage_Duty_Renew_TheHolderGoesOnAfterwards)
{
  const auto first = Holder();
  for (unsigned index = 0; index < mFleet.Size(); ++index) {
    At(index).mPlatform.Faults().mOutage = true;
  }
  mFleet.Advance(30s);
  EXPECT_TRUE(mFleet.Holders().empty());
  for (unsigned index = 0; index < mFleet.Size(); ++index) {
    At(index).mPlatform.Faults().mOutage = false;
  }
  mFleet.Advance(2 * kLeasePeriod + 2s);
  EXPECT_EQ(mFleet.Holders().size(), 1U);
  EXPECT_LT(first, mFleet.Size());
}

// The first holder's calls and those of the next one must not alternate.
TEST_F(duty_lease_test, AGatewayThatTakesTheDutiesAgainWaits)
{
  const auto first = Holder();
  At(first).mPlatform.Faults().mOutage = true;
  // Until another gateway has taken over and sent a call.
  while (mFleet.Holders().empty() || Holder() == first) {
    mFleet.Advance(250ms);
  }
  At(first).mPlatform.Faults().mOutage = false;
  for (unsigned index = 0; index < mFleet.Size(); ++index) {
    if (index != first) {
      At(index).mLease.Release();
    }
  }
  mFleet.Advance(1500ms);
  EXPECT_NE(At(first).mLease.HeldToken(), 0U);
  EXPECT_EQ(At(first).mLease.Token(), std::nullopt);
  mFleet.Advance(5s);
  EXPECT_EQ(Holder(), first);
  EXPECT_TRUE(mFleet.mDuties.mBroken.empty());
}

TEST_F(duty_lease_test, Fault_AnswerLost_Duty_Renew_TheHolderKeepsTheDuties)
{
  const auto first = Holder();
  At(first).mPlatform.Faults().mLoseAnswers = 1;
  mFleet.Advance(2 * kLeasePeriod);
  EXPECT_EQ(Holder(), first);
  At(first).mPlatform.Faults().mLoseRequests = 1;
  mFleet.Advance(2 * kLeasePeriod);
  EXPECT_EQ(Holder(), first);
}

TEST(duty_lease, Fault_AnswerLost_Duty_Take_TheWriterFindsItsRecord)
{
  duty_fleet fleet(1);
  fleet.At(0)->mPlatform.Faults().mLoseAnswers = 1;
  fleet.Advance(3s);
  EXPECT_EQ(fleet.Holders().size(), 1U);
}

TEST_F(duty_lease_test, Fault_StoreRestore_Duty_Renew_TokensStillRise)
{
  mFleet.mStore->mEra = 1;
  mFleet.Advance(10s);
  const auto copy = mFleet.mStore->Copy();
  mFleet.Advance(4s);
  const auto token = At(Holder()).mLease.Token();
  mFleet.mStore->Restore(copy);
  mFleet.Advance(2 * kLeasePeriod + 4s);
  EXPECT_GT(At(Holder()).mLease.Token(), token);
  EXPECT_TRUE(mFleet.mDuties.mBroken.empty());
}

TEST(duty_lease, ARestartedGatewayWaitsBeforeItsFirstCall)
{
  duty_fleet fleet(1);
  fleet.Advance(3s);
  fleet.Restart(0);
  fleet.Advance(1s);
  EXPECT_NE(fleet.At(0)->mLease.HeldToken(), 0U);
  EXPECT_EQ(fleet.At(0)->mLease.Token(), std::nullopt);
  fleet.Advance(kLeasePeriod);
  EXPECT_NE(fleet.At(0)->mLease.Token(), std::nullopt);
}

enum class trouble
{
  Kill,
  Restart,
  Pause,
  Resume,
  Cut,
  Heal,
  StoreOutage,
  StoreReturns,
  LoseAnswer,
  LoseRequest,
  SlowStore,
  Release,
  Count,
};

void
Bring(duty_fleet& aFleet, trouble aTrouble, unsigned aIndex)
{
  auto* gateway = aFleet.At(aIndex);
  if (gateway == nullptr || aTrouble == trouble::Restart) {
    aFleet.Restart(aIndex);
    return;
  }
  auto& faults = gateway->mPlatform.Faults();
  switch (aTrouble) {
    case trouble::Kill:
      return aFleet.Kill(aIndex);
    case trouble::Pause:
      return gateway->mTimers.Pause();
    case trouble::Resume:
      return gateway->mTimers.Resume();
    case trouble::Cut:
      gateway->mIsCut = true;
      return;
    case trouble::Heal:
      gateway->mIsCut = false;
      return;
    case trouble::StoreOutage:
      faults.mOutage = true;
      return;
    case trouble::StoreReturns:
      faults.mOutage = false;
      faults.mDelay = 4ms;
      return;
    case trouble::LoseAnswer:
      ++faults.mLoseAnswers;
      return;
    case trouble::LoseRequest:
      ++faults.mLoseRequests;
      return;
    case trouble::SlowStore:
      faults.mDelay = 700ms;
      return;
    case trouble::Release:
      return gateway->mLease.Release();
    case trouble::Restart:
    case trouble::Count:
      return;
  }
}

// Draws troubles at random times and checks every call that the platform gets.
void
CheckRandomTroubles(bool aChecksFencing, bool aRestores)
{
  duty_fleet fleet(3);
  fleet.mStore->mEra = 1;
  fleet.mDuties.mChecksFencing = aChecksFencing;
  auto copy = fleet.mStore->Copy();
  const auto steps = *rc::gen::inRange(5, 40);
  for (int step = 0; step < steps; ++step) {
    const auto drawn = *rc::gen::inRange(0, static_cast<int>(trouble::Count));
    const auto index = *rc::gen::inRange(0U, 3U);
    Bring(fleet, static_cast<trouble>(drawn), index);
    fleet.Advance(std::chrono::milliseconds(*rc::gen::inRange(0, 4000)));
    if (aRestores && *rc::gen::inRange(0, 12) == 0) {
      fleet.mStore->Restore(std::exchange(copy, fleet.mStore->Copy()));
    } else if (*rc::gen::inRange(0, 3) == 0) {
      copy = fleet.mStore->Copy();
    }
    for (const auto& broken : fleet.mDuties.mBroken) {
      RC_FAIL(broken);
    }
  }
  // Once all is well, one gateway holds the duties and reports.
  for (unsigned index = 0; index < fleet.Size(); ++index) {
    fleet.Restart(index);
  }
  const auto reports = fleet.mDuties.mReports.size();
  fleet.Advance(30s);
  RC_ASSERT(fleet.Holders().size() == 1U);
  RC_ASSERT(fleet.mDuties.mReports.size() > reports);
  RC_ASSERT(fleet.mDuties.mBroken.empty());
}

RC_GTEST_PROP(duty_lease_property,
              NoPromiseIsBrokenBeforeAPlatformWithFences,
              ())
{
  CheckRandomTroubles(true, false);
}

RC_GTEST_PROP(duty_lease_property, NorWhileTheStoreComesBackFromCopies, ())
{
  CheckRandomTroubles(true, true);
}

RC_GTEST_PROP(duty_lease_property, NorBeforeOneThatIgnoresTokens, ())
{
  CheckRandomTroubles(false, false);
}

} // namespace
} // namespace sapphirespar::duties
