// Compares the speeds of upstreams within groups that serve the same pools.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespar::upstream {

// Exponential moving average of speed samples.
class speed_average
{
public:
  void Add(double aSample, steady_time aNow);
  // Returns nothing if there are too few samples, or if the last one is older
  // than aMaxAge.
  std::optional<double> Value(steady_time aNow, steady_duration aMaxAge) const;

private:
  double mValue = 0;
  unsigned mSamples = 0;
  steady_time mLast{};
};

class speed_tracker
{
public:
  explicit speed_tracker(steady_duration aRetention);

  // Adds an upstream to a group, or moves it there. Only upstreams of the same
  // group are compared.
  void Join(const upstream_id& aId, std::string aGroup);
  void Leave(const upstream_id& aId);

  // Adds the measurements of one request. A value of zero is unknown and is
  // ignored.
  void Add(const upstream_id& aId,
           std::chrono::milliseconds aFirstToken,
           double aTokensPerSecond,
           steady_time aNow);

  // Returns each upstream's speed relative to the median of its group: the
  // lower of the relative speed to the first token and the relative token rate.
  // A relative speed is 1 if it is unknown or the group has no median.
  std::map<upstream_id, double> RelativeSpeeds(steady_time aNow) const;

private:
  struct record
  {
    std::string mGroup;
    // Reciprocal of the time to the first token.
    speed_average mFirstTokensPerSecond;
    speed_average mTokensPerSecond;
  };

  std::map<std::string, double> Medians(speed_average record::*aSpeed,
                                        steady_time aNow) const;

  const steady_duration mRetention;
  std::map<upstream_id, record> mRecords;
};

} // namespace sapphirespar::upstream
