// Tests a claim shard whose store was restored while archives were removed.
#include "claim_rows.hpp"
#include "sapphirespar/ledger/claim_shard.hpp"
#include "sapphirespar/model/fake_platform.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace sapphirespar::ledger {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kShard = 5;
const process_id kClaimant{ { "vm1" }, 1 };

claim_shard_settings
TinyArchives()
{
  claim_shard_settings settings;
  settings.mMaxHeadRows = 2;
  settings.mMaxArchiveBytes = 300;
  settings.mRetention = 10s;
  return settings;
}

struct tiny_shard
{
  claim_verdict Claim(claim_shard& aShard, const std::string& aKey)
  {
    auto verdict = claim_verdict::Refused;
    aShard.Claim({ aKey, kClaimant, { "r-" + aKey }, {}, true },
                 [&](const auto& aAnswer) { verdict = aAnswer.mVerdict; });
    mTimers.Advance(3s);
    return verdict;
  }

  bool Exists(const object_key& aKey) const
  {
    const auto* object = mStore->Find(aKey);
    return object != nullptr && !object->mDeleted;
  }

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  fake_platform mPlatform{ mTimers, mStore };
};

// The head of the copy refers to the archive, whose removal reaches the store
// only after the restore.
TEST(Fault_StoreRestore, Claim_Commit_ALateRemovalBlocksNoShard)
{
  tiny_shard world;
  world.mStore->mEra = 1;
  claim_shard owner(kShard, world.mPlatform, world.mTimers, TinyArchives());
  for (int count = 0; count < 8; ++count) {
    ASSERT_EQ(world.Claim(owner, "k" + std::to_string(count)),
              claim_verdict::Granted);
  }
  const auto oldest =
    DecodeHead(world.mStore->Find(HeadKey(kShard))->mValue)->mArchives.at(0);
  const auto archive = ArchiveKey(kShard, oldest.mNumber);
  ASSERT_TRUE(world.Exists(archive));
  const auto copy = world.mStore->Copy();
  world.mTimers.Advance(20s);
  ASSERT_EQ(world.Claim(owner, "late"), claim_verdict::Granted);
  ASSERT_FALSE(world.Exists(archive));
  world.mStore->Restore(copy);
  world.mStore->Write(archive, "", true, world.mStore->Find(archive)->mVersion);
  claim_shard next(kShard, world.mPlatform, world.mTimers, TinyArchives());
  // The first claim waits for the time after the restore.
  world.Claim(next, "new");
  world.mTimers.Advance(6s);
  EXPECT_EQ(world.Claim(next, "new"), claim_verdict::Granted);
}

} // namespace
} // namespace sapphirespar::ledger
