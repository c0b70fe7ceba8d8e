// Judges gossip and its silence.
#include "sapphirespar/gateway/peer_board.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <set>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

// So many datagrams a second are received at most while nothing changes.
constexpr milliseconds kBeatPerPeer{ 12 };
constexpr milliseconds kShortestBeat{ 400 };

// Datagrams are lost now and then: a gateway counts as live until it has missed
// three beats and a network delay.
constexpr int kMissedBeats = 3;
constexpr milliseconds kDelay{ 200 };

// A silent gateway may still send to upstreams for so long as callers that
// know it keep its address.
constexpr std::chrono::seconds kForgetAfter{ 30 };

// Longer than a process takes to start again.
constexpr std::chrono::seconds kLostAfter{ 20 };

} // namespace

peer_board::peer_board(vm_id aSelf, std::uint32_t aProcessor)
  : mSelf(std::move(aSelf))
  , mProcessor(aProcessor)
{
}

milliseconds
peer_board::BeatPeriod() const
{
  const auto scaled = kBeatPerPeer * static_cast<int>(mPeers.size());
  return std::max<milliseconds>(kShortestBeat, scaled);
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
  if (sender.mVm == mSelf) {
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
  mPeers[sender.mVm] = peer{ aState, aNow, true };
  return sameProcess ? gossip_effect::Updated : gossip_effect::NewProcess;
}

void
peer_board::SetRegistered(std::vector<peer_contact> aContacts, steady_time aNow)
{
  std::map<peer_contact, steady_time> registered;
  for (auto& contact : aContacts) {
    if (contact.mVm != mSelf) {
      const auto known = mRegistered.find(contact);
      const auto since = known == mRegistered.end() ? aNow : known->second;
      registered.emplace(std::move(contact), since);
    }
  }
  mRegistered = std::move(registered);
  mRegisterRead = true;
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

vm_id
peer_board::Reader(steady_time aNow) const
{
  const auto rank = [](const vm_id& aVm, std::uint32_t aProcessor) {
    return std::pair(aProcessor,
                     XXH3_64bits(aVm.mText.data(), aVm.mText.size()));
  };
  auto best = rank(mSelf, mProcessor);
  auto reader = mSelf;
  for (const auto& [vm, known] : mPeers) {
    const auto& state = known.mState;
    const auto own = rank(vm, state.mProcessor);
    if (IsLive(known, aNow) && state.mReady && !state.mLeaving && own > best) {
      best = own;
      reader = vm;
    }
  }
  return reader;
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
peer_board::Contacts() const
{
  std::set<std::string> addresses;
  std::vector<peer_contact> contacts;
  const auto add = [&](const vm_id& aVm, const std::string& aAddress) {
    if (addresses.insert(aAddress).second) {
      contacts.push_back({ aVm, aAddress });
    }
  };
  for (const auto& [vm, known] : mPeers) {
    add(vm, known.mState.mAddress);
  }
  for (const auto& [contact, since] : mRegistered) {
    add(contact.mVm, contact.mAddress);
  }
  return contacts;
}

std::unordered_map<std::uint64_t, policy::upstream_load>
peer_board::Loads(steady_time aNow) const
{
  std::unordered_map<std::uint64_t, policy::upstream_load> loads;
  for (const auto& [vm, known] : mPeers) {
    if (!IsLive(known, aNow)) {
      continue;
    }
    for (const auto& told : known.mState.mLoads) {
      policy::upstream_load load;
      load.mUrgentTokens = told.mUrgentTokens;
      load.mOtherTokens = told.mOtherTokens;
      load.mMemoryTokens = told.mMemoryTokens;
      load.mRunning = static_cast<int>(told.mRunning);
      load.mInteractive = static_cast<int>(told.mInteractive);
      loads[told.mUpstream] += load;
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
      sum.mInteractive.mReading +=
        kThousandth * known.mState.mInteractiveReading;
      sum.mBulk.mReading += kThousandth * known.mState.mBulkReading;
    }
  }
  return sum;
}

unsigned
peer_board::MostGateways(steady_time aNow) const
{
  std::set<vm_id> names{ mSelf };
  for (const auto& [vm, known] : mPeers) {
    if (aNow - known.mHeard <= kForgetAfter) {
      names.insert(vm);
    }
  }
  for (const auto& [contact, since] : mRegistered) {
    names.insert(contact.mVm);
  }
  const bool known = mRegisterRead || names.size() > 1;
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
