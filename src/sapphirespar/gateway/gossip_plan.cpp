// Intervals, receivers and contents of gossip messages.
#include "sapphirespar/gateway/gossip_plan.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

// Both relays of a data centre send sums, each of them once per this many
// update periods.
constexpr int kUpdatesPerSum = 2;

std::vector<std::string>
Addresses(std::span<const peer_contact> aContacts)
{
  std::vector<std::string> addresses;
  std::ranges::transform(
    aContacts, std::back_inserter(addresses), &peer_contact::mAddress);
  return addresses;
}

} // namespace

gossip_plan::gossip_plan(const peer_table& aPeers,
                         milliseconds aMinimumInterval,
                         self_hook aSelf)
  : mPeers(aPeers)
  , mMinimumInterval(aMinimumInterval)
  , mSelf(std::move(aSelf))
{
}

bool
gossip_plan::IsDue(steady_time aLast,
                   milliseconds aInterval,
                   steady_time aNow) const
{
  // Tolerates timer ticks that are slightly early or late.
  return aNow - aLast + mMinimumInterval / 2 >= aInterval;
}

std::vector<outgoing_gossip>
gossip_plan::DueMessages(steady_time aNow)
{
  const auto self = mSelf();
  const bool usesRelays = mPeers.UsesRelays();
  const bool isRelay = usesRelays && mPeers.IsRelay(aNow);
  const bool changed = self.mLoads != mLastLoads;
  const auto heartbeat = mPeers.HeartbeatPeriod();
  const auto interval = mPeers.UpdatePeriod(mMinimumInterval);
  const auto localInterval = changed || isRelay ? interval : heartbeat;
  const auto remoteInterval = usesRelays ? heartbeat : localInterval;
  std::vector<outgoing_gossip> messages;
  if (IsDue(mLastLocal, localInterval, aNow)) {
    messages.push_back(ToLocal(self, aNow));
  }
  if (IsDue(mLastRemote, remoteInterval, aNow)) {
    messages.push_back(ToRemote(self, aNow));
  }
  if (isRelay && IsDue(mLastRemoteRelays, kUpdatesPerSum * interval, aNow)) {
    mLastRemoteRelays = aNow;
    messages.push_back(ToRemoteRelays(self, aNow));
  }
  return messages;
}

std::vector<outgoing_gossip>
gossip_plan::MessagesToAll(steady_time aNow)
{
  const auto self = mSelf();
  return { ToLocal(self, aNow), ToRemote(self, aNow) };
}

outgoing_gossip
gossip_plan::ToLocal(gossip_state aSelf, steady_time aNow)
{
  mLastLocal = aNow;
  mLastLoads = aSelf.mLoads;
  const bool sendsRemoteLoads = mPeers.UsesRelays() && mPeers.IsRelay(aNow);
  const auto interval = kUpdatesPerSum * mPeers.UpdatePeriod(mMinimumInterval);
  if (sendsRemoteLoads && IsDue(mLastRemoteLoadsSent, interval, aNow)) {
    mLastRemoteLoadsSent = aNow;
    aSelf.mDataCentreLoads = mPeers.RemoteLoads(aNow);
  }
  return { Addresses(mPeers.Contacts(true)), std::move(aSelf) };
}

outgoing_gossip
gossip_plan::ToRemote(gossip_state aSelf, steady_time aNow)
{
  mLastRemote = aNow;
  aSelf.mEnginePaces.clear();
  if (mPeers.UsesRelays()) {
    aSelf.mLoads.clear();
  }
  return { Addresses(mPeers.Contacts(false)), std::move(aSelf) };
}

outgoing_gossip
gossip_plan::ToRemoteRelays(gossip_state aSelf, steady_time aNow) const
{
  aSelf.mDataCentreLoads = { mPeers.LocalLoads(aSelf.mLoads, aNow) };
  aSelf.mLoads.clear();
  aSelf.mEnginePaces.clear();
  return { mPeers.RemoteRelays(aNow), std::move(aSelf) };
}

} // namespace sapphirespar::gateway
