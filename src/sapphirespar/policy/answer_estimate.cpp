// Learning from completions.
#include "sapphirespar/policy/answer_estimate.hpp"

#include <algorithm>

namespace sapphirespar::policy {

namespace {

using seconds = std::chrono::duration<double>;

// Weight of the newest value in a moving mean.
constexpr double kNewest = 0.05;

constexpr double kLongQuantile = 0.9;

// Completions between two looks at the histogram.
constexpr unsigned kRenewal = 16;

// Answers shorter than this say little about the pace.
constexpr unsigned kLeastTokensForPace = 8;

// Stands in for the mean while nothing is known of a class.
constexpr steady_duration kDefaultSlotTime = std::chrono::seconds(1);

void
Move(double& aMean, double aValue)
{
  aMean = aMean == 0 ? aValue : aMean + kNewest * (aValue - aMean);
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
answer_estimate::Note(const queued_request& aRequest,
                      const completion& aCompletion,
                      steady_duration aHeld)
{
  auto& record = mClasses[aRequest.mClass];
  Move(record.mSlotTime, InSeconds(aHeld));
  if (!aCompletion.mSucceeded) {
    return;
  }
  const auto firstToken = std::min(aCompletion.mFirstToken, aHeld);
  Move(record.mFirstToken, InSeconds(firstToken));
  record.mLength.Add(aCompletion.mTokens);
  if (record.mSinceRenewal++ % kRenewal == 0) {
    record.mLongTokens = record.mLength.Quantile(kLongQuantile);
  }
  if (aCompletion.mTokens >= kLeastTokensForPace) {
    Move(mPaces[aRequest.mPool],
         InSeconds(aHeld - firstToken) / (aCompletion.mTokens - 1));
  }
}

expectation
answer_estimate::Expect(const queued_request& aRequest) const
{
  expectation expected;
  expected.mSlotTime = SlotTime(aRequest.mClass);
  const auto found = mClasses.find(aRequest.mClass);
  if (found == mClasses.end()) {
    return expected;
  }
  const auto& record = found->second;
  auto tokens = record.mLongTokens;
  if (aRequest.mMaximumTokens > 0) {
    tokens = std::min<double>(tokens, aRequest.mMaximumTokens);
  }
  const auto pace = mPaces.find(aRequest.mPool);
  const auto rest = pace == mPaces.end() ? 0.0 : tokens * pace->second;
  expected.mFirstToken = ToDuration(record.mFirstToken);
  expected.mAnswer = ToDuration(record.mFirstToken + rest);
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
