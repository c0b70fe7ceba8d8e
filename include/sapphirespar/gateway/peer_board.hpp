// What a gateway knows of the others from their gossip: who takes requests, and
// what work they have on which upstream.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/protocol.hpp"
#include "sapphirespar/model/gossip.hpp"
#include "sapphirespar/policy/engine_split.hpp"
#include "sapphirespar/policy/upstream_load.hpp"

#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace sapphirespar::gateway {

// Who a gateway is to the others.
struct peer_self
{
  vm_id mVm;
  data_centre_id mDataCentre;
  // Thousandths of a core.
  std::uint32_t mProcessor = 0;
};

// Where a gateway's datagrams are received, whether it lives or not.
struct peer_contact
{
  vm_id mVm;
  std::string mAddress;

  auto operator<=>(const peer_contact&) const = default;
};

enum class gossip_effect
{
  // Older than what is known, or this gateway's own.
  Ignored,
  // From a process not heard before.
  NewProcess,
  Updated,
};

class peer_board
{
public:
  explicit peer_board(peer_self aSelf);

  gossip_effect Receive(const gossip_state& aState, steady_time aNow);

  // Takes over who is registered in the platform's store.
  void SetRegistered(std::vector<peer_contact> aContacts, steady_time aNow);

  // Takes over whom another gateway knows, for as long as the store's register
  // has not been read here.
  void Introduce(std::span<const peer_contact> aContacts, steady_time aNow);

  // Whether the other gateways are known, from the register or another gateway.
  bool IsIntroduced() const { return mIntroduced; }

  // Forgets who has been silent for long. Returns the gateways that were live
  // until now and no longer are.
  std::vector<vm_id> Tick(steady_time aNow);

  // Gateways that take requests now, this one not among them.
  std::vector<entry_point> EntryPoints(steady_time aNow) const;

  // Admin addresses of live gateways that have read the store.
  std::vector<entry_point> AdminPoints(steady_time aNow) const;

  // The gateways that read the store for all, this one among them if it is one:
  // those with the largest shares of a core. The first one reads; each of the
  // others only where those before it fail. Gateways that see the same others
  // name the same ones.
  std::vector<vm_id> Readers(steady_time aNow) const;
  bool IsFirstReader(steady_time aNow) const;

  // What a gateway last said of itself; null for one that was never heard.
  const gossip_state* Find(const vm_id& aVm) const;

  // Live gateways, this one not among them.
  std::vector<vm_id> LiveNames(steady_time aNow) const;

  // Whether relays pass on the work of other data centres, as it is in fleets
  // so large that each gateway could tell all others only rarely.
  bool UsesRelays() const;

  // Whether this gateway is a relay of its data centre. Gateways that see the
  // same others agree on it.
  bool IsRelay(steady_time aNow) const;

  // Everyone to whom gossip is to be sent, by whether they are known to be in
  // this gateway's data centre.
  std::vector<peer_contact> Contacts(bool aNear) const;

  // All of them.
  std::vector<peer_contact> Contacts() const;

  // Addresses of the relays of all other data centres.
  std::vector<std::string> FarRelays(steady_time aNow) const;

  // The work of this data centre, aOwn being this gateway's.
  zone_loads NearLoads(std::span<const gossip_load> aOwn,
                       steady_time aNow) const;

  // The work of the other data centres, as their relays last told it.
  std::vector<zone_loads> FarLoads(steady_time aNow) const;

  // The work of all live gateways together, by the upstreams' keys.
  std::unordered_map<std::uint64_t, policy::upstream_load> Loads(
    steady_time aNow) const;

  // The engines that the prompts of all live gateways keep reading.
  policy::engine_demand Reading(steady_time aNow) const;

  // Gateways heard or registered of late, this one included; zero until any
  // other has been heard or the register has been read.
  unsigned MostGateways(steady_time aNow) const;

  // Registered gateways that have been silent for so long that they are gone.
  std::vector<vm_id> LostRegistered(steady_time aNow) const;

  // Time between two datagrams of each gateway that has nothing new to tell.
  std::chrono::milliseconds BeatPeriod() const;

  // Time between two datagrams of each gateway that has work to tell of, to
  // those who hear of it directly; aShortest at least.
  std::chrono::milliseconds NewsPeriod(
    std::chrono::milliseconds aShortest) const;

private:
  struct peer
  {
    gossip_state mState;
    steady_time mHeard{};
    bool mLive = false;
  };

  struct zone
  {
    std::vector<gossip_load> mLoads;
    steady_time mSummed{};
  };

  bool IsLive(const peer& aPeer, steady_time aNow) const;
  bool IsNear(const peer& aPeer) const;
  // The live gateways that are the relays of a data centre.
  std::vector<vm_id> Relays(const data_centre_id& aDataCentre,
                            steady_time aNow) const;
  // Null unless the data centre's sum is of use.
  const zone* FindZone(const data_centre_id& aDataCentre,
                       steady_time aNow) const;

  const peer_self mSelf;
  std::map<vm_id, peer> mPeers;
  // The newest sums of other data centres.
  std::map<data_centre_id, zone> mZones;
  // Registered gateways and since when.
  std::map<peer_contact, steady_time> mRegistered;
  bool mRegisterRead = false;
  bool mIntroduced = false;
};

} // namespace sapphirespar::gateway
