// Which of the gateways in the table are chosen: to be told to callers, to read
// the store, to keep records, to relay.
#include "sapphirespar/gateway/peer_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>
#include <utility>

namespace sapphirespar::gateway {
namespace {

// With this many peers or more, loads that come through relays are fresher than
// loads sent directly, because a small processor limits how many datagrams a
// gateway can receive.
constexpr std::size_t kMinimumPeersForRelays = 48;

// Two, so that sums keep arriving when one relay is lost and its loss has not
// been detected yet.
constexpr std::size_t kRelaysPerDataCentre = 2;

// If the first reader fails, a few gateways read the store instead of all.
constexpr std::size_t kReaderCount = 3;

// Order of preference among gateways: by processor share, largest first, then
// by the hash of the name.
using rank = std::pair<std::uint32_t, XXH64_hash_t>;
using ranking = std::vector<std::pair<rank, vm_id>>;

rank
RankOf(const vm_id& aVm, std::uint32_t aProcessor)
{
  return { aProcessor, XXH3_64bits(aVm.mText.data(), aVm.mText.size()) };
}

std::vector<vm_id>
TopOf(ranking aRanked, std::size_t aMaximum)
{
  std::ranges::sort(aRanked, std::greater<>{});
  aRanked.resize(std::min(aRanked.size(), aMaximum));
  std::vector<vm_id> names;
  std::ranges::transform(aRanked,
                         std::back_inserter(names),
                         [](const auto& aItem) { return aItem.second; });
  return names;
}

} // namespace

std::vector<entry_point>
peer_table::EntryPoints(steady_time aNow) const
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
peer_table::Helpers(steady_time aNow) const
{
  std::vector<entry_point> local;
  std::vector<entry_point> remote;
  for (const auto& [vm, known] : mPeers) {
    const auto& state = known.mState;
    const bool accepts = state.mReady && !state.mLeaving && !state.mCutOff;
    if (accepts && IsLive(known, aNow)) {
      (IsLocal(known) ? local : remote)
        .push_back({ state.mAddress, state.mCallerPort });
    }
  }
  return local.empty() ? remote : local;
}

std::vector<entry_point>
peer_table::AdminPoints(steady_time aNow) const
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
peer_table::Readers(steady_time aNow) const
{
  ranking ranked{ { RankOf(mSelf.mVm, mSelf.mProcessor), mSelf.mVm } };
  for (const auto& [vm, known] : mPeers) {
    const auto& state = known.mState;
    if (IsLive(known, aNow) && state.mReady && !state.mLeaving) {
      ranked.emplace_back(RankOf(vm, state.mProcessor), vm);
    }
  }
  return TopOf(std::move(ranked), kReaderCount);
}

bool
peer_table::IsFirstReader(steady_time aNow) const
{
  return Readers(aNow).front() == mSelf.mVm;
}

std::optional<duty_holder>
peer_table::DutyHolder(steady_time aNow) const
{
  std::optional<duty_holder> holder;
  for (const auto& [vm, known] : mPeers) {
    const auto& duties = known.mState.mDuties;
    if (duties && duties->mToken > (holder ? holder->mToken : 0) &&
        IsLive(known, aNow)) {
      holder = { vm, duties->mToken };
    }
  }
  return holder;
}

std::vector<vm_id>
peer_table::DutyGateways(steady_time aNow) const
{
  std::vector<vm_id> vms;
  for (const auto& [vm, known] : mPeers) {
    if (known.mState.mDuties && IsLive(known, aNow)) {
      vms.push_back(vm);
    }
  }
  return vms;
}

bool
peer_table::IsOwnerOf(std::uint64_t aKey, steady_time aNow) const
{
  const auto weight = [aKey](const vm_id& aVm) {
    return XXH3_64bits_withSeed(aVm.mText.data(), aVm.mText.size(), aKey);
  };
  const auto own = weight(mSelf.mVm);
  return std::ranges::none_of(mPeers, [&](const auto& aItem) {
    const auto& state = aItem.second.mState;
    return IsLive(aItem.second, aNow) && state.mReady && !state.mLeaving &&
           weight(aItem.first) > own;
  });
}

std::vector<std::string>
peer_table::Keepers(std::uint64_t aKey,
                    std::size_t aCount,
                    steady_time aNow) const
{
  using preference = std::pair<bool, XXH64_hash_t>;
  std::vector<std::pair<preference, std::string>> ranked;
  for (const auto& [vm, known] : mPeers) {
    if (IsLive(known, aNow)) {
      const auto weight =
        XXH3_64bits_withSeed(vm.mText.data(), vm.mText.size(), aKey);
      ranked.push_back(
        { { !known.mState.mLeaving, weight }, known.mState.mAddress });
    }
  }
  std::ranges::sort(ranked, std::greater<>{});
  ranked.resize(std::min(ranked.size(), aCount));
  std::vector<std::string> addresses;
  std::ranges::transform(ranked,
                         std::back_inserter(addresses),
                         [](auto& aItem) { return std::move(aItem.second); });
  return addresses;
}

bool
peer_table::UsesRelays() const
{
  return mPeers.size() >= kMinimumPeersForRelays &&
         !std::ranges::all_of(
           mPeers, [&](const auto& aItem) { return IsLocal(aItem.second); });
}

bool
peer_table::IsLocal(const peer& aPeer) const
{
  return aPeer.mState.mDataCentre == mSelf.mDataCentre;
}

std::vector<vm_id>
peer_table::Relays(const data_centre_id& aDataCentre, steady_time aNow) const
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
  return TopOf(std::move(ranked), kRelaysPerDataCentre);
}

bool
peer_table::IsRelay(steady_time aNow) const
{
  const auto relays = Relays(mSelf.mDataCentre, aNow);
  return std::ranges::find(relays, mSelf.mVm) != relays.end();
}

std::vector<std::string>
peer_table::RemoteRelays(steady_time aNow) const
{
  std::set<data_centre_id> centres;
  for (const auto& [vm, known] : mPeers) {
    if (!IsLocal(known)) {
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

} // namespace sapphirespar::gateway
