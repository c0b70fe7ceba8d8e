// Periods and time-outs of a gateway's parts.
#include "part_settings.hpp"

#include <algorithm>
#include <iterator>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

// The store answers in milliseconds; a call that takes this long is lost.
constexpr milliseconds kStoreTimeout{ 1200 };

// Several times the way between data centres.
constexpr milliseconds kConnectTimeout{ 400 };

// For a datagram to a seed and its answer.
constexpr milliseconds kFirstLook{ 30 };

// Idle connections to upstreams whose announced limit is longer, or that
// announce none.
constexpr milliseconds kUpstreamIdle{ 4000 };

wire::endpoint
ToEndpoint(const address_port& aPlace)
{
  wire::endpoint place;
  place.mAddress = aPlace.mAddress;
  place.mPort = aPlace.mPort;
  return place;
}

} // namespace

policy::fleet_retry_limits
RetryLimits(const gateway_settings& aSettings)
{
  return { aSettings.mRetryRatio,
           aSettings.mRetrySlack,
           aSettings.mRetryWindow };
}

wire::platform_client_settings
StoreSettings(const gateway_settings& aSettings)
{
  wire::platform_client_settings settings;
  settings.mPlatform = ToEndpoint(aSettings.mPlatform);
  settings.mTimeout = kStoreTimeout;
  return settings;
}

store_reader_settings
ReaderSettings(const gateway_settings& aSettings)
{
  store_reader_settings settings;
  // Three periods and some delay fit into the bound.
  constexpr double kPeriodsInBound = 3.3;
  settings.mPeriod = std::chrono::duration_cast<milliseconds>(
    aSettings.mMaxPropagationDelay / kPeriodsInBound);
  settings.mFirstLook = kFirstLook;
  settings.mOldestAnswer = settings.mPeriod * 5 / 3;
  settings.mOldestKnowledge = settings.mPeriod * 11 / 6;
  return settings;
}

gossip_settings
GossipSettings(const gateway_settings& aSettings)
{
  gossip_settings settings;
  settings.mListen = ToEndpoint(aSettings.mGossip);
  std::ranges::transform(aSettings.mSeeds,
                         std::back_inserter(settings.mSeeds),
                         &address_port::mAddress);
  return settings;
}

wire::http_client_settings
UpstreamClientSettings()
{
  wire::http_client_settings settings;
  settings.mConnectTimeout = kConnectTimeout;
  settings.mIdleLimit = kUpstreamIdle;
  return settings;
}

wire::http_client_settings
PeerClientSettings()
{
  wire::http_client_settings settings;
  settings.mConnectTimeout = kPeerTimeout;
  return settings;
}

} // namespace sapphirespar::gateway
