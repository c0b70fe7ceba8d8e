// The other gateways as known from their gossip and from the registry: which of
// them are live and accept requests, and their load on each upstream.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/protocol.hpp"
#include "sapphirespar/model/gossip.hpp"
#include "sapphirespar/policy/engine_split.hpp"
#include "sapphirespar/policy/upstream_load.hpp"

#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace sapphirespar::gateway {

// Name, location and size of this gateway.
struct gateway_identity
{
  vm_id mVm;
  data_centre_id mDataCentre;
  // Processor share in thousandths of a core.
  std::uint32_t mProcessor = 0;
};

// Address that gossip to a gateway is sent to, whether it is live or not.
struct peer_contact
{
  vm_id mVm;
  std::string mAddress;

  auto operator<=>(const peer_contact&) const = default;
};

// A gateway that does the duties of the fleet, and its fencing token.
struct duty_holder
{
  vm_id mVm;
  std::uint64_t mToken = 0;
};

enum class gossip_effect
{
  // Older than the known state, or this gateway's own.
  Ignored,
  // The first from a process.
  NewProcess,
  // Newer state of a known process.
  Updated,
};

class peer_table
{
public:
  explicit peer_table(gateway_identity aSelf);

  // Stores the state that another gateway sent, unless it is stale.
  gossip_effect Receive(const gossip_state& aState, steady_time aNow);

  // Replaces the registered gateways by those read from the platform's store.
  void SetRegistered(std::vector<peer_contact> aContacts, steady_time aNow);

  // Adds the gateways of another gateway's list. Does nothing once the registry
  // in the store has been read.
  void AddContacts(std::span<const peer_contact> aContacts, steady_time aNow);

  // Whether a list of the other gateways has been received, from the registry
  // or from another gateway.
  bool HasGatewayList() const { return mHasGatewayList; }

  // Removes gateways that have sent nothing for a long time. Returns those that
  // have stopped being live since the last call.
  std::vector<vm_id> Tick(steady_time aNow);

  // Addresses of the other live gateways that accept requests.
  std::vector<entry_point> EntryPoints(steady_time aNow) const;

  // The EntryPoints of those gateways that reach the upstreams; in this data
  // centre if there are any, otherwise in the others.
  std::vector<entry_point> Helpers(steady_time aNow) const;

  // Admin addresses of the other live gateways that have read the store.
  std::vector<entry_point> AdminPoints(steady_time aNow) const;

  // The gateways that read the store for the whole fleet, in order: those with
  // the largest processor shares, possibly this one. The first one reads; each
  // of the others reads only if all before it fail. Gateways with the same view
  // of the fleet choose the same ones.
  std::vector<vm_id> Readers(steady_time aNow) const;
  bool IsFirstReader(steady_time aNow) const;

  // The other live gateway that tells that it holds the duties, with the
  // highest token; nothing if none does.
  std::optional<duty_holder> DutyHolder(steady_time aNow) const;

  // The other live gateways that tell of duties.
  std::vector<vm_id> DutyGateways(steady_time aNow) const;

  // The last state that a gateway sent; null if none is known.
  const gossip_state* Find(const vm_id& aVm) const;

  // The other live gateways.
  std::vector<vm_id> LiveGateways(steady_time aNow) const;

  // Returns whether this gateway owns a key. Of the live gateways that accept
  // requests, one owns each key.
  bool IsOwnerOf(std::uint64_t aKey, steady_time aNow) const;

  // Addresses of at most aCount other live gateways that keep what belongs to a
  // key, the first ones preferred; those that are shutting down come last.
  // Gateways with the same view of the fleet prefer the same ones.
  std::vector<std::string> Keepers(std::uint64_t aKey,
                                   std::size_t aCount,
                                   steady_time aNow) const;

  // Whether relays forward the loads of other data centres. Large fleets need
  // relays, because each gateway could send to all others only rarely.
  bool UsesRelays() const;

  // Whether this gateway is a relay of its data centre. Gateways with the same
  // view of the fleet choose the same relays.
  bool IsRelay(steady_time aNow) const;

  // The gateways to send gossip to that are known to be in this data centre,
  // or, if aLocal is false, all others.
  std::vector<peer_contact> Contacts(bool aLocal) const;

  // All gateways to send gossip to.
  std::vector<peer_contact> Contacts() const;

  // Addresses of the relays of all other data centres.
  std::vector<std::string> RemoteRelays(steady_time aNow) const;

  // The summed loads of this data centre. aOwn are this gateway's loads.
  data_centre_loads LocalLoads(std::span<const gossip_load> aOwn,
                               steady_time aNow) const;

  // The summed loads of the other data centres, as last received from relays.
  std::vector<data_centre_loads> RemoteLoads(steady_time aNow) const;

  // The summed loads of all other live gateways, by upstream key.
  std::unordered_map<std::uint64_t, policy::upstream_load> Loads(
    steady_time aNow) const;

  // The engine time, in engines, that all other live gateways need for prefill.
  policy::engine_demand PrefillDemand(steady_time aNow) const;

  // The engine time, in engines, that the prefill of the prompts would take
  // that all other live gateways have refused.
  double RefusedPrefill(steady_time aNow) const;

  // The gateways that may be live, sorted: those heard recently or registered,
  // including this one. Empty until another gateway has been heard or a list of
  // gateways has been received.
  std::vector<vm_id> PossibleGateways(steady_time aNow) const;

  // The number of PossibleGateways.
  unsigned MaximumGateways(steady_time aNow) const;

  // Registered gateways that have sent nothing for so long that their processes
  // must have ended.
  std::vector<vm_id> LostRegistered(steady_time aNow) const;

  // Time between two datagrams of a gateway whose load has not changed.
  std::chrono::milliseconds HeartbeatPeriod() const;

  // Time between two datagrams that report changed load to gateways that
  // receive it directly. Never less than aShortest.
  std::chrono::milliseconds UpdatePeriod(
    std::chrono::milliseconds aShortest) const;

  // Time within which a changed load is known to all gateways if no datagram is
  // lost. aShortest as in UpdatePeriod.
  std::chrono::milliseconds LoadDelay(
    std::chrono::milliseconds aShortest) const;

private:
  struct peer
  {
    // Without mDataCentreLoads, which are kept in the table's mDataCentreLoads.
    gossip_state mState;
    steady_time mLastHeard{};
    // As of the last Tick or, if later, the last Receive.
    bool mLive = false;
  };

  // Summed loads of another data centre.
  struct remote_loads
  {
    std::vector<gossip_load> mLoads;
    steady_time mSummedAt{};
  };

  bool IsLive(const peer& aPeer, steady_time aNow) const;
  bool IsLocal(const peer& aPeer) const;
  // The relays of a data centre, chosen from its live gateways.
  std::vector<vm_id> Relays(const data_centre_id& aDataCentre,
                            steady_time aNow) const;
  // Null if the data centre's sum is unknown or too old to use.
  const remote_loads* FindRemoteLoads(const data_centre_id& aDataCentre,
                                      steady_time aNow) const;

  const gateway_identity mSelf;
  std::map<vm_id, peer> mPeers;
  // The newest sums of other data centres.
  std::map<data_centre_id, remote_loads> mDataCentreLoads;
  // Registered gateways and when each was first seen in the registry.
  std::map<peer_contact, steady_time> mRegistered;
  bool mRegistryRead = false;
  bool mHasGatewayList = false;
};

} // namespace sapphirespar::gateway
