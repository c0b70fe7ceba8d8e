// Tests faults at each step of an acceptance in virtual time.
#include "sapphirespar/config/bundle_acceptance.hpp"

#include "sapphirespar/config/bundle_controller.hpp"
#include "sapphirespar/config/signed_bundle.hpp"
#include "sapphirespar/config/signing.hpp"
#include "sapphirespar/model/fake_platform.hpp"
#include "test_support.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace sapphirespar {
namespace {

using namespace std::chrono_literals;

class acceptance_steps : public testing::Test
{
protected:
  // Returns a bundle signed by anna. aQueueLimit distinguishes two bundles of
  // the same version.
  std::string Candidate(std::uint64_t aNumber, unsigned aQueueLimit = 1)
  {
    auto next = GoodBundle(aNumber, mAnna.mPublicKey);
    next.mClasses[0].mQueueLimit = aQueueLimit;
    return Serialize(SignBundle(next, "anna", mAnna.mPrivateKey).value());
  }

  // Starts an acceptance through aClient.
  std::unique_ptr<bundle_acceptance> Begin(
    platform_api& aClient,
    const std::string& aText,
    std::optional<acceptance_result>& aInto)
  {
    auto run = std::make_unique<bundle_acceptance>(
      aClient, mTimers, acceptance_settings());
    run->Start(aText, "2026-01-01", [&aInto](acceptance_result aResult) {
      aInto = aResult;
    });
    return run;
  }

  acceptance_result Accept(const std::string& aText)
  {
    std::optional<acceptance_result> got;
    const auto run = Begin(mClient, aText, got);
    mTimers.Advance(30s);
    return got.value();
  }

  bundle_version InForce() const
  {
    const auto* object = mStore->Find(CurrentBundleKey());
    return object ? ParseSignedBundle(object->mValue)->mBundle.mVersion
                  : bundle_version{};
  }

