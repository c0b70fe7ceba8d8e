// Decides from received gossip which gateways are live, which of them are
// readers and relays, and how much load they report.
#include "sapphirespar/gateway/peer_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

// The heartbeat period grows by this with each peer, so that a gateway receives
// at most one heartbeat per 12 ms, whatever the size of the fleet.
constexpr milliseconds kHeartbeatPerPeer{ 12 };
constexpr milliseconds kMinimumHeartbeat{ 400 };

// Changed load is sent this many times as often as heartbeats.
constexpr int kUpdatesPerHeartbeat = 4;

// Datagrams may be lost, so a gateway is live until it has missed three
// heartbeats and a network delay.
constexpr int kMissedHeartbeats = 3;
constexpr milliseconds kNetworkDelay{ 200 };

// A gateway that sends nothing is removed from the table after this time. Until
// then it may still send requests to upstreams, because callers keep its
// address.
constexpr std::chrono::seconds kForgetAfter{ 30 };

// A registered gateway that sends nothing for this long is lost. Longer than
// the restart of a process takes.
constexpr std::chrono::seconds kLostAfter{ 20 };

// Long enough to detect the loss of both relays and to replace them.
constexpr std::chrono::seconds kRemoteLoadsExpiry{ 5 };

// Sums of more upstreams don't fit into a datagram. Those with the fewest
// running requests are left out.
constexpr std::size_t kMaximumSums = 1000;

using load_sums = std::unordered_map<std::uint64_t, policy::upstream_load>;

void
AddTo(load_sums& aSums, std::span<const gossip_load> aLoads)
{
  for (const auto& reported : aLoads) {
    policy::upstream_load load;
    load.mUrgentTokens = reported.mUrgentTokens;
    load.mOtherTokens = reported.mOtherTokens;
    load.mMemoryTokens = reported.mMemoryTokens;
    load.mRunning = static_cast<int>(reported.mRunning);
    load.mInteractive = static_cast<int>(reported.mInteractive);
    aSums[reported.mUpstream] += load;
  }
}

} // namespace

peer_table::peer_table(gateway_identity aSelf)
  : mSelf(std::move(aSelf))
{
}

milliseconds
peer_table::HeartbeatPeriod() const
{
  const auto scaled = kHeartbeatPerPeer * static_cast<int>(mPeers.size());
  return std::max<milliseconds>(kMinimumHeartbeat, scaled);
}

milliseconds
peer_table::UpdatePeriod(milliseconds aShortest) const
{
  const auto receivers =
    UsesRelays()
      ? std::ranges::count_if(
          mPeers, [&](const auto& aItem) { return IsLocal(aItem.second); })
      : static_cast<std::ptrdiff_t>(mPeers.size());
  return std::max<milliseconds>(
    { aShortest,
      kMinimumHeartbeat / kUpdatesPerHeartbeat,
      kHeartbeatPerPeer * receivers / kUpdatesPerHeartbeat });
}

milliseconds
peer_table::LoadDelay(milliseconds aShortest) const
{
  // Through relays: an update, a sum of one data centre, its forwarding.
  constexpr int kUpdatesThroughRelays = 5;
  return UpdatePeriod(aShortest) * (UsesRelays() ? kUpdatesThroughRelays : 1);
}

bool
peer_table::IsLive(const peer& aPeer, steady_time aNow) const
{
  return aNow - aPeer.mLastHeard <=
         kMissedHeartbeats * HeartbeatPeriod() + kNetworkDelay;
}

