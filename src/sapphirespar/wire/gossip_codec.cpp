// Encodes and decodes gossip.
#include "sapphirespar/wire/gossip_codec.hpp"

#include "compact_message.hpp"
#include "gossip_crash_report.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace sapphirespar::wire {
namespace {

// The wire has signed numbers.
std::int32_t
ToWireNumber(std::uint32_t aNumber)
{
  constexpr std::uint32_t kMost = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(std::min(aNumber, kMost));
}

gen::gossip_load
ToWireLoad(const gossip_load& aLoad)
{
  gen::gossip_load load;
  load.upstream = static_cast<std::int64_t>(aLoad.mUpstream);
  load.urgent_tokens = ToWireNumber(aLoad.mUrgentTokens);
  load.other_tokens = ToWireNumber(aLoad.mOtherTokens);
  load.memory_tokens = ToWireNumber(aLoad.mMemoryTokens);
  load.running = ToWireNumber(aLoad.mRunning);
  load.interactive = ToWireNumber(aLoad.mInteractive);
  return load;
}

std::uint32_t
ClampNegativeToZero(std::int32_t aNumber)
{
  return static_cast<std::uint32_t>(std::max(aNumber, 0));
}

gossip_load
FromWireLoad(const gen::gossip_load& aLoad)
{
  gossip_load load;
  load.mUpstream = static_cast<std::uint64_t>(aLoad.upstream);
  load.mUrgentTokens = ClampNegativeToZero(aLoad.urgent_tokens);
  load.mOtherTokens = ClampNegativeToZero(aLoad.other_tokens);
  load.mMemoryTokens = ClampNegativeToZero(aLoad.memory_tokens);
  load.mRunning = ClampNegativeToZero(aLoad.running);
  load.mInteractive = ClampNegativeToZero(aLoad.interactive);
  return load;
}

gen::gossip_zone
ToWireDataCentreLoads(const data_centre_loads& aLoads)
{
  gen::gossip_zone wire;
  wire.data_centre = aLoads.mDataCentre.mText;
  wire.age_ms = ToAgeMs(aLoads.mAge);
  std::ranges::transform(
    aLoads.mLoads, std::back_inserter(wire.loads), ToWireLoad);
  return wire;
}

data_centre_loads
FromWireDataCentreLoads(const gen::gossip_zone& aWire)
{
  data_centre_loads loads;
  loads.mDataCentre.mText = aWire.data_centre;
  loads.mAge = std::chrono::milliseconds(ClampNegativeToZero(aWire.age_ms));
  std::ranges::transform(
    aWire.loads, std::back_inserter(loads.mLoads), FromWireLoad);
  return loads;
}

constexpr double kRateScale = 1000;
constexpr double kMost = 1e15;

gen::gossip_upstream_rate
ToWireRate(const upstream_rate& aRate)
{
  gen::gossip_upstream_rate wire;
  wire.upstream = static_cast<std::int64_t>(aRate.mUpstream);
  wire.rate = std::isfinite(aRate.mRate)
                ? std::llround(std::min(kRateScale * aRate.mRate, kMost))
                : -1;
  wire.age_ms = ToAgeMs(aRate.mAge);
  return wire;
}

upstream_rate
FromWireRate(const gen::gossip_upstream_rate& aWire)
{
  return { static_cast<std::uint64_t>(aWire.upstream),
           aWire.rate < 0 ? kUnlimitedRate
                          : static_cast<double>(aWire.rate) / kRateScale,
           std::chrono::milliseconds(ClampNegativeToZero(aWire.age_ms)) };
}

gen::gossip_upstream_pause
ToWirePause(const upstream_pause& aPause)
{
  gen::gossip_upstream_pause wire;
  wire.upstream = static_cast<std::int64_t>(aPause.mUpstream);
  wire.left_ms = ToAgeMs(aPause.mLeft);
  return wire;
}

upstream_pause
FromWirePause(const gen::gossip_upstream_pause& aWire)
{
  return { static_cast<std::uint64_t>(aWire.upstream),
           std::chrono::milliseconds(ClampNegativeToZero(aWire.left_ms)) };
}

gen::gossip_rationed_pool
ToWirePool(const rationed_pool& aPool)
{
  gen::gossip_rationed_pool wire;
  wire.pool = static_cast<std::int64_t>(aPool.mPool);
  wire.tolerated =
    std::llround(std::clamp(kRateScale * aPool.mTolerated, 0.0, kMost));
  wire.left_ms = ToAgeMs(aPool.mLeft);
  wire.work_ms = ToAgeMs(aPool.mWork);
  return wire;
}

rationed_pool
FromWirePool(const gen::gossip_rationed_pool& aWire)
{
  const auto tolerated = std::max<std::int64_t>(aWire.tolerated, 0);
  return { static_cast<std::uint64_t>(aWire.pool),
           static_cast<double>(tolerated) / kRateScale,
           std::chrono::milliseconds(ClampNegativeToZero(aWire.left_ms)),
           std::chrono::milliseconds(ClampNegativeToZero(aWire.work_ms)) };
}

gen::gossip_duties
ToWireDuties(const duty_gossip& aDuties)
{
  gen::gossip_duties wire;
  wire.wall_ms = aDuties.mWallMs;
  wire.token = static_cast<std::int64_t>(aDuties.mToken);
  wire.fixed_window = aDuties.mFixedWindow;
  wire.refused_reading = ToWireNumber(aDuties.mRefusedPrefill);
  return wire;
}

duty_gossip
FromWireDuties(const gen::gossip_duties& aWire)
{
  return { aWire.wall_ms,
           static_cast<std::uint64_t>(aWire.token),
           aWire.fixed_window,
           ClampNegativeToZero(aWire.refused_reading) };
}

bool
IsPort(std::int32_t aNumber)
{
  return aNumber >= 0 && aNumber <= std::numeric_limits<std::uint16_t>::max();
}

} // namespace

