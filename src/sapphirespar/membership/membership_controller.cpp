// The membership controller: one tick per heartbeat period.
#include "sapphirespar/membership/membership_controller.hpp"

#include "beat_planner.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace sapphirespar::membership {
namespace {

// Returns the largest of aDemands, at most kDemandsPerBeat.
std::vector<account_demand>
Largest(std::vector<account_demand> aDemands)
{
  const auto count = std::min(kDemandsPerBeat, aDemands.size());
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
  void NoticePause(steady_time aNow);
  void NoticeRelayDuty(steady_time aNow);
  heartbeat OwnBeat();
  void SendBeats();
  void JudgeSilence(steady_time aNow);
  void NoteLost(const member& aMember);
  void LoseOthers(const std::vector<process_id>& aHeard,
                  const data_centre_id& aFrom);
  void ReadListIfDue(steady_time aNow);
  void TakeList(const vm_list_answer& aAnswer);
  void TakeBeat(const heartbeat& aBeat);
  void TakeRelayNews(const heartbeat& aBeat, const data_centre_id& aFrom);
  void TakeLocalNews(const heartbeat& aBeat);
  void ReportChanges();

  blackboard& mBoard;
  platform_api& mPlatform;
  peer_network& mPeers;
  timer_service& mTimers;
  membership_settings mSettings;
  membership_hooks mHooks;
  member_table mTable;
  beat_planner mPlanner;
  std::uint64_t mSequence = 0;
  std::uint64_t mReportedRevision = 0;
  steady_time mLastTick;
  steady_time mLastListRead{};
  // Set while a read of the list is out.
  bool mReadingList = false;
  // Somebody was named whom the list has not shown yet.
  bool mListWanted = true;
  bool mWasRelay = false;
  timer_subscription mTicks;
};

void
membership_controller::state::Start()
{
  const auto weak = weak_from_this();
  mTicks = mTimers.Every(mSettings.mHeartbeatPeriod, [weak] {
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
  NoticePause(now);
  NoticeRelayDuty(now);
  SendBeats();
  JudgeSilence(now);
  ReadListIfDue(now);
  ReportChanges();
}

void
membership_controller::state::NoticePause(steady_time aNow)
{
  const auto gap = aNow - mLastTick;
  mLastTick = aNow;
  if (gap < mSettings.mPauseLimit) {
    return;
  }
  const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(gap);
  LogEvent(
    log_level::Warning, "process_paused", { { "gap_ms", pause.count() } });
  mTable.RestartSilence(aNow);
  if (mHooks.mPaused) {
    mHooks.mPaused(gap);
  }
}

void
membership_controller::state::NoticeRelayDuty(steady_time aNow)
{
  const bool relay = mPlanner.IsRelay();
  if (relay && !mWasRelay) {
    // Other relays did not beat to this router until now.
    mTable.RestartSilence(aNow);
  }
  mWasRelay = relay;
}

heartbeat
membership_controller::state::OwnBeat()
{
  const auto& self = mSettings.mSelf;
  heartbeat beat;
  beat.mSender = self.mProcess;
  beat.mSequence = ++mSequence;
  beat.mLeaving = mBoard.mLeaving;
  beat.mBundle = mBoard.mBundle ? mBoard.mBundle->mVersion : bundle_version{};
  beat.mContact = {
    self.mDataCentre, self.mAddress, self.mPort, self.mPeerPort
  };
  if (mHooks.mPools) {
    beat.mPools = mHooks.mPools();
  }
  if (mHooks.mDemands) {
    beat.mDemands =
      mPlanner.IsFullMesh() ? mHooks.mDemands() : Largest(mHooks.mDemands());
  }
  return beat;
}

void
membership_controller::state::SendBeats()
{
  const auto own = OwnBeat();
  mTable.UpdateSelf(own, mTimers.Now());
  for (auto& planned : mPlanner.Plan(own)) {
    mPeers.Send(planned.mTo, std::move(planned.mBeat));
  }
}

void
membership_controller::state::JudgeSilence(steady_time aNow)
{
  const auto lost = mTable.Tick(
    [this](const member& aMember) { return mPlanner.LimitsFor(aMember); },
    aNow);
  std::ranges::for_each(lost,
                        [this](const member& aMember) { NoteLost(aMember); });
}

// Tells whoever depends on this router that aMember is no longer heard.
void
membership_controller::state::NoteLost(const member& aMember)
{
  if (!mPlanner.IsRelay()) {
    return;
  }
  if (aMember.mDataCentre == mBoard.mDataCentre) {
    mPlanner.RelayLost(aMember.mProcess);
  } else {
    mPlanner.SpreadLost(aMember.mProcess);
  }
}

void
membership_controller::state::ReadListIfDue(steady_time aNow)
{
  const auto members = static_cast<int>(mBoard.mMembers.size());
  const auto period = mListWanted ? mSettings.mListPeriod
                                  : std::max(mSettings.mListPeriod,
                                             kListPeriodPerMember * members);
  const bool first = mLastListRead == steady_time{};
  if (mReadingList || (!first && aNow - mLastListRead < period)) {
    return;
  }
  mReadingList = true;
  mLastListRead = aNow;
  const auto weak = weak_from_this();
  mPlatform.ListVms([weak](const vm_list_answer& aAnswer) {
    if (const auto self = weak.lock()) {
      self->TakeList(aAnswer);
    }
  });
}

void
membership_controller::state::TakeList(const vm_list_answer& aAnswer)
{
  mReadingList = false;
  if (aAnswer.mStatus != platform_status::Ok) {
    return;
  }
  mListWanted = false;
  mTable.ApplyList(aAnswer.mVms, mTimers.Now());
  ReportChanges();
}

void
membership_controller::state::TakeBeat(const heartbeat& aBeat)
{
  const auto& vm = aBeat.mSender.mVm;
  const auto known = mBoard.mMembers.find(vm);
  const bool wasLive = known != mBoard.mMembers.end() &&
                       known->second.mProcess == aBeat.mSender &&
                       known->second.mState == member_state::Live;
  if (!mTable.ApplyHeartbeat(aBeat, mTimers.Now()) || mPlanner.IsFullMesh()) {
    return;
  }
  const auto& sender = mBoard.mMembers.at(vm);
  if (sender.mDataCentre != mBoard.mDataCentre) {
    if (!wasLive) {
      mPlanner.SpreadHeard(aBeat.mSender);
      mPlanner.RelayAll(sender.mDataCentre);
    }
    TakeRelayNews(aBeat, sender.mDataCentre);
    return;
  }
  TakeLocalNews(aBeat);
  const bool isLive = sender.mState == member_state::Live;
  if (!mPlanner.IsRelay() || wasLive == isLive) {
    return;
  }
  if (isLive) {
    mPlanner.RelayHeard(aBeat.mSender);
    mPlanner.Greet(vm);
  } else {
    mPlanner.RelayLost(aBeat.mSender);
  }
}

void
membership_controller::state::TakeRelayNews(const heartbeat& aBeat,
                                            const data_centre_id& aFrom)
{
  const auto now = mTimers.Now();
  if (aBeat.mHeardIsComplete) {
    LoseOthers(aBeat.mHeard, aFrom);
  }
  for (const auto& process : aBeat.mLost) {
    mTable.ApplyLoss(process, now);
    mPlanner.SpreadLost(process);
  }
  for (const auto& process : aBeat.mHeard) {
    const auto revision = mTable.Revision();
    const bool known = mTable.ApplyHearsay(process, now);
    mListWanted = mListWanted || !known;
    if (mTable.Revision() != revision) {
      mPlanner.SpreadHeard(process);
    }
  }
  mTable.ApplyUnchanged(aFrom, now);
}

// Whoever is live in aFrom but not among aHeard is lost.
void
membership_controller::state::LoseOthers(const std::vector<process_id>& aHeard,
                                         const data_centre_id& aFrom)
{
  const std::set<process_id> heard(aHeard.begin(), aHeard.end());
  std::vector<process_id> missing;
  for (const auto& [vm, one] : mBoard.mMembers) {
    if (one.mDataCentre == aFrom && one.mState == member_state::Live &&
        !heard.contains(one.mProcess)) {
      missing.push_back(one.mProcess);
    }
  }
  for (const auto& process : missing) {
    mTable.ApplyLoss(process, mTimers.Now());
    mPlanner.SpreadLost(process);
  }
}

void
membership_controller::state::TakeLocalNews(const heartbeat& aBeat)
{
  const auto now = mTimers.Now();
  for (const auto& process : aBeat.mHeard) {
    const bool known = mTable.ApplyHearsay(process, now);
    mListWanted = mListWanted || !known;
  }
  for (const auto& process : aBeat.mLost) {
    mTable.ApplyLoss(process, now);
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
  mState->TakeBeat(aHeartbeat);
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
    mState->NoteLost(mState->mBoard.mMembers.at(aVm));
  }
  mState->ReportChanges();
}

void
membership_controller::Leave()
{
  mState->mBoard.mLeaving = true;
  const auto own = mState->OwnBeat();
  mState->mTable.UpdateSelf(own, mState->mTimers.Now());
  for (const auto& [vm, one] : mState->mBoard.mMembers) {
    const bool told = mState->mPlanner.IsFullMesh() ||
                      one.mDataCentre == mState->mBoard.mDataCentre;
    if (told && vm != mState->mSettings.mSelf.mProcess.mVm) {
      mState->mPeers.Send(vm, own);
    }
  }
  mState->ReportChanges();
}

} // namespace sapphirespar::membership