  manual_timer_service mTimers;
  const signing_key mAnna = NewSigningKey();
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  fake_platform mClient{ mTimers, mStore };
};

TEST_F(acceptance_steps, BundlesFollowOneAnother)
{
  EXPECT_EQ(Accept(Candidate(1)).mStatus, acceptance_status::Accepted);
  EXPECT_EQ(Accept(Candidate(2)).mStatus, acceptance_status::Accepted);
  EXPECT_EQ(InForce(), (bundle_version{ 1, 2 }));
  EXPECT_EQ(Accept(Candidate(2)).mStatus, acceptance_status::AlreadyAccepted);
  EXPECT_EQ(Accept(Candidate(4)).mStatus, acceptance_status::VersionConflict);
  const auto history =
    ParseSignedBundle(mStore->Find(CurrentBundleKey())->mValue)->mHistory;
  ASSERT_EQ(history.size(), 2U);
  EXPECT_EQ(history[1].mVersion.mNumber, 2U);
  EXPECT_EQ(history[1].mSigner, "anna");
}

TEST_F(acceptance_steps, OnlyASignerOfTheBundleInForceMaySign)
{
  Accept(Candidate(1));
  const auto zane = NewSigningKey();
  const auto forged =
    SignBundle(GoodBundle(2, zane.mPublicKey), "anna", zane.mPrivateKey);
  const auto outcome = Accept(Serialize(forged.value()));
  EXPECT_EQ(outcome.mStatus, acceptance_status::Refused);
  EXPECT_EQ(outcome.mDetail, "the signature of \"anna\" is not valid");
  EXPECT_EQ(Accept("{}").mStatus, acceptance_status::Refused);
  EXPECT_EQ(InForce().mNumber, 1U);
}

TEST_F(acceptance_steps,
       Fault_TwoOperators_Bundle_Accept_OneWinsAndTheOtherIsTold)
{
  Accept(Candidate(1));
  fake_platform other(mTimers, mStore);
  mClient.Faults().mDelay = 10ms;
  other.Faults().mDelay = 12ms;
  std::optional<acceptance_result> mine;
  std::optional<acceptance_result> theirs;
  const auto first = Begin(mClient, Candidate(2, 10), mine);
  const auto second = Begin(other, Candidate(2, 20), theirs);
  mTimers.Advance(1s);
  EXPECT_EQ(mine->mStatus, acceptance_status::Accepted);
  EXPECT_EQ(theirs->mStatus, acceptance_status::VersionConflict);
  EXPECT_EQ(theirs->mInForce, (bundle_version{ 1, 2 }));
  EXPECT_EQ(theirs->mInForceSigner, "anna");
}

TEST_F(acceptance_steps,
       Fault_AnswerLost_Bundle_Accept_ItIsReadBackAndALostWriteRepeated)
{
  mClient.Faults().mLoseAnswers = 1;
  EXPECT_EQ(Accept(Candidate(1)).mStatus, acceptance_status::Accepted);
  EXPECT_EQ(mClient.Calls().mWrites, 1U);
  mClient.Faults().mLoseRequests = 1;
  EXPECT_EQ(Accept(Candidate(2)).mStatus, acceptance_status::Accepted);
  EXPECT_EQ(InForce().mNumber, 2U);
}

TEST_F(acceptance_steps,
       Fault_AnswerLost_Bundle_Accept_ItIsRecognisedEvenAfterTheNextOneWon)
{
  Accept(Candidate(1));
  mClient.Faults().mLoseAnswers = 1;
  std::optional<acceptance_result> mine;
  const auto run = Begin(mClient, Candidate(2), mine);
  mTimers.Advance(1ms);
  EXPECT_EQ(InForce().mNumber, 2U);
  fake_platform other(mTimers, mStore);
  std::optional<acceptance_result> theirs;
  const auto next = Begin(other, Candidate(3), theirs);
  mTimers.Advance(1ms);
  EXPECT_EQ(theirs->mStatus, acceptance_status::Accepted);
  mTimers.Advance(1s);
  EXPECT_EQ(mine->mStatus, acceptance_status::Accepted);
  EXPECT_EQ(mine->mInForce.mNumber, 3U);
}

TEST_F(acceptance_steps,
       Fault_StoreOutage_Bundle_Accept_BeforeTheWriteNothingIsWritten)
{
  mClient.Faults().mOutage = true;
  EXPECT_EQ(Accept(Candidate(1)).mStatus, acceptance_status::NotWritten);
  EXPECT_EQ(mStore->Find(CurrentBundleKey()), nullptr);
}

TEST_F(acceptance_steps,
       Fault_StoreOutage_Bundle_Accept_AWriteThatRunsIntoItIsNotWritten)
{
  mClient.Faults().mDelay = 100ms;
  std::optional<acceptance_result> got;
  const auto run = Begin(mClient, Candidate(1), got);
  mTimers.Advance(110ms);
  mClient.Faults().mOutage = true;
  mTimers.Advance(30s);
  EXPECT_EQ(got->mStatus, acceptance_status::NotWritten);
  EXPECT_EQ(mStore->Find(CurrentBundleKey()), nullptr);
}

TEST_F(acceptance_steps,
       Fault_StoreOutage_Bundle_Accept_FromTheWriteOnItIsUnknown)
{
  mClient.Faults().mDelay = 100ms;
  std::optional<acceptance_result> got;
  const auto run = Begin(mClient, Candidate(1), got);
  mTimers.Advance(170ms);
  EXPECT_EQ(InForce().mNumber, 1U);
  mClient.Faults().mOutage = true;
  mTimers.Advance(30s);
  EXPECT_EQ(got->mStatus, acceptance_status::Unknown);
}

TEST_F(acceptance_steps,
       Fault_CrashAfter_Bundle_Accept_AnyStepLeavesTheOldOrTheNewBundle)
{
  Accept(Candidate(1));
  mClient.Faults().mDelay = 100ms;
  for (const auto at : { 40ms, 90ms, 140ms, 190ms }) {
    std::optional<acceptance_result> got;
    {
      fake_platform crashing(mTimers, mStore);
      crashing.Faults().mDelay = 100ms;
      const auto run = Begin(crashing, Candidate(2), got);
      mTimers.Advance(at);
    }
    mTimers.Advance(1s);
    EXPECT_FALSE(got);
    EXPECT_EQ(InForce().mNumber, at > 150ms ? 2U : 1U) << at.count();
  }
  // A new attempt shows that the bundle was accepted before.
  EXPECT_EQ(Accept(Candidate(2)).mStatus, acceptance_status::AlreadyAccepted);
}

TEST_F(acceptance_steps,
       Fault_Slow_Bundle_Accept_AThrottledOrFlickeringPlatformIsTriedAgain)
{
  mClient.Faults().mThrottle = true;
  std::optional<acceptance_result> got;
  const auto run = Begin(mClient, Candidate(1), got);
  mTimers.Advance(2s);
  EXPECT_FALSE(got);
  mClient.Faults().mThrottle = false;
  mTimers.Advance(1s);
  EXPECT_EQ(got->mStatus, acceptance_status::Accepted);
}

} // namespace
} // namespace sapphirespar
