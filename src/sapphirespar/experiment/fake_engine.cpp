// Steps and streams of the fake engine.
#include "sapphirespar/experiment/fake_engine.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::experiment {

fake_engine::fake_engine(timer_service& aTimers,
                         engine_settings aSettings,
                         report_hook aReport)
  : mTimers(aTimers)
  , mSettings(aSettings)
  , mReport(std::move(aReport))
{
}

bool
fake_engine::Start(const request_id& aRequest,
                   unsigned aPromptTokens,
                   unsigned aTokens)
{
  if (mCrashed) {
    return false;
  }
  mStreams[aRequest] = { aPromptTokens, aTokens };
  mOrder.push_back(aRequest);
  StartStep();
  return true;
}

void
fake_engine::SetPaused(const request_id& aRequest, bool aPaused)
{
  if (const auto found = mStreams.find(aRequest); found != mStreams.end()) {
    found->second.mPaused = aPaused;
    StartStep();
  }
}

unsigned
fake_engine::Cancel(const request_id& aRequest)
{
  const auto found = mStreams.find(aRequest);
  if (found == mStreams.end()) {
    return 0;
  }
  const auto tokens = found->second.mTokens;
  mStreams.erase(found);
  std::erase(mOrder, aRequest);
  return tokens;
}

void
fake_engine::SetCrashed(bool aCrashed)
{
  mCrashed = aCrashed;
  if (!aCrashed) {
    return;
  }
  mStepping = false;
  mStepEnd = {};
  const auto broken = std::exchange(mStreams, {});
  mOrder.clear();
  for (const auto& [id, stream] : broken) {
    mReport({ id, stream_outcome::Broken, stream.mTokens, stream.mFirstToken });
  }
}

std::vector<request_id>
fake_engine::Batch() const
{
  std::vector<request_id> batch;
  for (const auto& id : mOrder) {
    if (batch.size() < mSettings.mSlots && !mStreams.at(id).mPaused) {
      batch.push_back(id);
    }
  }
  return batch;
}

void
fake_engine::StartStep()
{
  if (mStepping) {
    return;
  }
  auto batch = Batch();
  if (batch.empty()) {
    return;
  }
  auto time = mSettings.mStep +
              mSettings.mStepPerRequest * (batch.size() + mExternalLoad);
  for (const auto& id : batch) {
    const auto& stream = mStreams.at(id);
    if (stream.mTokens == 0) {
      time += mSettings.mPrefillPerToken * stream.mPromptTokens;
    }
  }
  mStepping = true;
  mStepEnd = mTimers.After(
    std::chrono::duration_cast<steady_duration>(time * mSlowFactor),
    [this, batch = std::move(batch)] {
      FinishStep(batch);
      mStepping = false;
      StartStep();
    });
}

void
fake_engine::FinishStep(const std::vector<request_id>& aBatch)
{
  std::vector<engine_report> finished;
  for (const auto& id : aBatch) {
    const auto found = mStreams.find(id);
    if (found == mStreams.end()) {
      continue;
    }
    auto& stream = found->second;
    if (++stream.mTokens == 1) {
      stream.mFirstToken = mTimers.Now();
    }
    ++mGenerated;
    if (stream.mTokens == stream.mLength) {
      finished.push_back(
        { id, stream_outcome::Finished, stream.mTokens, stream.mFirstToken });
      mStreams.erase(found);
      std::erase(mOrder, id);
    }
  }
  // Requests that start in reaction to a report wait for the next step.
  std::ranges::for_each(finished, mReport);
}

} // namespace sapphirespar::experiment
