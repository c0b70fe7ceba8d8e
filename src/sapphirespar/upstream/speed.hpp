// Speeds of upstreams, compared with those that do the same work.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespar::upstream {

// A moving average that forgets what is old.
class speed_average
{
public:
  void Add(double aSample, steady_time aNow);
  // Nothing before enough samples, or once the last one is older than aAge.
  std::optional<double> Value(steady_time aNow, steady_duration aAge) const;

private:
  double mValue = 0;
  unsigned mSamples = 0;
  steady_time mLast{};
};

class speed_board
{
public:
  explicit speed_board(steady_duration aRetention);

  // Upstreams with the same group do the same work.
  void Join(const upstream_id& aId, std::string aGroup);
  void Leave(const upstream_id& aId);

  // Zero values are not known and are left out.
  void Add(const upstream_id& aId,
           std::chrono::milliseconds aFirstToken,
           double aTokensPerSecond,
           steady_time aNow);

  // Speeds relative to the median of the group, the worse of time to the first
  // token and tokens per second; 1 where there is nothing to compare.
  std::map<upstream_id, double> RelativeSpeeds(steady_time aNow) const;

private:
  struct record
  {
    std::string mGroup;
    speed_average mFirstTokensPerSecond;
    speed_average mTokensPerSecond;
  };

  std::map<std::string, double> Medians(speed_average record::*aSpeed,
                                        steady_time aNow) const;

  const steady_duration mRetention;
  std::map<upstream_id, record> mRecords;
};

} // namespace sapphirespar::upstream
