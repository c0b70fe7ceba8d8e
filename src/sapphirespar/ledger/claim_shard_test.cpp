// One shard and its owners under faults of the store.
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

// One process that owns, or believes it owns, the shard.
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

  using told = std::shared_ptr<std::optional<claim_answer>>;

  told Ask(const std::string& aKey,
           const process_id& aClaimant,
           const std::string& aRequest,
           const std::string& aReleased = "")
  {
    auto answer = std::make_shared<std::optional<claim_answer>>();
    mShard.Ask({ aKey, aClaimant, { aRequest }, { aReleased } },
               [answer](const auto& aAnswer) { *answer = aAnswer; });
    return answer;
  }

  pausable_timer_service mTimers;
  fake_platform mPlatform;
  claim_shard mShard;
};

struct two_owners
{
  claim_verdict Verdict(const test_owner::told& aTold)
  {
    mTimers.Advance(10s);
    return aTold->value().mVerdict;
  }

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  test_owner mOwner{ mTimers, mStore };
  test_owner mRival{ mTimers, mStore };
};

TEST(ClaimShard, AKeyIsGrantedToOneAttempt)
{
  two_owners world;
  EXPECT_EQ(world.Verdict(world.mOwner.Ask("k", kFirst, "r1")),
            claim_verdict::Granted);
  const auto second = world.mOwner.Ask("k", kSecond, "r2");
  EXPECT_EQ(world.Verdict(second), claim_verdict::Taken);
  EXPECT_EQ(second->value().mHolder, kFirst);
  EXPECT_EQ(second->value().mHeldRequest, request_id{ "r1" });
}

TEST(ClaimShard, AskingAgainIsHarmless)
{
  two_owners world;
  EXPECT_EQ(world.Verdict(world.mOwner.Ask("k", kFirst, "r1")),
            claim_verdict::Granted);
  EXPECT_EQ(world.Verdict(world.mOwner.Ask("k", kFirst, "r1")),
            claim_verdict::Granted);
  EXPECT_EQ(world.Verdict(world.mRival.Ask("k", kFirst, "r1")),
            claim_verdict::Granted);
}

TEST(ClaimShard, AReleasedAttemptPassesTheKeyOnOnce)
{
  two_owners world;
  world.Verdict(world.mOwner.Ask("k", kFirst, "r1"));
  const auto second = world.mOwner.Ask("k", kSecond, "r2", "r1");
  const auto third = world.mOwner.Ask("k", kFirst, "r3", "r1");
  EXPECT_EQ(world.Verdict(second), claim_verdict::Granted);
  EXPECT_EQ(world.Verdict(third), claim_verdict::Taken);
}

TEST(ClaimShard, ManyClaimsShareOneWrite)
{
  two_owners world;
  world.Verdict(world.mOwner.Ask("first", kFirst, "r0"));
  const auto before = world.mOwner.mPlatform.Calls().mWrites;
  std::vector<test_owner::told> told;
  for (int i = 0; i < 50; ++i) {
    const auto name = std::to_string(i);
    told.push_back(world.mOwner.Ask(name, kFirst, "r" + name));
  }
  world.mTimers.Advance(2s);
  for (const auto& answer : told) {
    EXPECT_EQ(answer->value().mVerdict, claim_verdict::Granted);
  }
  // The first goes alone, the others gather while it is written.
  EXPECT_EQ(world.mOwner.mPlatform.Calls().mWrites - before, 2U);
}

TEST(ClaimShard, FullHeadsMoveToArchivesThatNewOwnersRead)
{
  two_owners world;
  claim_shard_settings settings;
  settings.mHeadRows = 4;
  settings.mArchiveBytes = 1500;
  test_owner owner(world.mTimers, world.mStore, settings);
  for (int i = 0; i < 60; ++i) {
    const auto name = std::to_string(i);
    ASSERT_EQ(world.Verdict(owner.Ask(name, kFirst, "r" + name)),
              claim_verdict::Granted);
  }
  const auto head = DecodeHead(world.mStore->Find(HeadKey(kShard))->mValue);
  EXPECT_GT(head->mArchives.size(), 2U);
  EXPECT_LE(head->mRows.size(), settings.mHeadRows);
  for (int i = 0; i < 60; ++i) {
    EXPECT_EQ(world.Verdict(world.mRival.Ask(std::to_string(i), kSecond, "x")),
              claim_verdict::Taken);
  }
}

