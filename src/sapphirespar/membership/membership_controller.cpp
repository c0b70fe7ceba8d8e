// The membership controller, which runs one tick per heartbeat period.
#include "sapphirespar/membership/membership_controller.hpp"

#include "heartbeat_planner.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace sapphirespar::membership {
namespace {

// Returns the largest of aDemands, at most kMaxDemandsPerHeartbeat.
std::vector<account_demand>
LargestDemands(std::vector<account_demand> aDemands)
{
  const auto count = std::min(kMaxDemandsPerHeartbeat, aDemands.size());
  std::ranges::partial_sort(aDemands,
                            aDemands.begin() +
                              static_cast<std::ptrdiff_t>(count),
                            std::ranges::greater{},
                            &account_demand::mRequestsPerSecond);
  aDemands.resize(count);
  return aDemands;
}

} // namespace

struct membership_controller::state
  : std::enable_shared_from_this<membership_controller::state>
{
  state(blackboard& aBoard,
        platform_api& aPlatform,
        peer_network& aPeers,
        timer_service& aTimers,
        membership_settings aSettings,
        membership_hooks aHooks)
    : mBoard(aBoard)
    , mPlatform(aPlatform)
    , mPeers(aPeers)
    , mTimers(aTimers)
    , mSettings(std::move(aSettings))
    , mHooks(std::move(aHooks))
    , mTable(aBoard, mSettings.mSelf)
    , mPlanner(aBoard, mSettings.mHeartbeatPeriod)
    , mLastTick(aTimers.Now())
  {
  }

  void Start();
  void Tick();
  void DetectPause(steady_time aNow);
  void DetectRelayChange(steady_time aNow);
  heartbeat MakeOwnHeartbeat();
  void SendHeartbeats();
  void CheckTimeouts(steady_time aNow);
  void ReportLost(const member& aMember);
  void ApplyMissingMembers(const std::vector<process_id>& aHeard,
                           const data_centre_id& aFrom);
  void ReadListIfDue(steady_time aNow);
  void OnList(const vm_list_answer& aAnswer);
  void OnHeartbeat(const heartbeat& aHeartbeat);
  void ApplyRelayUpdates(const heartbeat& aHeartbeat,
                         const data_centre_id& aFrom);
  void ApplyLocalUpdates(const heartbeat& aHeartbeat);
  void ReportChanges();

  blackboard& mBoard;
  platform_api& mPlatform;
  peer_network& mPeers;
  timer_service& mTimers;
  membership_settings mSettings;
  membership_hooks mHooks;
  member_table mTable;
  heartbeat_planner mPlanner;
  std::uint64_t mSequence = 0;
  std::uint64_t mReportedRevision = 0;
  steady_time mLastTick;
  steady_time mLastListRead{};
  // Whether a read of the platform's list is in flight.
  bool mReadingList = false;
  // Whether a heartbeat has named an unknown router since the last read of the
  // list, or the list has not been read yet.
  bool mListReadNeeded = true;
  bool mWasRelay = false;
  timer_subscription mTickTimer;
};

void
membership_controller::state::Start()
{
  const auto weak = weak_from_this();
  mTickTimer = mTimers.Every(mSettings.mHeartbeatPeriod, [weak] {
    if (const auto self = weak.lock()) {
      self->Tick();
    }
  });
  ReadListIfDue(mTimers.Now());
}

void
membership_controller::state::Tick()
{
  const auto now = mTimers.Now();
  mPlanner.BeginPeriod();
  DetectPause(now);
  DetectRelayChange(now);
  SendHeartbeats();
  CheckTimeouts(now);
  ReadListIfDue(now);
  ReportChanges();
}

void
membership_controller::state::DetectPause(steady_time aNow)
{
  const auto gap = aNow - mLastTick;
  mLastTick = aNow;
  if (gap < mSettings.mPauseThreshold) {
    return;
  }
  const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(gap);
  LogEvent(
    log_level::Warning, "process_paused", { { "gap_ms", pause.count() } });
  mTable.RestartTimeouts(aNow);
  if (mHooks.mPaused) {
    mHooks.mPaused(gap);
  }
}

void
membership_controller::state::DetectRelayChange(steady_time aNow)
{
  const bool relay = mPlanner.IsRelay();
  if (relay && !mWasRelay) {
    // The other relays sent no heartbeats to this router before it became the
    // relay.
    mTable.RestartTimeouts(aNow);
  }
  mWasRelay = relay;
}