std::string
EncodeGossip(const gossip_state& aState)
{
  gen::gossip_state state;
  state.vm = aState.mSender.mVm.mText;
  state.incarnation = static_cast<std::int64_t>(aState.mSender.mIncarnation);
  state.sequence = static_cast<std::int64_t>(aState.mSequence);
  state.data_centre = aState.mDataCentre.mText;
  state.address = aState.mAddress;
  state.caller_port = aState.mCallerPort;
  state.admin_port = aState.mAdminPort;
  state.ready = aState.mReady;
  state.leaving = aState.mLeaving;
  state.cut_off = aState.mCutOff;
  std::ranges::transform(
    aState.mLoads, std::back_inserter(state.loads), ToWireLoad);
  state.asks = aState.mWantsReply;
  state.answers = static_cast<std::int64_t>(aState.mReplyTo);
  state.interactive_reading = ToWireNumber(aState.mInteractivePrefill);
  state.bulk_reading = ToWireNumber(aState.mBulkPrefill);
  state.processor = ToWireNumber(aState.mProcessor);
  std::ranges::transform(aState.mDataCentreLoads,
                         std::back_inserter(state.zones),
                         ToWireDataCentreLoads);
  std::ranges::transform(
    aState.mLeavingUpstreams,
    std::back_inserter(state.leaving_upstreams),
    [](std::uint64_t aKey) { return static_cast<std::int64_t>(aKey); });
  std::ranges::transform(aState.mUpstreamRates,
                         std::back_inserter(state.upstream_rates),
                         ToWireRate);
  std::ranges::transform(aState.mBrittle.mPauses,
                         std::back_inserter(state.upstream_pauses),
                         ToWirePause);
  std::ranges::transform(aState.mBrittle.mPools,
                         std::back_inserter(state.rationed_pools),
                         ToWirePool);
  std::ranges::transform(aState.mEnginePaces,
                         std::back_inserter(state.engine_paces),
                         [](const engine_pace_report& aPace) {
                           gen::gossip_engine_pace pace;
                           pace.upstream =
                             static_cast<std::int64_t>(aPace.mUpstream);
                           pace.step_us = ToWireNumber(aPace.mStepUs);
                           return pace;
                         });
  state.routing_age_ms = -1;
  if (aState.mStore) {
    const auto& store = *aState.mStore;
    state.routing_age_ms = ToAgeMs(store.mRoutingAge);
    state.routing_version = static_cast<std::int64_t>(store.mRoutingVersion);
    state.upstreams_age_ms = ToAgeMs(store.mUpstreamsAge);
    state.upstreams_digest = static_cast<std::int64_t>(store.mUpstreamsDigest);
    state.store_era = static_cast<std::int64_t>(store.mEra);
  }
  if (aState.mCrashReport != crash_report{}) {
    state.__set_crash_report(ToWireReport(aState.mCrashReport));
  }
  if (aState.mRequestCrashReport != crash_report{}) {
    state.__set_request_crash_report(ToWireReport(aState.mRequestCrashReport));
  }
  if (aState.mDuties) {
    state.__set_duties(ToWireDuties(*aState.mDuties));
  }
  return EncodeCompact(state);
}