TEST(ClaimShard, OldArchivesAreDroppedOnceRetentionIsOver)
{
  two_owners world;
  claim_shard_settings settings;
  settings.mHeadRows = 1;
  settings.mArchiveBytes = 1;
  settings.mRetention = 60s;
  test_owner owner(world.mTimers, world.mStore, settings);
  for (int i = 0; i < 20; ++i) {
    world.Verdict(owner.Ask(std::to_string(i), kFirst, "r"));
  }
  EXPECT_LT(world.mStore->Changes(kClaimKind, 0).size(), 22U);
  EXPECT_EQ(world.Verdict(owner.Ask("0", kSecond, "x")),
            claim_verdict::Granted);
  EXPECT_EQ(world.Verdict(owner.Ask("19", kSecond, "x")), claim_verdict::Taken);
}

TEST(Fault_AnswerLost, Claim_Commit_TheWriteIsReadBack)
{
  two_owners world;
  world.mOwner.mPlatform.Faults().mLoseAnswers = 1;
  EXPECT_EQ(world.Verdict(world.mOwner.Ask("k", kFirst, "r1")),
            claim_verdict::Granted);
  EXPECT_EQ(world.Verdict(world.mRival.Ask("k", kSecond, "r2")),
            claim_verdict::Taken);
}

TEST(Fault_MessageLost, Claim_Commit_ALostWriteIsWrittenAgain)
{
  two_owners world;
  world.mOwner.mPlatform.Faults().mLoseRequests = 1;
  EXPECT_EQ(world.Verdict(world.mOwner.Ask("k", kFirst, "r1")),
            claim_verdict::Granted);
}

TEST(Fault_PausePastLease, Claim_Commit_AWokenOwnersWriteFails)
{
  two_owners world;
  world.Verdict(world.mOwner.Ask("other", kFirst, "r0"));
  const auto paused = world.mOwner.Ask("k", kFirst, "r1");
  world.mOwner.mTimers.Pause();
  const auto taken = world.mRival.Ask("k", kSecond, "r2");
  EXPECT_EQ(world.Verdict(taken), claim_verdict::Granted);
  world.mOwner.mTimers.Resume();
  EXPECT_NE(world.Verdict(paused), claim_verdict::Granted);
  EXPECT_EQ(world.Verdict(world.mRival.Ask("k", kSecond, "r2")),
            claim_verdict::Granted);
}

TEST(Fault_StoreOutage, Claim_Commit_NothingIsGrantedAndThenAllIs)
{
  two_owners world;
  world.mOwner.mPlatform.Faults().mOutage = true;
  EXPECT_EQ(world.Verdict(world.mOwner.Ask("k", kFirst, "r1")),
            claim_verdict::Refused);
  world.mOwner.mPlatform.Faults().mOutage = false;
  EXPECT_EQ(world.Verdict(world.mOwner.Ask("k", kFirst, "r1")),
            claim_verdict::Granted);
}

TEST(Fault_Slow, Claim_Commit_AStoreSlowerThanPatienceGrantsNothingTwice)
{
  two_owners world;
  world.mOwner.mPlatform.Faults().mDelay = 3s;
  EXPECT_EQ(world.Verdict(world.mOwner.Ask("k", kFirst, "r1")),
            claim_verdict::Refused);
  world.mOwner.mPlatform.Faults().mDelay = 4ms;
  const auto second = world.Verdict(world.mOwner.Ask("k", kSecond, "r2"));
  const auto first = world.Verdict(world.mRival.Ask("k", kFirst, "r1"));
  EXPECT_EQ(second == claim_verdict::Granted, first == claim_verdict::Taken);
}

TEST(Fault_CrashAfter, Claim_Commit_ANewOwnerKnowsTheClaim)
{
  two_owners world;
  {
    test_owner doomed(world.mTimers, world.mStore);
    doomed.Ask("k", kFirst, "r1");
    // The write has reached the store, its answer is under way.
    world.mTimers.Advance(7ms);
  }
  EXPECT_NE(world.mStore->Find(HeadKey(kShard)), nullptr);
  EXPECT_EQ(world.Verdict(world.mRival.Ask("k", kSecond, "r2")),
            claim_verdict::Taken);
}

