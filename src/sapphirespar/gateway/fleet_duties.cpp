// Hooks, counts and calls of the duties.
#include "fleet_duties.hpp"

#include "duty_client.hpp"

#include "sapphirespar/base/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

// Interval between two messages with the counts of a window.
constexpr milliseconds kUsagePeriod{ 1000 };

// Gateways that keep the counts, besides this one. A second one has them if
// the holder of the duties is lost.
constexpr std::size_t kKeepers = 2;

// Demand that is summed over a smaller part of the gateways says nothing.
constexpr double kHeardPart = 0.7;

policy::wall_time
OwnWallClock()
{
  return std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

fleet_duties::fleet_duties(duty_parts aParts,
                           process_id aSelf,
                           bool aFirstStart,
                           duty_settings aSettings)
  : mParts(std::move(aParts))
  , mSelf(std::move(aSelf))
  , mSettings(std::move(aSettings))
  , mClient(mParts.mExecutor, DutyClientSettings())
  , mMeter(mSelf, mSettings.mReportWindow)
  , mLease(mParts.mPlatform,
           mParts.mTimers,
           { mSelf, mSettings.mLease, aFirstStart },
           LeaseHooks())
  , mReporter(mParts.mPlatform,
              mParts.mTimers,
              mParts.mMetrics,
              mLease,
              mBook,
              { mSettings.mReportWindow, mSettings.mReportDelay },
              ReporterHooks())
  , mCapacity(mParts.mTimers,
              mParts.mMetrics,
              mLease,
              { mSettings.mCallsPerSecond },
              CapacityHooks())
{
}

void
fleet_duties::Start()
{
  mLease.Start();
  if (mSettings.mMetering) {
    mReporter.Start();
    mUsageTimer = mParts.mTimers.Every(kUsagePeriod, [this] { SendUsage(); });
  }
  if (mSettings.mAutoscaler) {
    mCapacity.Start();
  }
}

void
fleet_duties::Reload(const duty_settings& aSettings)
{
  mSettings.mSendsOrders = aSettings.mSendsOrders;
}

duties::duty_lease_hooks
fleet_duties::LeaseHooks()
{
  duties::duty_lease_hooks hooks;
  hooks.mNow = BootNow;
  hooks.mIsCandidate = [this] {
    const auto readers = mParts.mPeers.Readers(mParts.mTimers.Now());
    return std::ranges::find(readers, mSelf.mVm) != readers.end();
  };
  hooks.mToldToken = [this] {
    const auto holder = mParts.mPeers.DutyHolder(mParts.mTimers.Now());
    return holder ? holder->mToken : duties::fencing_token{ 0 };
  };
  hooks.mChanged = [this] {
    mReporter.OnHolderChanged();
    mCapacity.OnHolderChanged();
    mParts.mGossip.SendNow();
    mParts.mMetrics.Count("duties_holder_changes_total");
  };
  return hooks;
}

duties::usage_reporter_hooks
fleet_duties::ReporterHooks()
{
  duties::usage_reporter_hooks hooks;
  hooks.mNow = [this] { return Now(); };
  hooks.mCounting = [this] {
    auto vms = mParts.mPeers.DutyGateways(mParts.mTimers.Now());
    vms.push_back(mSelf.mVm);
    return vms;
  };
  hooks.mReport = [this](const duties::usage_report& aReport,
                         duties::fencing_token aToken,
                         duties::duty_callback aDone) {
    Call(mParts.mProtocol.mUsageRequest(aReport, { mSelf.mVm, aToken }),
         aToken,
         std::move(aDone));
  };
  hooks.mFixed = [this] { mParts.mGossip.SendNow(); };
  return hooks;
}

duties::capacity_hooks
fleet_duties::CapacityHooks()
{
  duties::capacity_hooks hooks;
  hooks.mPools = [this] { return OrderedPools(); };
  hooks.mIsOn = [this] { return mSettings.mSendsOrders; };
  hooks.mOrder = [this](const duties::capacity_order& aOrder,
                        duties::fencing_token aToken,
                        duties::duty_callback aDone) {
    Call(mParts.mProtocol.mCapacityRequest(aOrder, { mSelf.mVm, aToken }),
         aToken,
         std::move(aDone));
  };
  return hooks;
}

void
fleet_duties::OnGossip(const gossip_state& aState)
{
  if (aState.mDuties) {
    mClock.Note(aState.mSender.mVm,
                policy::wall_time(aState.mDuties->mWallMs),
                BootNow());
    mReporter.NoteFixed(aState.mDuties->mFixedWindow);
  }
}

duty_gossip
fleet_duties::Gossip() const
{
  return { OwnWallClock().count(),
           mLease.HeldToken(),
           mReporter.LastFixed(),
           ToThousandths(
             mParts.mPrefill.RefusedPrefill(mParts.mTimers.Now())) };
}

policy::wall_time
fleet_duties::Now() const
{
  return mClock.At(OwnWallClock(), BootNow());
}

void
fleet_duties::CountUsage(const account_id& aAccount, steady_time aBegan)
{
  const auto age =
    std::chrono::duration_cast<milliseconds>(mParts.mTimers.Now() - aBegan);
  mMeter.Count(aAccount, Now() - age);
}

std::vector<std::string>
fleet_duties::Keepers() const
{
  const auto now = mParts.mTimers.Now();
  std::vector<vm_id> vms;
  if (const auto holder = mParts.mPeers.DutyHolder(now)) {
    vms.push_back(holder->mVm);
  }
  std::ranges::copy(mParts.mPeers.Readers(now), std::back_inserter(vms));
  std::vector<std::string> addresses;
  for (const auto& vm : vms) {
    const auto* state = mParts.mPeers.Find(vm);
    if (state != nullptr && state->mDuties && addresses.size() < kKeepers &&
        std::ranges::find(addresses, state->mAddress) == addresses.end()) {
      addresses.push_back(state->mAddress);
    }
  }
  return addresses;
}

void
fleet_duties::SendUsage()
{
  const auto fixed = mReporter.LastFixed();
  mBook.DropBefore(fixed + 1);
  const auto keepers = Keepers();
  for (const auto& message : mMeter.Messages(Now(), fixed)) {
    mBook.Merge(message);
    for (const auto& address : keepers) {
      mParts.mGossip.SendUsage(address, message);
    }
  }
}

void
fleet_duties::SetDemand(duties::ordered_pool& aPool) const
{
  const auto now = mParts.mTimers.Now();
  const auto live = mParts.mPeers.LiveGateways(now).size() + 1;
  if (static_cast<double>(live) <
      kHeardPart * mParts.mPeers.MaximumGateways(now)) {
    return;
  }
  // The split covers all engines. Each pool gets its part of what runs.
  double running = 0;
  double inPool = 0;
  for (const auto& member : mParts.mUpstreams.Members()) {
    if (member->mOwnLoad.mMemoryTokens + member->mPeerLoad.mMemoryTokens > 0) {
      const auto load = member->mOwnLoad.mRunning + member->mPeerLoad.mRunning;
      running += load;
      inPool += member->mEntry.mPool == aPool.mName ? load : 0;
    }
  }
  const auto refused =
    mParts.mPrefill.RefusedPrefill(now) + mParts.mPeers.RefusedPrefill(now);
  const double part = running > 0 ? inPool / running : 0;
  aPool.mNeeded = part * mParts.mSplit.Needed();
  aPool.mRefused = part * policy::EnginesForRefused(refused);
}

std::vector<duties::ordered_pool>
fleet_duties::OrderedPools() const
{
  std::vector<duties::ordered_pool> ordered;
  const auto& table = mParts.mRouting.Table();
  if (!table) {
    return ordered;
  }
  for (const auto& pool : table->Config().mPools) {
    if (!pool.mCapacity || !pool.mEngine) {
      continue;
    }
    duties::ordered_pool item;
    item.mName = pool.mName;
    item.mBounds = *pool.mCapacity;
    SetDemand(item);
    const auto members = mParts.mUpstreams.Members(pool.mName);
    for (const auto& [dataCentre, price] : pool.mCapacity->mPrices) {
      policy::zone_capacity zone{ dataCentre, price };
      for (const auto& member : members) {
        if (member->mEntry.mDataCentre == dataCentre) {
          ++(member->mEntry.mPreemptible ? zone.mPreemptible : zone.mRegular);
        }
      }
      item.mZones.push_back(std::move(zone));
    }
    ordered.push_back(std::move(item));
  }
  return ordered;
}

void
fleet_duties::Call(wire::http_request aRequest,
                   duties::fencing_token aToken,
                   duties::duty_callback aDone)
{
  wire::endpoint endpoint;
  endpoint.mAddress = mSettings.mPlatform.mAddress;
  endpoint.mPort = mSettings.mPlatform.mPort;
  asio::co_spawn(
    mParts.mExecutor,
    SendDutyCall(
      mClient,
      std::move(endpoint),
      std::move(aRequest),
      [this, aToken](wire::http_request&) { return mLease.Token() == aToken; },
      mParts.mProtocol.mReadDutyReply,
      std::move(aDone)),
    asio::detached);
}

} // namespace sapphirespar::gateway
