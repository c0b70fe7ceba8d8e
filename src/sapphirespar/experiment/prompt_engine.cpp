// Steps of the engine.
#include "sapphirespar/experiment/prompt_engine.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace sapphirespar::experiment {

namespace {

// From the engines' data sheet: a step, its part for each running request and
// for the tokens in memory, and the reading of prompts.
constexpr double kStepMs = 3.74;
constexpr double kStepPerRunningMs = 0.0807;
constexpr double kStepPerContextMs = 0.00128e-3;
constexpr double kTokensReadPerMs = 81.9;
constexpr double kPieceTokens = 4096;

// Until an event reaches the caller.
constexpr double kEventDelayMs = 44;

} // namespace

prompt_engine::prompt_engine(event_queue& aQueue,
                             prompt_engine_shape aShape,
                             prompt_engine_hooks aHooks)
  : mQueue(aQueue)
  , mShape(aShape)
  , mHooks(std::move(aHooks))
{
}

bool
prompt_engine::GoesBefore(const run& aLeft, const run& aRight)
{
  return std::tie(aLeft.mJob.mPriority, aLeft.mOrder) <
         std::tie(aRight.mJob.mPriority, aRight.mOrder);
}

void
prompt_engine::Start(const prompt_job& aJob)
{
  run waiting;
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
  const auto is = [&](const run& aRun) { return aRun.mJob.mId == aId; };
  std::erase_if(mRunning, is);
  std::erase_if(mWaiting, is);
}

void
prompt_engine::Admit()
{
  while (!mWaiting.empty()) {
    const auto next = std::ranges::min_element(mWaiting, GoesBefore);
    if (mRunning.size() >= mShape.mSlots) {
      const auto last = std::ranges::max_element(mRunning, GoesBefore);
      if (last->mJob.mPriority <= next->mJob.mPriority) {
        return;
      }
      ++mPreemptions;
      std::swap(*last, *next);
      auto urgent = *last;
      mRunning.erase(last);
      Run(std::move(urgent));
      continue;
    }
    auto admitted = *next;
    mWaiting.erase(next);
    Run(std::move(admitted));
  }
}

void
prompt_engine::Run(run aNext)
{
  const auto& job = aNext.mJob;
  const bool kept = mKeptPlaces.contains(job.mSharedKey);
  if (!kept && aNext.mMade == 0) {
    mHooks.mRead(job);
  }
  aNext.mContext = job.mSharedTokens + job.mOwnTokens + aNext.mMade;
  aNext.mToRead = aNext.mContext - (kept ? job.mSharedTokens : 0);
  mRunning.push_back(aNext);
  Keep(job.mSharedKey, job.mSharedTokens);
}

void
prompt_engine::Keep(std::uint64_t aKey, double aTokens)
{
  const auto known = mKeptPlaces.find(aKey);
  if (known != mKeptPlaces.end()) {
    mKept.splice(mKept.begin(), mKept, known->second);
  } else {
    mKept.emplace_front(aKey, aTokens);
    mKeptPlaces[aKey] = mKept.begin();
    mKeptTokens += aTokens;
  }
  const double used = std::transform_reduce(
    mRunning.begin(), mRunning.end(), 0.0, std::plus<>{}, [](const run& aRun) {
      return aRun.mContext;
    });
  while (!mKept.empty() && mKeptTokens + used > mShape.mMemoryTokens) {
    mKeptTokens -= mKept.back().second;
    mKeptPlaces.erase(mKept.back().first);
    mKept.pop_back();
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
  std::ranges::sort(mRunning, GoesBefore);
  double left = kPieceTokens;
  double context = 0;
  std::vector<std::uint64_t> makers;
  for (auto& running : mRunning) {
    const double piece = std::min(running.mToRead, left);
    running.mToRead -= piece;
    left -= piece;
    context += running.mContext;
    if (running.mToRead <= 0) {
      makers.push_back(running.mJob.mId);
    }
  }
  const double time =
    kStepMs + kStepPerRunningMs * static_cast<double>(mRunning.size()) +
    kStepPerContextMs * context + (kPieceTokens - left) / kTokensReadPerMs;
  mQueue.After(time, [this, made = std::move(makers)] { FinishStep(made); });
}

void
prompt_engine::FinishStep(const std::vector<std::uint64_t>& aMakers)
{
  for (const auto id : aMakers) {
    const auto found = std::ranges::find(
      mRunning, id, [](const run& aRun) { return aRun.mJob.mId; });
    if (found == mRunning.end()) {
      continue;
    }
    ++found->mMade;
    ++found->mContext;
    const bool last = found->mMade >= found->mJob.mOutputTokens;
    const bool event = last || found->mMade % mShape.mTokensPerEvent == 0;
    if (last) {
      const double own = found->mContext - found->mJob.mSharedTokens;
      mRunning.erase(found);
      // What a request itself has read is kept like shared parts.
      Keep(~id, own);
    }
    if (event) {
      mQueue.After(kEventDelayMs,
                   [this, id, last] { mHooks.mEvent(id, last); });
    }
  }
  Step();
}

} // namespace sapphirespar::experiment
