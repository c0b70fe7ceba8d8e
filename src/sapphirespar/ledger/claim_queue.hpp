// The undecided claims of one shard: those that wait, and the batch that is
// being committed.
#pragma once

#include "claim_cache.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/ledger/claim_shard.hpp"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace sapphirespar::ledger {

struct waiting_claim
{
  claim_request mRequest;
  std::string mHash;
  claim_callback mDone;
  steady_time mDeadline{};
};

class claim_queue
{
public:
  // Queues a claim. If the request is already queued, its callback is replaced
  // and its deadline stays.
  void Add(claim_request aRequest, claim_callback aDone, steady_time aDeadline);

  // Returns whether no claim waits. Claims in the batch do not count.
  bool Empty() const { return mWaiting.empty(); }

  // Removes and returns claims whose deadline has passed.
  std::vector<waiting_claim> TakeExpired(steady_time aNow);

  // Removes and returns the waiting claims whose keys are already claimed.
  std::vector<waiting_claim> TakeDecided(const claim_cache& aCache);

  // Removes and returns the waiting claims of keys that an earlier attempt may
  // have claimed in a lost span: those without a row, or with one that was
  // claimed no later than aCertainAfter, in seconds on the shard's clock.
  std::vector<waiting_claim> TakeUncertain(const claim_cache& aCache,
                                           std::uint64_t aCertainAfter);

  // Moves waiting claims with free keys to the batch, until it has aLimit
  // claims, and adds their rows to aNext.
  void FillBatch(const claim_cache& aCache,
                 std::size_t aLimit,
                 claim_head& aNext);

  // Removes and returns the batch.
  std::vector<waiting_claim> TakeBatch();

  // Moves the batch back to the waiting claims, in order of deadlines.
  void PutBatchBack();

private:
  std::vector<waiting_claim> TakeIf(
    const std::function<bool(const waiting_claim&)>& aIsTaken);

  // In order of deadlines.
  std::deque<waiting_claim> mWaiting;
  std::vector<waiting_claim> mBatch;
};

} // namespace sapphirespar::ledger
