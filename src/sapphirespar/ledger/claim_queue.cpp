// Moves claims between the waiting queue and the batch of a shard.
#include "claim_queue.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace sapphirespar::ledger {

void
claim_queue::Add(claim_request aRequest,
                 claim_callback aDone,
                 steady_time aDeadline)
{
  const auto isSame = [&](const waiting_claim& aItem) {
    return aItem.mRequest.mRequest == aRequest.mRequest &&
           aItem.mRequest.mClaimant == aRequest.mClaimant;
  };
  const auto waiting = std::ranges::find_if(mWaiting, isSame);
  const auto committing = std::ranges::find_if(mBatch, isSame);
  if (waiting != mWaiting.end()) {
    waiting->mRequest = std::move(aRequest);
    waiting->mDone = std::move(aDone);
  } else if (committing != mBatch.end()) {
    committing->mDone = std::move(aDone);
  } else {
    auto hash = HashClaimKey(aRequest.mKey);
    mWaiting.push_back(
      { std::move(aRequest), std::move(hash), std::move(aDone), aDeadline });
  }
}

std::vector<waiting_claim>
claim_queue::TakeExpired(steady_time aNow)
{
  std::vector<waiting_claim> expired;
  while (!mWaiting.empty() && mWaiting.front().mDeadline <= aNow) {
    expired.push_back(std::move(mWaiting.front()));
    mWaiting.pop_front();
  }
  return expired;
}

std::vector<waiting_claim>
claim_queue::TakeDecided(const claim_cache& aCache)
{
  return TakeIf([&](const waiting_claim& aItem) {
    return !IsFree(aItem.mRequest, aCache.Find(aItem.mHash));
  });
}

std::vector<waiting_claim>
claim_queue::TakeUncertain(const claim_cache& aCache,
                           std::uint64_t aCertainAfter)
{
  return TakeIf([&](const waiting_claim& aItem) {
    const auto* const row = aCache.Find(aItem.mHash);
    return !aItem.mRequest.mFirstAttempt &&
           (row == nullptr || row->mClaimedAt <= aCertainAfter);
  });
}

std::vector<waiting_claim>
claim_queue::TakeIf(const std::function<bool(const waiting_claim&)>& aIsTaken)
{
  std::vector<waiting_claim> taken;
  std::deque<waiting_claim> remaining;
  for (auto& item : mWaiting) {
    if (aIsTaken(item)) {
      taken.push_back(std::move(item));
    } else {
      remaining.push_back(std::move(item));
    }
  }
  mWaiting = std::move(remaining);
  return taken;
}

// A claim may have been added since TakeDecided, so each key is looked up
// again. A second claim of the same key waits until the first is committed.
void
claim_queue::FillBatch(const claim_cache& aCache,
                       std::size_t aLimit,
                       claim_head& aNext)
{
  std::set<std::string> hashes;
  std::deque<waiting_claim> remaining;
  for (auto& item : mWaiting) {
    const auto& request = item.mRequest;
    if (mBatch.size() >= aLimit || !IsFree(request, aCache.Find(item.mHash)) ||
        !hashes.insert(item.mHash).second) {
      remaining.push_back(std::move(item));
      continue;
    }
    aNext.mRows[item.mHash] = {
      request.mClaimant, request.mRequest, outcome::Unknown, aNext.mClock
    };
    mBatch.push_back(std::move(item));
  }
  mWaiting = std::move(remaining);
}

std::vector<waiting_claim>
claim_queue::TakeBatch()
{
  return std::exchange(mBatch, {});
}

void
claim_queue::PutBatchBack()
{
  std::ranges::move(mBatch, std::back_inserter(mWaiting));
  mBatch.clear();
  std::ranges::stable_sort(mWaiting, {}, &waiting_claim::mDeadline);
}

} // namespace sapphirespar::ledger
