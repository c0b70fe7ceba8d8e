// The owner's side of claims: one shard of the idempotency keys, stored in
// platform objects. A claim is granted only by a conditional update against the
// head's current version, so a paused owner or a second owner of the same shard
// cannot grant a key twice. A store that comes back from an older copy gives
// versions out again, so a commit also needs a read of the head in the same era
// shortly before.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/peer_message.hpp"
#include "sapphirespar/model/platform.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace sapphirespar::ledger {

struct claim_shard_settings
{
  // Shortest time between the starts of two commits. Limits the write rate of
  // one shard.
  std::chrono::milliseconds mCommitInterval{ 500 };
  // Maximum number of claims that one commit adds.
  std::size_t mMaxBatchClaims = 100;
  // The head's rows move to an archive once there are this many.
  std::size_t mMaxHeadRows = 100;
  // Largest size of an archive; far below the object size limit of the store.
  std::size_t mMaxArchiveBytes = 512 * 1024;
  // Claimed keys are kept for at least this long.
  std::chrono::seconds mRetention{ 24 * 3600 };
  // A platform call without an answer after this time counts as Unknown.
  std::chrono::milliseconds mCallTimeout{ 1500 };
  // A claim that is still undecided after this time is refused.
  std::chrono::milliseconds mDecisionTimeout{ 2500 };
};

struct claim_shard_hooks
{
  // Returns whether all claimants have reported their claims since the store's
  // last restore. Unset means no.
  std::function<bool()> mAllReported;
  // Returns when this process learned of the store's present era; nothing if it
  // knows none. Unset means nothing.
  std::function<std::optional<steady_time>()> mEraKnownAt;
};

using claim_callback = std::function<void(claim_answer)>;

class claim_shard
{
public:
  claim_shard(std::uint32_t aNumber,
              platform_api& aPlatform,
              timer_service& aTimers,
              claim_shard_settings aSettings = {},
              claim_shard_hooks aHooks = {});
  ~claim_shard();
  claim_shard(const claim_shard&) = delete;
  claim_shard& operator=(const claim_shard&) = delete;

  // Claims a key and calls aDone with the answer. Granted is reported only
  // after the write is known to have succeeded. The same request may be sent
  // again, to this owner or to another one.
  void Claim(claim_request aRequest, claim_callback aDone);

  // Records the outcome of a claimed request in memory. The next commit stores
  // it.
  void Finished(const claim_finished& aEnd);

  // Reports an era of the store. When it rises, claims that are missing in the
  // store are committed again, and no new one is granted until claimants have
  // had time to report theirs.
  void NoteStoreEra(store_era aEra);

  // Commits a claim that its holder reports after a restore of the store.
  void Report(const process_id& aHolder, const claim_finished& aClaim);

  // Returns when Claim or Report was last called.
  steady_time LastUsed() const;

private:
  class state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::ledger
