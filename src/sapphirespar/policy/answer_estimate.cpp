// Updates moving averages and length histograms with completions.
#include "sapphirespar/policy/answer_estimate.hpp"

#include <algorithm>

namespace sapphirespar::policy {

namespace {

using seconds = std::chrono::duration<double>;

// Weight of the newest value in a moving average.
constexpr double kNewestWeight = 0.05;

constexpr double kLongQuantile = 0.9;

// Completions between two refreshes of the quantile from the histogram.
constexpr unsigned kRefreshInterval = 16;

// Shorter answers are too short to measure the time between tokens.
constexpr unsigned kMinimumTokensForInterval = 8;

// Used while no request of the class has completed.
constexpr steady_duration kDefaultSlotTime = std::chrono::seconds(1);

void
UpdateMean(double& aMean, double aValue)
{
  aMean = aMean == 0 ? aValue : aMean + kNewestWeight * (aValue - aMean);
}

double
InSeconds(steady_duration aTime)
{
  return seconds(aTime).count();
}

steady_duration
ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<steady_duration>(seconds(aSeconds));
}

} // namespace

void
answer_estimate::AddCompletion(const queued_request& aRequest,
                               const completion& aCompletion,
                               steady_duration aHeldTime)
{
  auto& record = mClasses[aRequest.mClass];
  UpdateMean(record.mSlotTime, InSeconds(aHeldTime));
  if (!aCompletion.mSucceeded) {
    return;
  }
  const auto firstToken = std::min(aCompletion.mFirstToken, aHeldTime);
  UpdateMean(record.mFirstToken, InSeconds(firstToken));
  record.mLength.Add(aCompletion.mTokens);
  if (record.mSinceRefresh++ % kRefreshInterval == 0) {
    record.mLongAnswerTokens = record.mLength.Quantile(kLongQuantile);
  }
  if (aCompletion.mTokens >= kMinimumTokensForInterval) {
    UpdateMean(mTokenIntervals[aRequest.mPool],
               InSeconds(aHeldTime - firstToken) / (aCompletion.mTokens - 1));
  }
}

expected_times
answer_estimate::Predict(const queued_request& aRequest) const
{
  expected_times expected;
  expected.mSlotTime = SlotTime(aRequest.mClass);
  const auto found = mClasses.find(aRequest.mClass);
  if (found == mClasses.end()) {
    return expected;
  }
  const auto& record = found->second;
  auto tokens = record.mLongAnswerTokens;
  if (aRequest.mMaximumTokens > 0) {
    tokens = std::min<double>(tokens, aRequest.mMaximumTokens);
  }
  const auto interval = mTokenIntervals.find(aRequest.mPool);
  const auto afterFirstToken =
    interval == mTokenIntervals.end() ? 0.0 : tokens * interval->second;
  expected.mFirstToken = ToDuration(record.mFirstToken);
  expected.mAnswer = ToDuration(record.mFirstToken + afterFirstToken);
  return expected;
}

steady_duration
answer_estimate::SlotTime(const class_id& aClass) const
{
  const auto found = mClasses.find(aClass);
  return found == mClasses.end() || found->second.mSlotTime == 0
           ? kDefaultSlotTime
           : ToDuration(found->second.mSlotTime);
}

} // namespace sapphirespar::policy