heartbeat
membership_controller::state::MakeOwnHeartbeat()
{
  const auto& self = mSettings.mSelf;
  heartbeat message;
  message.mSender = self.mProcess;
  message.mSequence = ++mSequence;
  message.mLeaving = mBoard.mLeaving;
  message.mBundle =
    mBoard.mBundle ? mBoard.mBundle->mVersion : bundle_version{};
  message.mStoreEra = mBoard.mStoreEra;
  message.mContact = {
    self.mDataCentre, self.mAddress, self.mPort, self.mPeerPort
  };
  if (mHooks.mPools) {
    message.mPools = mHooks.mPools();
  }
  if (mHooks.mDemands) {
    message.mDemands = mPlanner.IsFullMesh()
                         ? mHooks.mDemands()
                         : LargestDemands(mHooks.mDemands());
  }
  return message;
}

void
membership_controller::state::SendHeartbeats()
{
  const auto ownHeartbeat = MakeOwnHeartbeat();
  mTable.UpdateSelf(ownHeartbeat, mTimers.Now());
  for (auto& planned : mPlanner.Plan(ownHeartbeat)) {
    mPeers.Send(planned.mTo, std::move(planned.mHeartbeat));
  }
}

void
membership_controller::state::CheckTimeouts(steady_time aNow)
{
  const auto lost = mTable.Tick(
    [this](const member& aMember) { return mPlanner.TimeoutsFor(aMember); },
    aNow);
  std::ranges::for_each(lost,
                        [this](const member& aMember) { ReportLost(aMember); });
}

// As the relay, reports that aMember is lost: a local member to the other
// relays, a remote member to this data centre.
void
membership_controller::state::ReportLost(const member& aMember)
{
  if (!mPlanner.IsRelay()) {
    return;
  }
  if (aMember.mDataCentre == mBoard.mDataCentre) {
    mPlanner.RelayLost(aMember.mProcess);
  } else {
    mPlanner.AnnounceLost(aMember.mProcess);
  }
}

void
membership_controller::state::ReadListIfDue(steady_time aNow)
{
  const auto members = static_cast<int>(mBoard.mMembers.size());
  const auto period =
    mListReadNeeded
      ? mSettings.mListPeriod
      : std::max(mSettings.mListPeriod, kListPeriodPerMember * members);
  const bool first = mLastListRead == steady_time{};
  if (mReadingList || (!first && aNow - mLastListRead < period)) {
    return;
  }
  mReadingList = true;
  mLastListRead = aNow;
  const auto weak = weak_from_this();
  mPlatform.ListVms([weak](const vm_list_answer& aAnswer) {
    if (const auto self = weak.lock()) {
      self->OnList(aAnswer);
    }
  });
}

void
membership_controller::state::OnList(const vm_list_answer& aAnswer)
{
  mReadingList = false;
  if (aAnswer.mStatus != platform_status::Ok) {
    return;
  }
  mListReadNeeded = false;
  mTable.ApplyList(aAnswer.mVms, mTimers.Now());
  ReportChanges();
}

void
membership_controller::state::OnHeartbeat(const heartbeat& aHeartbeat)
{
  const auto& vm = aHeartbeat.mSender.mVm;
  const auto known = mBoard.mMembers.find(vm);
  const bool wasLive = known != mBoard.mMembers.end() &&
                       known->second.mProcess == aHeartbeat.mSender &&
                       known->second.mState == member_state::Live;
  if (!mTable.ApplyHeartbeat(aHeartbeat, mTimers.Now()) ||
      mPlanner.IsFullMesh()) {
    return;
  }
  const auto& sender = mBoard.mMembers.at(vm);
  if (sender.mDataCentre != mBoard.mDataCentre) {
    if (!wasLive) {
      mPlanner.AnnounceHeard(aHeartbeat.mSender);
      mPlanner.RelayAllMembers(sender.mDataCentre);
    }
    ApplyRelayUpdates(aHeartbeat, sender.mDataCentre);
    return;
  }
  ApplyLocalUpdates(aHeartbeat);
  const bool isLive = sender.mState == member_state::Live;
  if (!mPlanner.IsRelay() || wasLive == isLive) {
    return;
  }
  if (isLive) {
    mPlanner.RelayHeard(aHeartbeat.mSender);
    mPlanner.QueueFullUpdate(vm);
  } else {
    mPlanner.RelayLost(aHeartbeat.mSender);
  }
}

