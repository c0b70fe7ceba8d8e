// Tests a claim shard and its owners under faults of the store.
#include "sapphirespar/ledger/claim_shard.hpp"

#include "claim_rows.hpp"
#include "sapphirespar/base/pausable_timer_service.hpp"
#include "sapphirespar/model/fake_platform.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>
#include <set>

namespace sapphirespar::ledger {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kShard = 5;
const process_id kFirst{ { "vm1" }, 1 };
const process_id kSecond{ { "vm2" }, 1 };

// A process that owns the shard or believes that it does.
struct test_owner
{
  test_owner(timer_service& aTimers,
             const std::shared_ptr<fake_store>& aStore,
             claim_shard_settings aSettings = {})
    : mTimers(aTimers)
    , mPlatform(mTimers, aStore)
    , mShard(kShard, mPlatform, mTimers, aSettings)
  {
    mPlatform.Faults().mDelay = 4ms;
  }

  using pending_answer = std::shared_ptr<std::optional<claim_answer>>;

  pending_answer Claim(const std::string& aKey,
                       const process_id& aClaimant,
                       const std::string& aRequest,
                       const std::string& aReleased = "")
  {
    auto answer = std::make_shared<std::optional<claim_answer>>();
    mShard.Claim({ aKey, aClaimant, { aRequest }, { aReleased } },
                 [answer](const auto& aAnswer) { *answer = aAnswer; });
    return answer;
  }

