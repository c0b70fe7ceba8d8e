// Judges gossip and its silence.
#include "sapphirespar/gateway/peer_board.hpp"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

// So many datagrams a second are received at most while nothing changes.
constexpr milliseconds kBeatPerPeer{ 12 };
constexpr milliseconds kShortestBeat{ 400 };

// Changed work is told this many times as often.
constexpr int kNewsPerBeat = 4;

// Datagrams are lost now and then: a gateway counts as live until it has missed
// three beats and a network delay.
constexpr int kMissedBeats = 3;
constexpr milliseconds kDelay{ 200 };

// A silent gateway may still send to upstreams for so long as callers that
// know it keep its address.
constexpr std::chrono::seconds kForgetAfter{ 30 };

// Longer than a process takes to start again.
constexpr std::chrono::seconds kLostAfter{ 20 };

// From so many others on, relayed news is fresher than what everyone tells
// everyone directly: a small processor bounds how many datagrams it can take
// in.
constexpr std::size_t kRelayedFrom = 48;

// Two, so that sums come on while one of them is lost and not yet missed.
constexpr std::size_t kRelays = 2;

// Where the first one fails, a few go on to read the store rather than all.
constexpr std::size_t kReaders = 3;

// Sums are used until the loss of both relays has been noticed and others have
// taken over.
constexpr std::chrono::seconds kZoneKept{ 5 };

// Sums of more upstreams don't fit into a datagram; those with the least work
// are left out.
constexpr std::size_t kMostSums = 1000;

using load_sums = std::unordered_map<std::uint64_t, policy::upstream_load>;

void
AddTo(load_sums& aSums, std::span<const gossip_load> aLoads)
{
  for (const auto& told : aLoads) {
    policy::upstream_load load;
    load.mUrgentTokens = told.mUrgentTokens;
    load.mOtherTokens = told.mOtherTokens;
    load.mMemoryTokens = told.mMemoryTokens;
    load.mRunning = static_cast<int>(told.mRunning);
    load.mInteractive = static_cast<int>(told.mInteractive);
    aSums[told.mUpstream] += load;
  }
}

// What the order of preference among gateways goes by: the larger ones first.
using rank = std::pair<std::uint32_t, XXH64_hash_t>;
using ranking = std::vector<std::pair<rank, vm_id>>;

rank
RankOf(const vm_id& aVm, std::uint32_t aProcessor)
{
  return { aProcessor, XXH3_64bits(aVm.mText.data(), aVm.mText.size()) };
}

std::vector<vm_id>
TopOf(ranking aRanked, std::size_t aMost)
{
  std::ranges::sort(aRanked, std::greater<>{});
  aRanked.resize(std::min(aRanked.size(), aMost));
  std::vector<vm_id> names;
  std::ranges::transform(aRanked,
                         std::back_inserter(names),
                         [](const auto& aItem) { return aItem.second; });
  return names;
}

} // namespace

peer_board::peer_board(peer_self aSelf)
  : mSelf(std::move(aSelf))
{
}

milliseconds
peer_board::BeatPeriod() const
{
  const auto scaled = kBeatPerPeer * static_cast<int>(mPeers.size());
  return std::max<milliseconds>(kShortestBeat, scaled);
}

milliseconds
peer_board::NewsPeriod(milliseconds aShortest) const
{
  const auto listeners =
    UsesRelays()
      ? std::ranges::count_if(
          mPeers, [&](const auto& aItem) { return IsNear(aItem.second); })
      : static_cast<std::ptrdiff_t>(mPeers.size());
  return std::max<milliseconds>({ aShortest,
                                  kShortestBeat / kNewsPerBeat,
                                  kBeatPerPeer * listeners / kNewsPerBeat });
}

bool
peer_board::IsLive(const peer& aPeer, steady_time aNow) const
{
  return aNow - aPeer.mHeard <= kMissedBeats * BeatPeriod() + kDelay;
}