std::optional<gossip_state>
DecodeGossip(std::string_view aBytes)
{
  const auto decoded = DecodeCompact<gen::gossip_state>(aBytes);
  if (!decoded) {
    return std::nullopt;
  }
  const auto& state = *decoded;
  if (state.vm.empty() || !IsPort(state.caller_port) ||
      !IsPort(state.admin_port)) {
    return std::nullopt;
  }
  gossip_state read;
  read.mSender.mVm.mText = state.vm;
  read.mSender.mIncarnation =
    static_cast<incarnation_number>(state.incarnation);
  read.mSequence = static_cast<std::uint64_t>(state.sequence);
  read.mDataCentre.mText = state.data_centre;
  read.mAddress = state.address;
  read.mCallerPort = static_cast<std::uint16_t>(state.caller_port);
  read.mAdminPort = static_cast<std::uint16_t>(state.admin_port);
  read.mReady = state.ready;
  read.mLeaving = state.leaving;
  read.mCutOff = state.cut_off;
  std::ranges::transform(
    state.loads, std::back_inserter(read.mLoads), FromWireLoad);
  std::ranges::transform(state.zones,
                         std::back_inserter(read.mDataCentreLoads),
                         FromWireDataCentreLoads);
  std::ranges::transform(
    state.leaving_upstreams,
    std::back_inserter(read.mLeavingUpstreams),
    [](std::int64_t aKey) { return static_cast<std::uint64_t>(aKey); });
  std::ranges::transform(state.upstream_rates,
                         std::back_inserter(read.mUpstreamRates),
                         FromWireRate);
  std::ranges::transform(state.upstream_pauses,
                         std::back_inserter(read.mBrittle.mPauses),
                         FromWirePause);
  std::ranges::transform(state.rationed_pools,
                         std::back_inserter(read.mBrittle.mPools),
                         FromWirePool);
  std::ranges::transform(
    state.engine_paces,
    std::back_inserter(read.mEnginePaces),
    [](const gen::gossip_engine_pace& aPace) {
      return engine_pace_report{ static_cast<std::uint64_t>(aPace.upstream),
                                 ClampNegativeToZero(aPace.step_us) };
    });
  read.mWantsReply = state.asks;
  read.mInteractivePrefill = ClampNegativeToZero(state.interactive_reading);
  read.mBulkPrefill = ClampNegativeToZero(state.bulk_reading);
  read.mProcessor = ClampNegativeToZero(state.processor);
  read.mReplyTo = static_cast<std::uint64_t>(state.answers);
  if (state.routing_age_ms >= 0 && state.upstreams_age_ms >= 0 &&
      state.routing_version != 0) {
    read.mStore =
      store_summary{ std::chrono::milliseconds(state.routing_age_ms),
                     static_cast<std::uint64_t>(state.routing_version),
                     std::chrono::milliseconds(state.upstreams_age_ms),
                     static_cast<std::uint64_t>(state.upstreams_digest),
                     static_cast<std::uint64_t>(state.store_era) };
  }
  if (state.__isset.crash_report) {
    read.mCrashReport = FromWireReport(state.crash_report);
  }
  if (state.__isset.request_crash_report) {
    read.mRequestCrashReport = FromWireReport(state.request_crash_report);
  }
  if (state.__isset.duties) {
    read.mDuties = FromWireDuties(state.duties);
  }
  return read;
}

} // namespace sapphirespar::wire
