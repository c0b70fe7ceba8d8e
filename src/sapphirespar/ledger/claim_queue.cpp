// Claims on their way through a shard.
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
  const auto waits = std::ranges::find_if(mWaiting, isSame);
  const auto commits = std::ranges::find_if(mBatch, isSame);
  if (waits != mWaiting.end()) {
    waits->mRequest = std::move(aRequest);
    waits->mDone = std::move(aDone);
  } else if (commits != mBatch.end()) {
    commits->mDone = std::move(aDone);
  } else {
    auto hash = HashClaimKey(aRequest.mKey);
    mWaiting.push_back(
      { std::move(aRequest), std::move(hash), std::move(aDone), aDeadline });
  }
}

std::vector<waiting_claim>
claim_queue::TakeLate(steady_time aNow)
{
  std::vector<waiting_claim> late;
  while (!mWaiting.empty() && mWaiting.front().mDeadline <= aNow) {
    late.push_back(std::move(mWaiting.front()));
    mWaiting.pop_front();
  }
  return late;
}

std::vector<waiting_claim>
claim_queue::TakeDecided(const claim_image& aImage)
{
  std::vector<waiting_claim> decided;
  std::deque<waiting_claim> open;
  for (auto& item : mWaiting) {
    if (IsFree(item.mRequest, aImage.Find(item.mHash))) {
      open.push_back(std::move(item));
    } else {
      decided.push_back(std::move(item));
    }
  }
  mWaiting = std::move(open);
  return decided;
}

// A claim may have come since the decided ones were taken, so each key is
// looked up again; a second claim of one key waits until the first is certain.
void
claim_queue::FillBatch(const claim_image& aImage,
                       std::size_t aLimit,
                       claim_head& aNext)
{
  std::set<std::string> hashes;
  std::deque<waiting_claim> rest;
  for (auto& item : mWaiting) {
    const auto& request = item.mRequest;
    if (mBatch.size() >= aLimit || !IsFree(request, aImage.Find(item.mHash)) ||
        !hashes.insert(item.mHash).second) {
      rest.push_back(std::move(item));
      continue;
    }
    aNext.mRows[item.mHash] = {
      request.mClaimant, request.mRequest, outcome::Unknown, aNext.mClock
    };
    mBatch.push_back(std::move(item));
  }
  mWaiting = std::move(rest);
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
