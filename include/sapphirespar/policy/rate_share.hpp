// Divides the request rate that an upstream accepts from all gateways together
// among them. Each gateway computes its own share, without coordination.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

#include <optional>

namespace sapphirespar::policy {

// What one gateway may send to an upstream.
struct rate_share
{
  // Requests per second; zero if other gateways have the whole rate.
  double mRate = 0;
  // Part of a permit that the gateway starts with, below 1. It differs among
  // the gateways, so that they don't send at the same time.
  double mFirstPermit = 0;

  bool operator==(const rate_share&) const = default;
};

// Returns the share of the gateway at aPosition, from zero, in the upstream's
// own order of the aGateways gateways that may be live. aRate is the accepted
// rate in requests per second, from zero.
//
// A permit can be kept, so that each gateway with a share may send one request
// more than its rate at any moment. Only a few gateways have a share, as these
// requests add up: in t seconds, all gateways together send up to
// (t + 1) * aRate + 3 requests.
rate_share ShareOf(double aRate, unsigned aPosition, unsigned aGateways);

// The permits of one gateway for one upstream. They accrue at the rate of its
// share; at most one is kept.
class rate_permits
{
public:
  // Begins with aShare.mFirstPermit.
  rate_permits(rate_share aShare, steady_time aNow);

  // Changes the share. Without a share before, it begins without a permit.
  void SetShare(rate_share aShare, steady_time aNow);
  const rate_share& Share() const { return mShare; }

  // Takes a permit; returns false if there is none.
  bool TryTake(steady_time aNow);

  // Gives back a permit that was not used.
  void Return(steady_time aNow);

  // When there is a permit; aNow if there is one, nothing without a share.
  std::optional<steady_time> AvailableAt(steady_time aNow) const;

private:
  double PermitsAt(steady_time aNow) const;

  rate_share mShare;
  // At mUpdated; from zero to one.
  double mPermits = 0;
  steady_time mUpdated;
};

} // namespace sapphirespar::policy
