// Admission, prefix cache and steps of the prompt engine.
#include "sapphirespar/experiment/prompt_engine.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace sapphirespar::experiment {

namespace {

// Step time by the engines' data sheet: a constant part, a part for each
// running request and for each token in memory, and the prefill rate.
constexpr double kStepMs = 3.74;
constexpr double kStepPerRequestMs = 0.0807;
constexpr double kStepPerContextTokenMs = 0.00128e-3;
constexpr double kPrefillTokensPerMs = 81.9;

// Time until an event reaches the caller.
constexpr double kEventDelayMs = 44;

} // namespace

prompt_engine::prompt_engine(event_queue& aQueue,
                             prompt_engine_settings aSettings,
                             prompt_engine_hooks aHooks)
  : mQueue(aQueue)
  , mSettings(aSettings)
  , mHooks(std::move(aHooks))
{
}

bool
prompt_engine::HasPrecedence(const job_state& aLeft, const job_state& aRight)
{
  return std::tie(aLeft.mJob.mPriority, aLeft.mOrder) <
         std::tie(aRight.mJob.mPriority, aRight.mOrder);
}

void
prompt_engine::Start(const prompt_job& aJob)
{
  job_state waiting;
  waiting.mJob = aJob;
  waiting.mOrder = mOrder++;
  mWaiting.push_back(waiting);
  if (!mStepping) {
    Step();
  }
}

void
prompt_engine::Cancel(std::uint64_t aId)
{
  const auto hasId = [&](const job_state& aState) {
    return aState.mJob.mId == aId;
  };
  std::erase_if(mRunning, hasId);
  std::erase_if(mWaiting, hasId);
}

void
prompt_engine::Admit()
{
  while (!mWaiting.empty()) {
    const auto next = std::ranges::min_element(mWaiting, HasPrecedence);
    if (mRunning.size() >= mSettings.mSlots) {
      const auto last = std::ranges::max_element(mRunning, HasPrecedence);
      if (last->mJob.mPriority <= next->mJob.mPriority) {
        return;
      }
      ++mPreemptions;
      std::swap(*last, *next);
      auto urgent = *last;
      mRunning.erase(last);
      StartJob(std::move(urgent));
      continue;
    }
    auto admitted = *next;
    mWaiting.erase(next);
    StartJob(std::move(admitted));
  }
}

void
prompt_engine::StartJob(job_state aNext)
{
  const auto& job = aNext.mJob;
  const bool isCached = mCacheIndex.contains(job.mSharedKey);
  if (!isCached && aNext.mGeneratedTokens == 0) {
    mHooks.mOnSharedPrefill(job);
  }
  aNext.mContext = job.mSharedTokens + job.mOwnTokens + aNext.mGeneratedTokens;
  aNext.mPrefillTokens = aNext.mContext - (isCached ? job.mSharedTokens : 0);
  mRunning.push_back(aNext);
  CachePrefix(job.mSharedKey, job.mSharedTokens);
}

void
prompt_engine::CachePrefix(std::uint64_t aKey, double aTokens)
{
  const auto cached = mCacheIndex.find(aKey);
  if (cached != mCacheIndex.end()) {
    mCache.splice(mCache.begin(), mCache, cached->second);
  } else {
    mCache.emplace_front(aKey, aTokens);
    mCacheIndex[aKey] = mCache.begin();
    mCachedTokens += aTokens;
  }
  const double used = std::transform_reduce(
    mRunning.begin(),
    mRunning.end(),
    0.0,
    std::plus<>{},
    [](const job_state& aState) { return aState.mContext; });
  while (!mCache.empty() && mCachedTokens + used > mSettings.mMemoryTokens) {
    mCachedTokens -= mCache.back().second;
    mCacheIndex.erase(mCache.back().first);
    mCache.pop_back();
  }
}

void
prompt_engine::Step()
{
  Admit();
  mStepping = !mRunning.empty();
  if (!mStepping) {
    return;
  }
  std::ranges::sort(mRunning, HasPrecedence);
  double budget = mSettings.mChunkTokens;
  double context = 0;
  std::vector<std::uint64_t> decoding;
  for (auto& running : mRunning) {
    const double chunk = std::min(running.mPrefillTokens, budget);
    running.mPrefillTokens -= chunk;
    budget -= chunk;
    context += running.mContext;
    if (running.mPrefillTokens <= 0) {
      decoding.push_back(running.mJob.mId);
    }
  }
  const double time = kStepMs +
                      kStepPerRequestMs * static_cast<double>(mRunning.size()) +
                      kStepPerContextTokenMs * context +
                      (mSettings.mChunkTokens - budget) / kPrefillTokensPerMs;
  mQueue.After(time, [this, ids = std::move(decoding)] { FinishStep(ids); });
}

void
prompt_engine::FinishStep(const std::vector<std::uint64_t>& aDecoding)
{
  for (const auto id : aDecoding) {
    const auto found = std::ranges::find(
      mRunning, id, [](const job_state& aState) { return aState.mJob.mId; });
    if (found == mRunning.end()) {
      continue;
    }
    ++found->mGeneratedTokens;
    ++found->mContext;
    const bool last = found->mGeneratedTokens >= found->mJob.mOutputTokens;
    const bool event =
      last || found->mGeneratedTokens % mSettings.mTokensPerEvent == 0;
    if (last) {
      const double own = found->mContext - found->mJob.mSharedTokens;
      mRunning.erase(found);
      // The request's own tokens are cached too, under a key that is never the
      // key of a shared prefix.
      CachePrefix(~id, own);
    }
    if (event) {
      mQueue.After(kEventDelayMs,
                   [this, id, last] { mHooks.mOnEvent(id, last); });
    }
  }
  Step();
}

} // namespace sapphirespar::experiment
