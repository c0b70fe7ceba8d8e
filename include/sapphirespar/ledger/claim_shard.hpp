// The owner's side of claims: one shard of the idempotency keys, kept in
// platform objects. Whoever holds the shard in memory, only a conditional
// update against the head's current version grants a claim, so that an owner
// that was paused, or a second one, can grant nothing twice.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/peer_message.hpp"
#include "sapphirespar/model/platform.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace sapphirespar::ledger {

struct claim_shard_settings
{
  // Between the starts of two commits; bounds the writes of one shard.
  std::chrono::milliseconds mCommitGap{ 500 };
  // Claims in one commit.
  std::size_t mBatchLimit = 100;
  // Claims in the head before they move to an archive.
  std::size_t mHeadRows = 100;
  // Size of an archive; far below what the store takes.
  std::size_t mArchiveBytes = 512 * 1024;
  // Keys are known at least that long.
  std::chrono::seconds mRetention{ 24 * 3600 };
  // A call that has not been answered by then counts as Unknown.
  std::chrono::milliseconds mCallTimeout{ 1500 };
  // A claim that could not be decided by then is refused.
  std::chrono::milliseconds mPatience{ 2500 };
};

using claim_callback = std::function<void(claim_answer)>;

class claim_shard
{
public:
  claim_shard(std::uint32_t aNumber,
              platform_api& aPlatform,
              timer_service& aTimers,
              claim_shard_settings aSettings = {});
  ~claim_shard();
  claim_shard(const claim_shard&) = delete;
  claim_shard& operator=(const claim_shard&) = delete;

  // Granted is answered only once the write is certain. The same request may
  // be asked again, here or at another owner.
  void Ask(claim_request aRequest, claim_callback aDone);

  // Notes how a claimed request ended; it is kept with the next commit.
  void Finished(const claim_finished& aEnd);

  // When it was last asked.
  steady_time LastUsed() const;

private:
  class state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::ledger
