// Periods and timeouts of a gateway's parts.
#include "part_settings.hpp"

#include <algorithm>
#include <iterator>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

// The store usually answers within milliseconds, so a call that takes this long
// is treated as lost.
constexpr milliseconds kStoreTimeout{ 1200 };

// Several times the round trip between data centres.
constexpr milliseconds kConnectTimeout{ 400 };

// When a whole fleet starts for the first time, only the seeds read the store
// at once. The others wait for a copy from them this long, and up to the second
// time longer so that they do not all begin to read together.
constexpr milliseconds kFirstReadPatience{ 3000 };
constexpr milliseconds kFirstReadSpread{ 2000 };

// An entry expires after this many heartbeats.
constexpr int kEntryHeartbeats = 3;

// A write after an outage or a restore may be this much later than a heartbeat.
constexpr milliseconds kWriteDelay{ 1000 };

// Time for a datagram to a seed and the reply.
constexpr milliseconds kStartDelay{ 30 };

// Maximum idle time of a connection to an upstream that announces a longer
// limit or none.
constexpr milliseconds kUpstreamIdle{ 4000 };

wire::endpoint
ToEndpoint(const address_port& aAddress)
{
  wire::endpoint endpoint;
  endpoint.mAddress = aAddress.mAddress;
  endpoint.mPort = aAddress.mPort;
  return endpoint;
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
ReaderSettings(const gateway_settings& aSettings, double aDraw)
{
  store_reader_settings settings;
  const bool isSeed =
    std::ranges::find(aSettings.mSeeds,
                      aSettings.mAdmin.mAddress,
                      &address_port::mAddress) != aSettings.mSeeds.end();
  // Later starts don't wait, because callers do.
  if (aSettings.mFirstStart && !isSeed && !aSettings.mSeeds.empty()) {
    settings.mFirstReadPatience =
      kFirstReadPatience +
      std::chrono::duration_cast<milliseconds>(kFirstReadSpread * aDraw);
  }
  // A change takes up to three periods plus some delay.
  constexpr double kPeriodsInBound = 3.3;
  settings.mPeriod = std::chrono::duration_cast<milliseconds>(
    aSettings.mMaxPropagationDelay / kPeriodsInBound);
  const auto heartbeat = aSettings.mUpstreamHeartbeat;
  // Less than the two heartbeats that an entry lasts for at least.
  settings.mMinimumOutage = heartbeat * 5 / 3;
  settings.mOutageGrace = heartbeat + kWriteDelay;
  settings.mRestores = { settings.mOutageGrace, kEntryHeartbeats * heartbeat };
  settings.mStartDelay = kStartDelay;
  settings.mMaximumAnswerAge = settings.mPeriod * 5 / 3;
  settings.mMaximumAge = settings.mPeriod * 11 / 6;
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
UpstreamClientSettings(const gateway_settings& aSettings)
{
  const auto& limits = aSettings.mAnswers;
  wire::http_client_settings settings;
  settings.mHeadLimitBytes = limits.mHeadBytes;
  settings.mDiscardLimitBytes = limits.mDroppedBytes;
  settings.mBodyLimitBytes = limits.mBodyBytes;
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
