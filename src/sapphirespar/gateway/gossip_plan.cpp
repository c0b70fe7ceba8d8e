// Pauses, audiences and what each is told.
#include "sapphirespar/gateway/gossip_plan.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

// Both relays of a data centre pass sums on, each after this many news periods.
constexpr int kPausesPerSum = 2;

std::vector<std::string>
Addresses(std::span<const peer_contact> aContacts)
{
  std::vector<std::string> addresses;
  std::ranges::transform(
    aContacts, std::back_inserter(addresses), &peer_contact::mAddress);
  return addresses;
}

} // namespace

gossip_plan::gossip_plan(const peer_board& aPeers,
                         milliseconds aShortestPause,
                         self_hook aSelf)
  : mPeers(aPeers)
  , mShortestPause(aShortestPause)
  , mSelf(std::move(aSelf))
{
}

bool
gossip_plan::IsDue(steady_time aLast,
                   milliseconds aPause,
                   steady_time aNow) const
{
  // Calls come a little early or late.
  return aNow - aLast + mShortestPause / 2 >= aPause;
}

std::vector<gossip_mail>
gossip_plan::Due(steady_time aNow)
{
  const auto self = mSelf();
  const bool relays = mPeers.UsesRelays();
  const bool relay = relays && mPeers.IsRelay(aNow);
  const bool news = self.mLoads != mLastLoads;
  const auto beat = mPeers.BeatPeriod();
  const auto pause = mPeers.NewsPeriod(mShortestPause);
  const auto nearPause = news || relay ? pause : beat;
  const auto farPause = relays ? beat : nearPause;
  std::vector<gossip_mail> mails;
  if (IsDue(mLastNear, nearPause, aNow)) {
    mails.push_back(ToNear(self, aNow));
  }
  if (IsDue(mLastFar, farPause, aNow)) {
    mails.push_back(ToFar(self, aNow));
  }
  if (relay && IsDue(mLastFarRelays, kPausesPerSum * pause, aNow)) {
    mLastFarRelays = aNow;
    mails.push_back(ToFarRelays(self, aNow));
  }
  return mails;
}

std::vector<gossip_mail>
gossip_plan::TellAll(steady_time aNow)
{
  const auto self = mSelf();
  return { ToNear(self, aNow), ToFar(self, aNow) };
}

gossip_mail
gossip_plan::ToNear(gossip_state aSelf, steady_time aNow)
{
  mLastNear = aNow;
  mLastLoads = aSelf.mLoads;
  const bool passesOn = mPeers.UsesRelays() && mPeers.IsRelay(aNow);
  const auto pause = kPausesPerSum * mPeers.NewsPeriod(mShortestPause);
  if (passesOn && IsDue(mLastPassedOn, pause, aNow)) {
    mLastPassedOn = aNow;
    aSelf.mZones = mPeers.FarLoads(aNow);
  }
  return { Addresses(mPeers.Contacts(true)), std::move(aSelf) };
}

gossip_mail
gossip_plan::ToFar(gossip_state aSelf, steady_time aNow)
{
  mLastFar = aNow;
  if (mPeers.UsesRelays()) {
    aSelf.mLoads.clear();
  }
  return { Addresses(mPeers.Contacts(false)), std::move(aSelf) };
}

gossip_mail
gossip_plan::ToFarRelays(gossip_state aSelf, steady_time aNow) const
{
  aSelf.mZones = { mPeers.NearLoads(aSelf.mLoads, aNow) };
  aSelf.mLoads.clear();
  return { mPeers.FarRelays(aNow), std::move(aSelf) };
}

} // namespace sapphirespar::gateway