void
membership_controller::state::ApplyRelayUpdates(const heartbeat& aHeartbeat,
                                                const data_centre_id& aFrom)
{
  const auto now = mTimers.Now();
  if (aHeartbeat.mHeardIsComplete) {
    ApplyMissingMembers(aHeartbeat.mHeard, aFrom);
  }
  for (const auto& process : aHeartbeat.mLost) {
    mTable.ApplyLostReport(process, now);
    mPlanner.AnnounceLost(process);
  }
  for (const auto& process : aHeartbeat.mHeard) {
    const auto revision = mTable.Revision();
    const bool known = mTable.ApplyHeardReport(process, now);
    mListReadNeeded = mListReadNeeded || !known;
    if (mTable.Revision() != revision) {
      mPlanner.AnnounceHeard(process);
    }
  }
  mTable.RefreshLiveMembers(aFrom, now);
}

// Marks the live members of aFrom that are missing from aHeard as lost.
void
membership_controller::state::ApplyMissingMembers(
  const std::vector<process_id>& aHeard,
  const data_centre_id& aFrom)
{
  const std::set<process_id> heard(aHeard.begin(), aHeard.end());
  std::vector<process_id> missing;
  for (const auto& [vm, entry] : mBoard.mMembers) {
    if (entry.mDataCentre == aFrom && entry.mState == member_state::Live &&
        !heard.contains(entry.mProcess)) {
      missing.push_back(entry.mProcess);
    }
  }
  for (const auto& process : missing) {
    mTable.ApplyLostReport(process, mTimers.Now());
    mPlanner.AnnounceLost(process);
  }
}

void
membership_controller::state::ApplyLocalUpdates(const heartbeat& aHeartbeat)
{
  const auto now = mTimers.Now();
  for (const auto& process : aHeartbeat.mHeard) {
    const bool known = mTable.ApplyHeardReport(process, now);
    mListReadNeeded = mListReadNeeded || !known;
  }
  for (const auto& process : aHeartbeat.mLost) {
    mTable.ApplyLostReport(process, now);
  }
}

void
membership_controller::state::ReportChanges()
{
  const auto revision = mTable.Revision();
  if (revision == mReportedRevision) {
    return;
  }
  mReportedRevision = revision;
  if (mHooks.mChanged) {
    mHooks.mChanged();
  }
}

membership_controller::membership_controller(blackboard& aBoard,
                                             platform_api& aPlatform,
                                             peer_network& aPeers,
                                             timer_service& aTimers,
                                             membership_settings aSettings,
                                             membership_hooks aHooks)
  : mState(std::make_shared<state>(aBoard,
                                   aPlatform,
                                   aPeers,
                                   aTimers,
                                   std::move(aSettings),
                                   std::move(aHooks)))
{
  mState->Start();
}

membership_controller::~membership_controller() = default;

void
membership_controller::OnHeartbeat(const heartbeat& aHeartbeat)
{
  mState->OnHeartbeat(aHeartbeat);
  mState->ReportChanges();
}

void
membership_controller::OnUnreachable(const vm_id& aVm)
{
  const auto before = mState->mBoard.mMembers.find(aVm);
  const bool wasLive = before != mState->mBoard.mMembers.end() &&
                       before->second.mState == member_state::Live;
  mState->mTable.ApplyUnreachable(aVm, mState->mTimers.Now());
  if (wasLive) {
    mState->ReportLost(mState->mBoard.mMembers.at(aVm));
  }
  mState->ReportChanges();
}

void
membership_controller::Leave()
{
  mState->mBoard.mLeaving = true;
  const auto ownHeartbeat = mState->MakeOwnHeartbeat();
  mState->mTable.UpdateSelf(ownHeartbeat, mState->mTimers.Now());
  for (const auto& [vm, entry] : mState->mBoard.mMembers) {
    const bool notified = mState->mPlanner.IsFullMesh() ||
                          entry.mDataCentre == mState->mBoard.mDataCentre;
    if (notified && vm != mState->mSettings.mSelf.mProcess.mVm) {
      mState->mPeers.Send(vm, ownHeartbeat);
    }
  }
  mState->ReportChanges();
}

} // namespace sapphirespar::membership