TEST(Fault_CrashBefore, Claim_Commit_TheKeyIsStillFree)
{
  two_owners world;
  {
    test_owner doomed(world.mTimers, world.mStore);
    doomed.Ask("k", kFirst, "r1");
    world.mTimers.Advance(1ms);
  }
  EXPECT_EQ(world.mStore->Find(HeadKey(kShard)), nullptr);
  EXPECT_EQ(world.Verdict(world.mRival.Ask("k", kSecond, "r2")),
            claim_verdict::Granted);
}

TEST(Fault_TwoOperators, Claim_Commit_OfTwoOwnersOneGrants)
{
  two_owners world;
  world.Verdict(world.mOwner.Ask("a", kFirst, "r0"));
  world.Verdict(world.mRival.Ask("b", kFirst, "r0"));
  const auto first = world.mOwner.Ask("k", kFirst, "r1");
  const auto second = world.mRival.Ask("k", kSecond, "r2");
  const auto granted =
    (world.Verdict(first) == claim_verdict::Granted ? 1 : 0) +
    (world.Verdict(second) == claim_verdict::Granted ? 1 : 0);
  EXPECT_EQ(granted, 1);
}

// The shard's clock counts only time that an owner has seen pass, so that a
// new owner whose clock is far ahead drops nothing early.
TEST(Fault_ClockJump, Claim_Commit_KeysAreNotForgottenEarly)
{
  two_owners world;
  claim_shard_settings settings;
  settings.mHeadRows = 1;
  settings.mArchiveBytes = 1;
  settings.mRetention = 60s;
  test_owner owner(world.mTimers, world.mStore, settings);
  for (int i = 0; i < 4; ++i) {
    world.Verdict(owner.Ask(std::to_string(i), kFirst, "r"));
  }
  world.mTimers.Advance(1h);
  test_owner ahead(world.mTimers, world.mStore, settings);
  world.Verdict(ahead.Ask("new", kFirst, "r"));
  world.Verdict(ahead.Ask("newer", kFirst, "r"));
  EXPECT_EQ(world.Verdict(ahead.Ask("0", kSecond, "x")), claim_verdict::Taken);
}

TEST(ClaimShard, AClaimThatComesWhileTheHeadIsArchivedIsStillChecked)
{
  two_owners world;
  claim_shard_settings settings;
  settings.mHeadRows = 1;
  test_owner owner(world.mTimers, world.mStore, settings);
  world.Verdict(owner.Ask("k", kFirst, "r1"));
  const auto other = owner.Ask("other", kFirst, "r2");
  // The archive is on its way.
  world.mTimers.Advance(1ms);
  const auto second = owner.Ask("k", kSecond, "r3");
  EXPECT_EQ(world.Verdict(other), claim_verdict::Granted);
  EXPECT_EQ(world.Verdict(second), claim_verdict::Taken);
}

// One thing that happens to one of two owners with tiny heads and archives.
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

struct owner_chaos
{
  owner_chaos()
  {
    mSettings.mHeadRows = 2;
    mSettings.mArchiveBytes = 400;
    mSettings.mCommitGap = 20ms;
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

  void Ask(unsigned aOwner, unsigned aKey)
  {
    const auto key = std::to_string(aKey);
    const auto request = "r" + std::to_string(++mRequests);
    Owner(aOwner).mShard.Ask({ key, kFirst, { request }, {} },
                             [this, key](const auto& aAnswer) {
                               if (aAnswer.mVerdict == claim_verdict::Granted) {
                                 mGranted[key].insert(aAnswer.mRequest);
                               }
                             });
  }

  void Do(const owner_step& aStep)
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
        Ask(aStep.mOwner, aStep.mKey);
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
  owner_chaos chaos;
  for (const auto& step : steps) {
    chaos.Do(step);
    for (const auto& [key, requests] : chaos.mGranted) {
      RC_ASSERT(requests.size() == 1U);
    }
  }
}

} // namespace
} // namespace sapphirespar::ledger
