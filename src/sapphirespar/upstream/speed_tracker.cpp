// Computes moving averages of speeds and their medians in each group.
#include "speed_tracker.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::upstream {
namespace {

// Weight of a new sample in the exponential moving average.
constexpr double kNewSampleWeight = 0.2;
// With fewer samples an average has no value.
constexpr unsigned kMinSamples = 5;
// A group with fewer measured upstreams has no median, because it would not
// show which of them is slow.
constexpr std::size_t kMinGroupSize = 3;

double
Median(std::vector<double> aValues)
{
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::ranges::nth_element(aValues, middle);
  return *middle;
}

// Returns 1 if the speed or the median is unknown.
double
Relative(const std::optional<double>& aSpeed,
         const std::map<std::string, double>& aMedians,
         const std::string& aGroup)
{
  const auto median = aMedians.find(aGroup);
  if (!aSpeed || median == aMedians.end() || median->second <= 0) {
    return 1.0;
  }
  return *aSpeed / median->second;
}

} // namespace

void
speed_average::Add(double aSample, steady_time aNow)
{
  mValue =
    mSamples == 0 ? aSample : mValue + kNewSampleWeight * (aSample - mValue);
  ++mSamples;
  mLast = aNow;
}

std::optional<double>
speed_average::Value(steady_time aNow, steady_duration aMaxAge) const
{
  if (mSamples < kMinSamples || aNow - mLast > aMaxAge) {
    return std::nullopt;
  }
  return mValue;
}

speed_tracker::speed_tracker(steady_duration aRetention)
  : mRetention(aRetention)
{
}

void
speed_tracker::Join(const upstream_id& aId, std::string aGroup)
{
  mRecords[aId].mGroup = std::move(aGroup);
}

void
speed_tracker::Leave(const upstream_id& aId)
{
  mRecords.erase(aId);
}

void
speed_tracker::Add(const upstream_id& aId,
                   std::chrono::milliseconds aFirstToken,
                   double aTokensPerSecond,
                   steady_time aNow)
{
  constexpr double kMillisecondsPerSecond = 1000;
  auto& entry = mRecords[aId];
  if (aFirstToken > aFirstToken.zero()) {
    const auto ms = static_cast<double>(aFirstToken.count());
    entry.mFirstTokensPerSecond.Add(kMillisecondsPerSecond / ms, aNow);
  }
  if (aTokensPerSecond > 0) {
    entry.mTokensPerSecond.Add(aTokensPerSecond, aNow);
  }
}

std::map<upstream_id, double>
speed_tracker::RelativeSpeeds(steady_time aNow) const
{
  const auto firstTokens = Medians(&record::mFirstTokensPerSecond, aNow);
  const auto tokens = Medians(&record::mTokensPerSecond, aNow);
  std::map<upstream_id, double> speeds;
  for (const auto& [id, entry] : mRecords) {
    const auto first = entry.mFirstTokensPerSecond.Value(aNow, mRetention);
    const auto rate = entry.mTokensPerSecond.Value(aNow, mRetention);
    speeds[id] = std::min(Relative(first, firstTokens, entry.mGroup),
                          Relative(rate, tokens, entry.mGroup));
  }
  return speeds;
}

std::map<std::string, double>
speed_tracker::Medians(speed_average record::*aSpeed, steady_time aNow) const
{
  std::map<std::string, std::vector<double>> groups;
  for (const auto& [id, entry] : mRecords) {
    if (const auto speed = (entry.*aSpeed).Value(aNow, mRetention)) {
      groups[entry.mGroup].push_back(*speed);
    }
  }
  std::map<std::string, double> medians;
  for (auto& [group, speeds] : groups) {
    if (speeds.size() >= kMinGroupSize) {
      medians[group] = Median(std::move(speeds));
    }
  }
  return medians;
}

} // namespace sapphirespar::upstream