gossip_effect
peer_table::Receive(const gossip_state& aState, steady_time aNow)
{
  const auto& sender = aState.mSender;
  if (sender.mVm == mSelf.mVm) {
    return gossip_effect::Ignored;
  }
  const auto found = mPeers.find(sender.mVm);
  const bool known = found != mPeers.end();
  if (known) {
    const auto& last = found->second.mState;
    // A process that restarted after its clock was set back has a lower
    // incarnation number than its predecessor. It is accepted once the
    // predecessor is no longer live.
    const bool older = IsLive(found->second, aNow) &&
                       (sender.mIncarnation < last.mSender.mIncarnation ||
                        (sender.mIncarnation == last.mSender.mIncarnation &&
                         aState.mSequence <= last.mSequence));
    if (older) {
      return gossip_effect::Ignored;
    }
  }
  const bool sameProcess = known && found->second.mState.mSender == sender;
  for (const auto& reported : aState.mDataCentreLoads) {
    const auto summedAt = aNow - reported.mAge;
    auto& remoteLoads = mDataCentreLoads[reported.mDataCentre];
    if (reported.mDataCentre != mSelf.mDataCentre &&
        summedAt > remoteLoads.mSummedAt) {
      remoteLoads = { reported.mLoads, summedAt };
    }
  }
  mPeers[sender.mVm] = peer{ aState, aNow, true };
  mPeers[sender.mVm].mState.mDataCentreLoads.clear();
  mPeers[sender.mVm].mState.mCrashReport = {};
  mPeers[sender.mVm].mState.mRequestCrashReport = {};
  mPeers[sender.mVm].mState.mUpstreamRates.clear();
  mPeers[sender.mVm].mState.mBrittle = {};
  return sameProcess ? gossip_effect::Updated : gossip_effect::NewProcess;
}

void
peer_table::SetRegistered(std::vector<peer_contact> aContacts, steady_time aNow)
{
  std::map<peer_contact, steady_time> registered;
  for (auto& contact : aContacts) {
    if (contact.mVm != mSelf.mVm) {
      const auto known = mRegistered.find(contact);
      const auto since = known == mRegistered.end() ? aNow : known->second;
      registered.emplace(std::move(contact), since);
    }
  }
  mRegistered = std::move(registered);
  mRegistryRead = true;
  mHasGatewayList = true;
}

void
peer_table::AddContacts(std::span<const peer_contact> aContacts,
                        steady_time aNow)
{
  if (mRegistryRead) {
    return;
  }
  for (const auto& contact : aContacts) {
    if (contact.mVm != mSelf.mVm) {
      mRegistered.emplace(contact, aNow);
    }
  }
  mHasGatewayList = true;
}

std::vector<vm_id>
peer_table::Tick(steady_time aNow)
{
  std::vector<vm_id> lost;
  for (auto& [vm, known] : mPeers) {
    const bool live = IsLive(known, aNow);
    if (known.mLive && !live) {
      lost.push_back(vm);
    }
    known.mLive = live;
  }
  std::erase_if(mPeers, [&](const auto& aItem) {
    return aNow - aItem.second.mLastHeard > kForgetAfter;
  });
  return lost;
}

data_centre_loads
peer_table::LocalLoads(std::span<const gossip_load> aOwn,
                       steady_time aNow) const
{
  load_sums sums;
  AddTo(sums, aOwn);
  for (const auto& [vm, known] : mPeers) {
    if (IsLocal(known) && IsLive(known, aNow)) {
      AddTo(sums, known.mState.mLoads);
    }
  }
  data_centre_loads local{ mSelf.mDataCentre, {}, {} };
  for (const auto& [upstream, load] : sums) {
    local.mLoads.push_back({ upstream,
                             static_cast<std::uint32_t>(load.mUrgentTokens),
                             static_cast<std::uint32_t>(load.mOtherTokens),
                             static_cast<std::uint32_t>(load.mMemoryTokens),
                             static_cast<std::uint32_t>(load.mRunning),
                             static_cast<std::uint32_t>(load.mInteractive) });
  }
  if (local.mLoads.size() > kMaximumSums) {
    std::ranges::partial_sort(local.mLoads,
                              local.mLoads.begin() + kMaximumSums,
                              std::greater<>{},
                              &gossip_load::mRunning);
    local.mLoads.resize(kMaximumSums);
  }
  return local;
}

const peer_table::remote_loads*
peer_table::FindRemoteLoads(const data_centre_id& aDataCentre,
                            steady_time aNow) const
{
  const auto found = mDataCentreLoads.find(aDataCentre);
  const bool isCurrent = found != mDataCentreLoads.end() &&
                         aNow - found->second.mSummedAt <= kRemoteLoadsExpiry;
  return isCurrent ? &found->second : nullptr;
}

std::vector<data_centre_loads>
peer_table::RemoteLoads(steady_time aNow) const
{
  std::vector<data_centre_loads> loads;
  for (const auto& [centre, known] : mDataCentreLoads) {
    if (FindRemoteLoads(centre, aNow)) {
      loads.push_back({ centre,
                        std::chrono::ceil<milliseconds>(aNow - known.mSummedAt),
                        known.mLoads });
    }
  }
  return loads;
}