gossip_effect
peer_board::Receive(const gossip_state& aState, steady_time aNow)
{
  const auto& sender = aState.mSender;
  if (sender.mVm == mSelf.mVm) {
    return gossip_effect::Ignored;
  }
  const auto found = mPeers.find(sender.mVm);
  const bool known = found != mPeers.end();
  if (known) {
    const auto& last = found->second.mState;
    // A process that started after its clock was set back has a lower number
    // than the one before; that one is silent by then.
    const bool older = IsLive(found->second, aNow) &&
                       (sender.mIncarnation < last.mSender.mIncarnation ||
                        (sender.mIncarnation == last.mSender.mIncarnation &&
                         aState.mSequence <= last.mSequence));
    if (older) {
      return gossip_effect::Ignored;
    }
  }
  const bool sameProcess = known && found->second.mState.mSender == sender;
  for (const auto& told : aState.mZones) {
    const auto summed = aNow - told.mAge;
    auto& zone = mZones[told.mDataCentre];
    if (told.mDataCentre != mSelf.mDataCentre && summed > zone.mSummed) {
      zone = { told.mLoads, summed };
    }
  }
  mPeers[sender.mVm] = peer{ aState, aNow, true };
  mPeers[sender.mVm].mState.mZones.clear();
  return sameProcess ? gossip_effect::Updated : gossip_effect::NewProcess;
}

void
peer_board::SetRegistered(std::vector<peer_contact> aContacts, steady_time aNow)
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
  mRegisterRead = true;
  mIntroduced = true;
}

void
peer_board::Introduce(std::span<const peer_contact> aContacts, steady_time aNow)
{
  if (mRegisterRead) {
    return;
  }
  for (const auto& contact : aContacts) {
    if (contact.mVm != mSelf.mVm) {
      mRegistered.emplace(contact, aNow);
    }
  }
  mIntroduced = true;
}

std::vector<vm_id>
peer_board::Tick(steady_time aNow)
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
    return aNow - aItem.second.mHeard > kForgetAfter;
  });
  return lost;
}

std::vector<entry_point>
peer_board::EntryPoints(steady_time aNow) const
{
  std::vector<entry_point> points;
  for (const auto& [vm, known] : mPeers) {
    const auto& state = known.mState;
    if (IsLive(known, aNow) && state.mReady && !state.mLeaving) {
      points.push_back({ state.mAddress, state.mCallerPort });
    }
  }
  return points;
}

std::vector<entry_point>
peer_board::AdminPoints(steady_time aNow) const
{
  std::vector<entry_point> points;
  for (const auto& [vm, known] : mPeers) {
    if (IsLive(known, aNow) && known.mState.mStore) {
      points.push_back({ known.mState.mAddress, known.mState.mAdminPort });
    }
  }
  return points;
}

std::vector<vm_id>
peer_board::Readers(steady_time aNow) const
{
  ranking ranked{ { RankOf(mSelf.mVm, mSelf.mProcessor), mSelf.mVm } };
  for (const auto& [vm, known] : mPeers) {
    const auto& state = known.mState;
    if (IsLive(known, aNow) && state.mReady && !state.mLeaving) {
      ranked.emplace_back(RankOf(vm, state.mProcessor), vm);
    }
  }
  return TopOf(std::move(ranked), kReaders);
}

bool
peer_board::IsFirstReader(steady_time aNow) const
{
  return Readers(aNow).front() == mSelf.mVm;
}

bool
peer_board::UsesRelays() const
{
  return mPeers.size() >= kRelayedFrom &&
         !std::ranges::all_of(
           mPeers, [&](const auto& aItem) { return IsNear(aItem.second); });
}

bool
peer_board::IsNear(const peer& aPeer) const
{
  return aPeer.mState.mDataCentre == mSelf.mDataCentre;
}

std::vector<vm_id>
peer_board::Relays(const data_centre_id& aDataCentre, steady_time aNow) const
{
  ranking ranked;
  if (aDataCentre == mSelf.mDataCentre) {
    ranked.emplace_back(RankOf(mSelf.mVm, mSelf.mProcessor), mSelf.mVm);
  }
  for (const auto& [vm, known] : mPeers) {
    const auto& state = known.mState;
    if (state.mDataCentre == aDataCentre && !state.mLeaving &&
        IsLive(known, aNow)) {
      ranked.emplace_back(RankOf(vm, state.mProcessor), vm);
    }
  }
  return TopOf(std::move(ranked), kRelays);
}

bool
peer_board::IsRelay(steady_time aNow) const
{
  const auto relays = Relays(mSelf.mDataCentre, aNow);
  return std::ranges::find(relays, mSelf.mVm) != relays.end();
}

std::vector<std::string>
peer_board::FarRelays(steady_time aNow) const
{
  std::set<data_centre_id> centres;
  for (const auto& [vm, known] : mPeers) {
    if (!IsNear(known)) {
      centres.insert(known.mState.mDataCentre);
    }
  }
  std::vector<std::string> addresses;
  for (const auto& centre : centres) {
    for (const auto& vm : Relays(centre, aNow)) {
      addresses.push_back(mPeers.at(vm).mState.mAddress);
    }
  }
  return addresses;
}