  pausable_timer_service mTimers;
  fake_platform mPlatform;
  claim_shard mShard;
};

struct two_owners
{
  claim_verdict Verdict(const test_owner::pending_answer& aPending)
  {
    mTimers.Advance(10s);
    return aPending->value().mVerdict;
  }

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  test_owner mOwner{ mTimers, mStore };
  test_owner mOther{ mTimers, mStore };
};

TEST(ClaimShard, AKeyIsGrantedToOneAttempt)
{
  two_owners owners;
  EXPECT_EQ(owners.Verdict(owners.mOwner.Claim("k", kFirst, "r1")),
            claim_verdict::Granted);
  const auto second = owners.mOwner.Claim("k", kSecond, "r2");
  EXPECT_EQ(owners.Verdict(second), claim_verdict::Taken);
  EXPECT_EQ(second->value().mHolder, kFirst);
  EXPECT_EQ(second->value().mHeldRequest, request_id{ "r1" });
}

TEST(ClaimShard, ARepeatedClaimGetsTheSameAnswer)
{
  two_owners owners;
  EXPECT_EQ(owners.Verdict(owners.mOwner.Claim("k", kFirst, "r1")),
            claim_verdict::Granted);
  EXPECT_EQ(owners.Verdict(owners.mOwner.Claim("k", kFirst, "r1")),
            claim_verdict::Granted);
  EXPECT_EQ(owners.Verdict(owners.mOther.Claim("k", kFirst, "r1")),
            claim_verdict::Granted);
}

TEST(ClaimShard, AReleasedKeyIsGrantedToOneNewAttempt)
{
  two_owners owners;
  owners.Verdict(owners.mOwner.Claim("k", kFirst, "r1"));
  const auto second = owners.mOwner.Claim("k", kSecond, "r2", "r1");
  const auto third = owners.mOwner.Claim("k", kFirst, "r3", "r1");
  EXPECT_EQ(owners.Verdict(second), claim_verdict::Granted);
  EXPECT_EQ(owners.Verdict(third), claim_verdict::Taken);
}

TEST(ClaimShard, ManyClaimsShareOneWrite)
{
  two_owners owners;
  owners.Verdict(owners.mOwner.Claim("first", kFirst, "r0"));
  const auto before = owners.mOwner.mPlatform.Calls().mWrites;
  std::vector<test_owner::pending_answer> pending;
  for (int i = 0; i < 50; ++i) {
    const auto name = std::to_string(i);
    pending.push_back(owners.mOwner.Claim(name, kFirst, "r" + name));
  }
  owners.mTimers.Advance(2s);
  for (const auto& answer : pending) {
    EXPECT_EQ(answer->value().mVerdict, claim_verdict::Granted);
  }
  // The first claim is written alone. The others wait for that write and are
  // committed together.
  EXPECT_EQ(owners.mOwner.mPlatform.Calls().mWrites - before, 2U);
}

TEST(ClaimShard, FullHeadsMoveToArchivesThatNewOwnersRead)
{
  two_owners owners;
  claim_shard_settings settings;
  settings.mMaxHeadRows = 4;
  settings.mMaxArchiveBytes = 1500;
  test_owner owner(owners.mTimers, owners.mStore, settings);
  for (int i = 0; i < 60; ++i) {
    const auto name = std::to_string(i);
    ASSERT_EQ(owners.Verdict(owner.Claim(name, kFirst, "r" + name)),
              claim_verdict::Granted);
  }
  const auto head = DecodeHead(owners.mStore->Find(HeadKey(kShard))->mValue);
  EXPECT_GT(head->mArchives.size(), 2U);
  EXPECT_LE(head->mRows.size(), settings.mMaxHeadRows);
  for (int i = 0; i < 60; ++i) {
    EXPECT_EQ(
      owners.Verdict(owners.mOther.Claim(std::to_string(i), kSecond, "x")),
      claim_verdict::Taken);
  }
}

TEST(ClaimShard, OldArchivesAreDroppedOnceRetentionIsOver)
{
  two_owners owners;
  claim_shard_settings settings;
  settings.mMaxHeadRows = 1;
  settings.mMaxArchiveBytes = 1;
  settings.mRetention = 60s;
  test_owner owner(owners.mTimers, owners.mStore, settings);
  for (int i = 0; i < 20; ++i) {
    owners.Verdict(owner.Claim(std::to_string(i), kFirst, "r"));
  }
  EXPECT_LT(owners.mStore->Changes(kClaimKind, 0).size(), 22U);
  EXPECT_EQ(owners.Verdict(owner.Claim("0", kSecond, "x")),
            claim_verdict::Granted);
  EXPECT_EQ(owners.Verdict(owner.Claim("19", kSecond, "x")),
            claim_verdict::Taken);
}

TEST(Fault_AnswerLost, Claim_Commit_TheWriteIsReadBack)
{
  two_owners owners;
  owners.mOwner.mPlatform.Faults().mLoseAnswers = 1;
  EXPECT_EQ(owners.Verdict(owners.mOwner.Claim("k", kFirst, "r1")),
            claim_verdict::Granted);
  EXPECT_EQ(owners.Verdict(owners.mOther.Claim("k", kSecond, "r2")),
            claim_verdict::Taken);
}

TEST(Fault_MessageLost, Claim_Commit_ALostWriteIsWrittenAgain)
{
  two_owners owners;
  owners.mOwner.mPlatform.Faults().mLoseRequests = 1;
  EXPECT_EQ(owners.Verdict(owners.mOwner.Claim("k", kFirst, "r1")),
            claim_verdict::Granted);
}

TEST(Fault_PausePastLease, Claim_Commit_AWokenOwnersWriteFails)
{
  two_owners owners;
  owners.Verdict(owners.mOwner.Claim("other", kFirst, "r0"));
  const auto paused = owners.mOwner.Claim("k", kFirst, "r1");
  owners.mOwner.mTimers.Pause();
  const auto taken = owners.mOther.Claim("k", kSecond, "r2");
  EXPECT_EQ(owners.Verdict(taken), claim_verdict::Granted);
  owners.mOwner.mTimers.Resume();
  EXPECT_NE(owners.Verdict(paused), claim_verdict::Granted);
  EXPECT_EQ(owners.Verdict(owners.mOther.Claim("k", kSecond, "r2")),
            claim_verdict::Granted);
}

TEST(Fault_StoreOutage, Claim_Commit_NothingIsGrantedAndThenAllIs)
{
  two_owners owners;
  owners.mOwner.mPlatform.Faults().mOutage = true;
  EXPECT_EQ(owners.Verdict(owners.mOwner.Claim("k", kFirst, "r1")),
            claim_verdict::Refused);
  owners.mOwner.mPlatform.Faults().mOutage = false;
  EXPECT_EQ(owners.Verdict(owners.mOwner.Claim("k", kFirst, "r1")),
            claim_verdict::Granted);
}

TEST(Fault_Slow, Claim_Commit_AStoreSlowerThanPatienceGrantsNothingTwice)
{
  two_owners owners;
  owners.mOwner.mPlatform.Faults().mDelay = 3s;
  EXPECT_EQ(owners.Verdict(owners.mOwner.Claim("k", kFirst, "r1")),
            claim_verdict::Refused);
  owners.mOwner.mPlatform.Faults().mDelay = 4ms;
  const auto second = owners.Verdict(owners.mOwner.Claim("k", kSecond, "r2"));
  const auto first = owners.Verdict(owners.mOther.Claim("k", kFirst, "r1"));
  EXPECT_EQ(second == claim_verdict::Granted, first == claim_verdict::Taken);
}

TEST(Fault_CrashAfter, Claim_Commit_ANewOwnerKnowsTheClaim)
{
  two_owners owners;
  {
    test_owner crashing(owners.mTimers, owners.mStore);
    crashing.Claim("k", kFirst, "r1");
    // The write has reached the store; its answer has not arrived yet.
    owners.mTimers.Advance(7ms);
  }
  EXPECT_NE(owners.mStore->Find(HeadKey(kShard)), nullptr);
  EXPECT_EQ(owners.Verdict(owners.mOther.Claim("k", kSecond, "r2")),
            claim_verdict::Taken);
}

TEST(Fault_CrashBefore, Claim_Commit_TheKeyIsStillFree)
{
  two_owners owners;
  {
    test_owner crashing(owners.mTimers, owners.mStore);
    crashing.Claim("k", kFirst, "r1");
    owners.mTimers.Advance(1ms);
  }
  EXPECT_EQ(owners.mStore->Find(HeadKey(kShard)), nullptr);
  EXPECT_EQ(owners.Verdict(owners.mOther.Claim("k", kSecond, "r2")),
            claim_verdict::Granted);
}

TEST(Fault_TwoOperators, Claim_Commit_OfTwoOwnersOneGrants)
{
  two_owners owners;
  owners.Verdict(owners.mOwner.Claim("a", kFirst, "r0"));
  owners.Verdict(owners.mOther.Claim("b", kFirst, "r0"));
  const auto first = owners.mOwner.Claim("k", kFirst, "r1");
  const auto second = owners.mOther.Claim("k", kSecond, "r2");
  const auto granted =
    (owners.Verdict(first) == claim_verdict::Granted ? 1 : 0) +
    (owners.Verdict(second) == claim_verdict::Granted ? 1 : 0);
  EXPECT_EQ(granted, 1);
}

// The shard's clock counts only time during which an owner has the shard
// loaded. A new owner whose clock is far ahead must not drop claims early.
TEST(Fault_ClockJump, Claim_Commit_KeysAreNotForgottenEarly)
{
  two_owners owners;
  claim_shard_settings settings;
  settings.mMaxHeadRows = 1;
  settings.mMaxArchiveBytes = 1;
  settings.mRetention = 60s;
  test_owner owner(owners.mTimers, owners.mStore, settings);
  for (int i = 0; i < 4; ++i) {
    owners.Verdict(owner.Claim(std::to_string(i), kFirst, "r"));
  }
  owners.mTimers.Advance(1h);
  test_owner ahead(owners.mTimers, owners.mStore, settings);
  owners.Verdict(ahead.Claim("new", kFirst, "r"));
  owners.Verdict(ahead.Claim("newer", kFirst, "r"));
  EXPECT_EQ(owners.Verdict(ahead.Claim("0", kSecond, "x")),
            claim_verdict::Taken);
}

TEST(ClaimShard, AClaimThatComesWhileTheHeadIsArchivedIsStillChecked)
{
  two_owners owners;
  claim_shard_settings settings;
  settings.mMaxHeadRows = 1;
  test_owner owner(owners.mTimers, owners.mStore, settings);
  owners.Verdict(owner.Claim("k", kFirst, "r1"));
  const auto other = owner.Claim("other", kFirst, "r2");
  // The archive is being written.
  owners.mTimers.Advance(1ms);
  const auto second = owner.Claim("k", kSecond, "r3");
  EXPECT_EQ(owners.Verdict(other), claim_verdict::Granted);
  EXPECT_EQ(owners.Verdict(second), claim_verdict::Taken);
}

// A random event at one of two owners.
struct owner_step
{
  unsigned mKind = 0;
  unsigned mOwner = 0;
  unsigned mKey = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const owner_step& aStep)
{
  return aOut << aStep.mKind << '/' << aStep.mOwner << '/' << aStep.mKey;
}

// Applies random steps to two owners of one shard, with heads and archives so
// small that archiving happens often.
struct owner_simulation
{
  owner_simulation()
  {
    mSettings.mMaxHeadRows = 2;
    mSettings.mMaxArchiveBytes = 400;
    mSettings.mCommitInterval = 20ms;
    mOwners.resize(2);
  }