const gossip_state*
peer_table::Find(const vm_id& aVm) const
{
  const auto found = mPeers.find(aVm);
  return found == mPeers.end() ? nullptr : &found->second.mState;
}

std::vector<vm_id>
peer_table::LiveGateways(steady_time aNow) const
{
  std::vector<vm_id> names;
  for (const auto& [vm, known] : mPeers) {
    if (IsLive(known, aNow)) {
      names.push_back(vm);
    }
  }
  return names;
}

std::vector<peer_contact>
peer_table::Contacts(bool aLocal) const
{
  std::set<std::string> addresses;
  std::vector<peer_contact> contacts;
  for (const auto& [vm, known] : mPeers) {
    const auto& address = known.mState.mAddress;
    if (addresses.insert(address).second && IsLocal(known) == aLocal) {
      contacts.push_back({ vm, address });
    }
  }
  // The data centre of a gateway that has not been heard is unknown, so it
  // counts as remote.
  for (const auto& [contact, since] : mRegistered) {
    if (addresses.insert(contact.mAddress).second && !aLocal) {
      contacts.push_back(contact);
    }
  }
  return contacts;
}

std::vector<peer_contact>
peer_table::Contacts() const
{
  auto contacts = Contacts(true);
  std::ranges::move(Contacts(false), std::back_inserter(contacts));
  return contacts;
}

std::unordered_map<std::uint64_t, policy::upstream_load>
peer_table::Loads(steady_time aNow) const
{
  load_sums loads;
  for (const auto& [vm, known] : mPeers) {
    const auto& centre = known.mState.mDataCentre;
    if (IsLive(known, aNow) &&
        (IsLocal(known) || !FindRemoteLoads(centre, aNow))) {
      AddTo(loads, known.mState.mLoads);
    }
  }
  for (const auto& [centre, known] : mDataCentreLoads) {
    if (FindRemoteLoads(centre, aNow)) {
      AddTo(loads, known.mLoads);
    }
  }
  return loads;
}

policy::engine_demand
peer_table::PrefillDemand(steady_time aNow) const
{
  constexpr double kThousandth = 0.001;
  policy::engine_demand sum;
  for (const auto& [vm, known] : mPeers) {
    if (IsLive(known, aNow)) {
      sum.mInteractive.mPrefill +=
        kThousandth * known.mState.mInteractivePrefill;
      sum.mBulk.mPrefill += kThousandth * known.mState.mBulkPrefill;
    }
  }
  return sum;
}

double
peer_table::RefusedPrefill(steady_time aNow) const
{
  constexpr double kThousandth = 0.001;
  double sum = 0;
  for (const auto& [vm, known] : mPeers) {
    if (IsLive(known, aNow) && known.mState.mDuties) {
      sum += kThousandth * known.mState.mDuties->mRefusedPrefill;
    }
  }
  return sum;
}

std::vector<vm_id>
peer_table::PossibleGateways(steady_time aNow) const
{
  std::set<vm_id> names{ mSelf.mVm };
  for (const auto& [vm, known] : mPeers) {
    if (aNow - known.mLastHeard <= kForgetAfter) {
      names.insert(vm);
    }
  }
  for (const auto& [contact, since] : mRegistered) {
    names.insert(contact.mVm);
  }
  if (!mHasGatewayList && names.size() == 1) {
    return {};
  }
  return { names.begin(), names.end() };
}

unsigned
peer_table::MaximumGateways(steady_time aNow) const
{
  return static_cast<unsigned>(PossibleGateways(aNow).size());
}

std::vector<vm_id>
peer_table::LostRegistered(steady_time aNow) const
{
  std::vector<vm_id> lost;
  for (const auto& [contact, since] : mRegistered) {
    const auto known = mPeers.find(contact.mVm);
    const auto heard =
      known == mPeers.end() ? since : std::max(since, known->second.mLastHeard);
    if (aNow - heard > kLostAfter) {
      lost.push_back(contact.mVm);
    }
  }
  return lost;
}

} // namespace sapphirespar::gateway
