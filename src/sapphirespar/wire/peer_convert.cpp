// Converts heartbeats and the messages about bundles.
#include "peer_convert.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirespar::wire {
namespace {

constexpr double kDemandScale = 1000;

gen::version
VersionToWire(const bundle_version& aVersion)
{
  gen::version wire;
  wire.__set_epoch(static_cast<std::int64_t>(aVersion.mEpoch));
  wire.__set_number(static_cast<std::int64_t>(aVersion.mNumber));
  return wire;
}

bundle_version
VersionFromWire(const gen::version& aWire)
{
  return { static_cast<std::uint64_t>(aWire.epoch),
           static_cast<std::uint64_t>(aWire.number) };
}

gen::pool
PoolToWire(const pool_load& aLoad)
{
  gen::pool wire;
  wire.__set_name(aLoad.mPool);
  wire.__set_slots(static_cast<std::int32_t>(aLoad.mSlots));
  wire.__set_outstanding(static_cast<std::int32_t>(aLoad.mOutstanding));
  wire.__set_queued(static_cast<std::int32_t>(aLoad.mQueued));
  return wire;
}

pool_load
PoolFromWire(const gen::pool& aWire)
{
  return { aWire.name,
           static_cast<std::uint32_t>(aWire.slots),
           static_cast<std::uint32_t>(aWire.outstanding),
           static_cast<std::uint32_t>(aWire.queued) };
}

gen::demand
DemandToWire(const account_demand& aDemand)
{
  gen::demand wire;
  wire.__set_account(aDemand.mAccount.mText);
  wire.__set_requests_per_1000_seconds(
    std::llround(aDemand.mRequestsPerSecond * kDemandScale));
  return wire;
}

account_demand
DemandFromWire(const gen::demand& aWire)
{
  const auto scaled = static_cast<double>(aWire.requests_per_1000_seconds);
  return { { aWire.account }, scaled / kDemandScale };
}

gen::contact
ContactToWire(const router_contact& aContact)
{
  gen::contact wire;
  wire.__set_data_centre(aContact.mDataCentre.mText);
  wire.__set_address(aContact.mAddress);
  wire.__set_port(aContact.mPort);
  wire.__set_peer_port(aContact.mPeerPort);
  return wire;
}

router_contact
ContactFromWire(const gen::contact& aWire)
{
  return { { aWire.data_centre },
           aWire.address,
           static_cast<std::uint16_t>(aWire.port),
           static_cast<std::uint16_t>(aWire.peer_port) };
}

std::vector<gen::process>
ProcessesToWire(const std::vector<process_id>& aProcesses)
{
  return ConvertAll<gen::process>(aProcesses, [](const process_id& aProcess) {
    return wire::ToWire(aProcess);
  });
}

std::vector<process_id>
ProcessesFromWire(const std::vector<gen::process>& aWire)
{
  return ConvertAll<process_id>(aWire, [](const gen::process& aProcess) {
    return wire::FromWire(aProcess);
  });
}

} // namespace

gen::process
ToWire(const process_id& aProcess)
{
  gen::process wire;
  wire.__set_vm(aProcess.mVm.mText);
  wire.__set_incarnation(static_cast<std::int64_t>(aProcess.mIncarnation));
  return wire;
}

process_id
FromWire(const gen::process& aWire)
{
  return { { aWire.vm }, static_cast<incarnation_number>(aWire.incarnation) };
}

void
SetMessage(gen::envelope& aEnvelope, const heartbeat& aMessage)
{
  gen::heartbeat wire;
  wire.__set_sender(ToWire(aMessage.mSender));
  wire.__set_sequence(static_cast<std::int64_t>(aMessage.mSequence));
  wire.__set_leaving(aMessage.mLeaving);
  wire.__set_bundle(VersionToWire(aMessage.mBundle));
  if (!aMessage.mContact.mAddress.empty()) {
    wire.__set_reach(ContactToWire(aMessage.mContact));
  }
  if (!aMessage.mPools.empty()) {
    wire.__set_pools(ConvertAll<gen::pool>(aMessage.mPools, PoolToWire));
  }
  if (!aMessage.mDemands.empty()) {
    wire.__set_demands(
      ConvertAll<gen::demand>(aMessage.mDemands, DemandToWire));
  }
  if (!aMessage.mHeard.empty()) {
    wire.__set_heard(ProcessesToWire(aMessage.mHeard));
  }
  if (!aMessage.mLost.empty()) {
    wire.__set_lost(ProcessesToWire(aMessage.mLost));
  }
  if (aMessage.mHeardIsComplete) {
    wire.__set_heard_is_all(true);
  }
  if (aMessage.mStoreEra != 0) {
    wire.__set_store_era(static_cast<std::int64_t>(aMessage.mStoreEra));
  }
  aEnvelope.__set_heartbeat_value(wire);
}

heartbeat
FromWire(const gen::heartbeat& aWire)
{
  heartbeat message;
  message.mSender = FromWire(aWire.sender);
  message.mSequence = static_cast<std::uint64_t>(aWire.sequence);
  message.mLeaving = aWire.leaving;
  message.mBundle = VersionFromWire(aWire.bundle);
  message.mPools = ConvertAll<pool_load>(aWire.pools, PoolFromWire);
  message.mDemands = ConvertAll<account_demand>(aWire.demands, DemandFromWire);
  message.mHeard = ProcessesFromWire(aWire.heard);
  message.mLost = ProcessesFromWire(aWire.lost);
  message.mHeardIsComplete = aWire.heard_is_all;
  message.mStoreEra =
    static_cast<std::uint64_t>(std::max<std::int64_t>(0, aWire.store_era));
  if (aWire.__isset.reach) {
    message.mContact = ContactFromWire(aWire.reach);
  }
  return message;
}

void
SetMessage(gen::envelope& aEnvelope, const bundle_request& aMessage)
{
  gen::bundle_request wire;
  wire.__set_have(VersionToWire(aMessage.mHave));
  aEnvelope.__set_bundle_request_value(wire);
}

bundle_request
FromWire(const gen::bundle_request& aWire)
{
  return { VersionFromWire(aWire.have) };
}

void
SetMessage(gen::envelope& aEnvelope, const bundle_push& aMessage)
{
  gen::bundle_push wire;
  wire.__set_bundle(VersionToWire(aMessage.mVersion));
  wire.__set_signed_bundle(aMessage.mSignedBundle);
  aEnvelope.__set_bundle_push_value(wire);
}

bundle_push
FromWire(const gen::bundle_push& aWire)
{
  return { VersionFromWire(aWire.bundle), aWire.signed_bundle };
}

} // namespace sapphirespar::wire
