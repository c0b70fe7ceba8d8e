// Connects the duties that one gateway does for the whole fleet to the other
// parts of a gateway. Internal to gateway.
#pragma once

#include "sapphirespar/config/gateway_settings.hpp"
#include "sapphirespar/duties/capacity_controller.hpp"
#include "sapphirespar/duties/duty_lease.hpp"
#include "sapphirespar/duties/usage_book.hpp"
#include "sapphirespar/duties/usage_meter.hpp"
#include "sapphirespar/duties/usage_reporter.hpp"
#include "sapphirespar/gateway/gossip_link.hpp"
#include "sapphirespar/gateway/peer_table.hpp"
#include "sapphirespar/gateway/protocol.hpp"
#include "sapphirespar/gateway/routing_state.hpp"
#include "sapphirespar/gateway/upstream_directory.hpp"
#include "sapphirespar/wire/http_client.hpp"

#include <memory>
#include <string>
#include <vector>

namespace sapphirespar::gateway {

// What the duties use of a gateway. All references must outlive them.
struct duty_parts
{
  boost::asio::any_io_executor mExecutor;
  platform_api& mPlatform;
  timer_service& mTimers;
  metrics& mMetrics;
  const protocol& mProtocol;
  const routing_state& mRouting;
  const upstream_directory& mUpstreams;
  const peer_table& mPeers;
  const policy::engine_split& mSplit;
  const policy::prefill_meter& mPrefill;
  gossip_link& mGossip;
};

class fleet_duties
{
public:
  fleet_duties(duty_parts aParts,
               process_id aSelf,
               bool aFirstStart,
               duty_settings aSettings);

  void Start();

  // Applies the settings that can change at run time: whether orders are sent.
  void Reload(const duty_settings& aSettings);

  void OnGossip(const gossip_state& aState);
  void OnUsage(const usage_message& aMessage) { mBook.Merge(aMessage); }

  // What this gateway tells the others.
  duty_gossip Gossip() const;

  // Records that a request of the account began to run.
  void CountUsage(const account_id& aAccount, steady_time aBegan);

  // Gives the duties up for good.
  void Release() { mLease.Release(); }

private:
  duties::duty_lease_hooks LeaseHooks();
  duties::usage_reporter_hooks ReporterHooks();
  duties::capacity_hooks CapacityHooks();

  // The fleet's wall clock.
  policy::wall_time Now() const;
  // Sends the counts to the gateways that may have to report them.
  void SendUsage();
  std::vector<std::string> Keepers() const;

  std::vector<duties::ordered_pool> OrderedPools() const;
  // Sets the engines of the pool that the requests of all gateways need, unless
  // too few of the gateways are heard to tell.
  void SetDemand(duties::ordered_pool& aPool) const;

  // Sends a call if this gateway still holds aToken when the first byte is
  // written.
  void Call(wire::http_request aRequest,
            duties::fencing_token aToken,
            duties::duty_callback aDone);

  duty_parts mParts;
  const process_id mSelf;
  duty_settings mSettings;
  wire::http_client mClient;
  policy::fleet_clock mClock;
  duties::usage_meter mMeter;
  duties::usage_book mBook;
  duties::duty_lease mLease;
  duties::usage_reporter mReporter;
  duties::capacity_controller mCapacity;
  timer_subscription mUsageTimer;
};

} // namespace sapphirespar::gateway