  test_owner& Owner(unsigned aNumber)
  {
    auto& owner = mOwners[aNumber];
    if (!owner) {
      owner = std::make_unique<test_owner>(mTimers, mStore, mSettings);
    }
    return *owner;
  }

  void Claim(unsigned aOwner, unsigned aKey)
  {
    const auto key = std::to_string(aKey);
    const auto request = "r" + std::to_string(++mRequests);
    Owner(aOwner).mShard.Claim(
      { key, kFirst, { request }, {} }, [this, key](const auto& aAnswer) {
        if (aAnswer.mVerdict == claim_verdict::Granted) {
          mGranted[key].insert(aAnswer.mRequest);
        }
      });
  }

  void Apply(const owner_step& aStep)
  {
    auto& owner = Owner(aStep.mOwner);
    auto& faults = owner.mPlatform.Faults();
    switch (aStep.mKind) {
      case 0:
        mOwners[aStep.mOwner].reset();
        break;
      case 1:
        owner.mTimers.Pause();
        break;
      case 2:
        owner.mTimers.Resume();
        break;
      case 3:
        faults.mOutage = !faults.mOutage;
        break;
      case 4:
        ++faults.mLoseAnswers;
        break;
      case 5:
        ++faults.mLoseRequests;
        break;
      case 6:
      case 7:
        mTimers.Advance(std::chrono::milliseconds(3 * aStep.mKey + 1));
        break;
      default:
        Claim(aStep.mOwner, aStep.mKey);
    }
  }

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  claim_shard_settings mSettings;
  std::vector<std::unique_ptr<test_owner>> mOwners;
  unsigned mRequests = 0;
  std::map<std::string, std::set<request_id>> mGranted;
};

RC_GTEST_PROP(ClaimShard, OneAttemptIsGrantedUnderAnyFaults, ())
{
  const auto steps = *rc::gen::container<std::vector<owner_step>>(
    200,
    rc::gen::construct<owner_step>(rc::gen::inRange(0U, 14U),
                                   rc::gen::inRange(0U, 2U),
                                   rc::gen::inRange(0U, 8U)));
  owner_simulation simulation;
  for (const auto& step : steps) {
    simulation.Apply(step);
    for (const auto& [key, requests] : simulation.mGranted) {
      RC_ASSERT(requests.size() == 1U);
    }
  }
}

} // namespace
} // namespace sapphirespar::ledger