zone_loads
peer_board::NearLoads(std::span<const gossip_load> aOwn, steady_time aNow) const
{
  load_sums sums;
  AddTo(sums, aOwn);
  for (const auto& [vm, known] : mPeers) {
    if (IsNear(known) && IsLive(known, aNow)) {
      AddTo(sums, known.mState.mLoads);
    }
  }
  zone_loads near{ mSelf.mDataCentre, {}, {} };
  for (const auto& [upstream, load] : sums) {
    near.mLoads.push_back({ upstream,
                            static_cast<std::uint32_t>(load.mUrgentTokens),
                            static_cast<std::uint32_t>(load.mOtherTokens),
                            static_cast<std::uint32_t>(load.mMemoryTokens),
                            static_cast<std::uint32_t>(load.mRunning),
                            static_cast<std::uint32_t>(load.mInteractive) });
  }
  if (near.mLoads.size() > kMostSums) {
    std::ranges::partial_sort(near.mLoads,
                              near.mLoads.begin() + kMostSums,
                              std::greater<>{},
                              &gossip_load::mRunning);
    near.mLoads.resize(kMostSums);
  }
  return near;
}

const peer_board::zone*
peer_board::FindZone(const data_centre_id& aDataCentre, steady_time aNow) const
{
  const auto found = mZones.find(aDataCentre);
  const bool isOfUse =
    found != mZones.end() && aNow - found->second.mSummed <= kZoneKept;
  return isOfUse ? &found->second : nullptr;
}

std::vector<zone_loads>
peer_board::FarLoads(steady_time aNow) const
{
  std::vector<zone_loads> loads;
  for (const auto& [centre, known] : mZones) {
    if (FindZone(centre, aNow)) {
      loads.push_back({ centre,
                        std::chrono::ceil<milliseconds>(aNow - known.mSummed),
                        known.mLoads });
    }
  }
  return loads;
}

const gossip_state*
peer_board::Find(const vm_id& aVm) const
{
  const auto found = mPeers.find(aVm);
  return found == mPeers.end() ? nullptr : &found->second.mState;
}

std::vector<vm_id>
peer_board::LiveNames(steady_time aNow) const
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
peer_board::Contacts(bool aNear) const
{
  std::set<std::string> addresses;
  std::vector<peer_contact> contacts;
  for (const auto& [vm, known] : mPeers) {
    const auto& address = known.mState.mAddress;
    if (addresses.insert(address).second && IsNear(known) == aNear) {
      contacts.push_back({ vm, address });
    }
  }
  // Whoever has not been heard may be anywhere.
  for (const auto& [contact, since] : mRegistered) {
    if (addresses.insert(contact.mAddress).second && !aNear) {
      contacts.push_back(contact);
    }
  }
  return contacts;
}

std::vector<peer_contact>
peer_board::Contacts() const
{
  auto contacts = Contacts(true);
  std::ranges::move(Contacts(false), std::back_inserter(contacts));
  return contacts;
}

std::unordered_map<std::uint64_t, policy::upstream_load>
peer_board::Loads(steady_time aNow) const
{
  load_sums loads;
  for (const auto& [vm, known] : mPeers) {
    const auto& centre = known.mState.mDataCentre;
    if (IsLive(known, aNow) && (IsNear(known) || !FindZone(centre, aNow))) {
      AddTo(loads, known.mState.mLoads);
    }
  }
  for (const auto& [centre, known] : mZones) {
    if (FindZone(centre, aNow)) {
      AddTo(loads, known.mLoads);
    }
  }
  return loads;
}

policy::engine_demand
peer_board::Reading(steady_time aNow) const
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

unsigned
peer_board::MostGateways(steady_time aNow) const
{
  std::set<vm_id> names{ mSelf.mVm };
  for (const auto& [vm, known] : mPeers) {
    if (aNow - known.mHeard <= kForgetAfter) {
      names.insert(vm);
    }
  }
  for (const auto& [contact, since] : mRegistered) {
    names.insert(contact.mVm);
  }
  const bool known = mIntroduced || names.size() > 1;
  return known ? static_cast<unsigned>(names.size()) : 0;
}

std::vector<vm_id>
peer_board::LostRegistered(steady_time aNow) const
{
  std::vector<vm_id> lost;
  for (const auto& [contact, since] : mRegistered) {
    const auto known = mPeers.find(contact.mVm);
    const auto heard =
      known == mPeers.end() ? since : std::max(since, known->second.mHeard);
    if (aNow - heard > kLostAfter) {
      lost.push_back(contact.mVm);
    }
  }
  return lost;
}

} // namespace sapphirespar::gateway
