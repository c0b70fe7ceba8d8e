// Tracks quantiles of the observed figures by small multiplicative steps.
#include "sapphirespar/policy/engine_model.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirespar::policy {
namespace {

// Size of the steps of an estimate on a logarithmic scale: the n-th step is the
// first value over n, and at least the second one. A few samples correct a
// start that is far off, and later ones only follow slow changes.
constexpr double kFirstStep = 0.3;
constexpr double kSmallestStep = 0.06;

// Work of other gateways that is not known yet delays some first events, so the
// quicker ones tell the engines' speed.
constexpr double kFirstEventQuantile = 0.25;

// Some gaps that look stalled are not, so the stalled gap is tracked above the
// median. The unhindered gap is tracked near the shortest ones.
constexpr double kStalledQuantile = 0.85;
constexpr double kUnhinderedQuantile = 0.05;

// An engine counts as slower than its pool from this multiple of the quicker
// ones' step, and as this much slower at most: one that is slower still is left
// to the penalty for lateness.
constexpr double kNoticeablySlow = 1.6;
constexpr double kSlowest = 2;

// Gaps of one stream of some length, before which an engine's pace is not told.
constexpr unsigned kKnownAfter = 12;
constexpr double kReportQuantile = 0.4;

// Events may arrive together, so that a gap takes no time.
constexpr double kShortestStepMs = 0.01;

// While an engine processes one full chunk after another, the gaps of a stream
// are equal, and longer than this multiple of an unhindered gap. Gaps of many
// tokens are nearly equal also by chance, since each is a sum of many steps, so
// their relative difference may be at most this over the tokens.
constexpr double kEqualGaps = 0.2;
constexpr double kStalledMultiple = 2.5;

// Moves an estimate towards the aQuantile of its samples, of which aSample is
// one, but not beyond the sample.
void
Track(quantile_estimate& aEstimate, double aSample, double aQuantile)
{
  if (std::isnan(aSample)) {
    return;
  }
  const double step =
    std::max(kFirstStep / ++aEstimate.mSamples, kSmallestStep);
  const double smallest = aEstimate.mStart / engine_model::kMaximumFactor;
  const double largest = aEstimate.mStart * engine_model::kMaximumFactor;
  const double distance =
    std::log(std::clamp(aSample, smallest, largest) / aEstimate.mValue);
  const double up = 2 * aQuantile * step;
  const double down = 2 * (1 - aQuantile) * step;
  aEstimate.mValue *= std::exp(std::clamp(distance, -down, up));
}

double
StepMs(const engine_figures& aFigures, unsigned aRunning)
{
  return aFigures.mStepMs + aFigures.mStepMsPerRequest * aRunning;
}

} // namespace

double
PrefillMs(const engine_figures& aFigures, double aTokens)
{
  return aTokens / aFigures.mPrefillTokensPerMs;
}

double
SlowdownMs(const engine_figures& aFigures, double aTokens, unsigned aRunning)
{
  return std::ceil(aTokens / aFigures.mChunkTokens) *
         aFigures.mStepMsPerRequest * aRunning;
}

double
StalledGapMs(const engine_figures& aFigures,
             unsigned aTokensPerEvent,
             unsigned aRunning)
{
  return aTokensPerEvent * (PrefillMs(aFigures, aFigures.mChunkTokens) +
                            StepMs(aFigures, aRunning));
}

void
engine_pace::Add(double aTokenMs,
                 const engine_figures& aFigures,
                 unsigned aRunning)
{
  if (!std::isfinite(aTokenMs)) {
    return;
  }
  // A longer one is a stall.
  const double step =
    std::clamp(aTokenMs - aFigures.mStepMsPerRequest * aRunning,
               kShortestStepMs,
               std::max(kSlowest * aFigures.mStepMs, kShortestStepMs));
  if (!mStepMs) {
    mStepMs.emplace(step);
  }
  Track(*mStepMs, step, kUnhinderedQuantile);
  ++mOwnSamples;
}

void
engine_pace::AddReport(double aStepMs)
{
  if (!std::isfinite(aStepMs) || aStepMs < kShortestStepMs) {
    return;
  }
  if (!mStepMs) {
    mStepMs.emplace(aStepMs);
  }
  // Reports are made from several samples.
  Track(*mStepMs, aStepMs, kReportQuantile);
}

std::optional<double>
engine_pace::OwnStepMs() const
{
  return mOwnSamples >= kKnownAfter ? std::optional(mStepMs->mValue)
                                    : std::nullopt;
}

double
engine_pace::Slowness(const engine_figures& aFigures) const
{
  if (!mStepMs) {
    return 1;
  }
  const double ratio = mStepMs->mValue / aFigures.mStepMs;
  return ratio < kNoticeablySlow ? 1 : std::min(ratio, kSlowest);
}

double
engine_pace::TokenMs(const engine_figures& aFigures, unsigned aRunning) const
{
  // Until the pace is known, the engine may be a slow one.
  const double step =
    mOwnSamples < kKnownAfter ? kSlowest * aFigures.mStepMs : mStepMs->mValue;
  return step + aFigures.mStepMsPerRequest * aRunning;
}

engine_model::engine_model(const engine_figures& aStart)
  : mFigures(aStart)
  , mTokenMs(1 / aStart.mPrefillTokensPerMs)
  , mFirstEventMs(aStart.mFirstEventMs)
  , mChunkTokens(aStart.mChunkTokens)
  , mStepMs(aStart.mStepMs)
{
}

void
engine_model::AddFirstEvent(double aPrefillTokens, double aTookMs)
{
  const double prefill = PrefillMs(mFigures, aPrefillTokens);
  // A sample corrects the part of the prediction that contributes most to it.
  if (prefill > mFigures.mFirstEventMs) {
    const double measured = std::max(aTookMs - mFigures.mFirstEventMs, 0.0);
    Track(mTokenMs, measured / aPrefillTokens, kFirstEventQuantile);
    mFigures.mPrefillTokensPerMs = 1 / mTokenMs.mValue;
  } else {
    Track(mFirstEventMs, aTookMs - prefill, kFirstEventQuantile);
    mFigures.mFirstEventMs = mFirstEventMs.mValue;
  }
}

void
engine_model::AddGaps(std::span<const double, kGaps> aGaps,
                      unsigned aTokensPerEvent,
                      unsigned aRunning,
                      engine_pace& aPace)
{
  if (aTokensPerEvent == 0) {
    return;
  }
  const double perToken = aGaps.back() / aTokensPerEvent;
  // Gaps of an engine that is slower than the others are no stalls.
  const double step =
    std::max(StepMs(mFigures, aRunning), aPace.TokenMs(mFigures, aRunning));
  aPace.Add(perToken, mFigures, aRunning);
  Track(mStepMs,
        perToken - mFigures.mStepMsPerRequest * aRunning,
        kUnhinderedQuantile);
  mFigures.mStepMs = mStepMs.mValue;
  const auto [shortest, longest] = std::ranges::minmax(aGaps);
  if (longest - shortest <= kEqualGaps / aTokensPerEvent * longest &&
      perToken > kStalledMultiple * step) {
    Track(mChunkTokens,
          (perToken - step) * mFigures.mPrefillTokensPerMs,
          kStalledQuantile);
    mFigures.mChunkTokens = mChunkTokens.mValue;
  }
}

} // namespace sapphirespar::policy
