// Plans heartbeats: a full mesh for few routers, rotation and relays for many.
#include "heartbeat_planner.hpp"

#include "sapphirespar/membership/membership_controller.hpp"
#include "sapphirespar/membership/owners.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::membership {
namespace {

// Routers of this data centre that receive a heartbeat in one period.
constexpr std::size_t kLocalFanOut = 3;
// Periods between two heartbeats from one relay to another.
constexpr std::size_t kRelayPeriods = 15;
// Every n-th heartbeat from one relay to another contains all members.
constexpr std::size_t kFullRelayInterval = 4;
// Members elsewhere that a relay repeats in each heartbeat, to repair updates
// whose message was lost.
constexpr std::size_t kRotatingMembers = 2;
// Every n-th heartbeat from one router to another in a data centre contains the
// sender's address.
constexpr std::size_t kContactInterval = 4;
// Number of times that each router of the data centre receives an update.
constexpr std::size_t kUpdateRepeats = 2;
// A router that is not the relay receives reports of members elsewhere only
// when they change, so it uses long timeouts for them.
constexpr std::chrono::hours kRemoteSuspectAfter{ 1 };

bool
IsLiveOrJoining(const member& aMember)
{
  return aMember.mState == member_state::Live ||
         aMember.mState == member_state::Joining;
}

std::size_t
DivideRoundingUp(std::size_t aNumber, std::size_t aBy)
{
  return (aNumber + aBy - 1) / aBy;
}

liveness_timeouts
TimeoutsForPeriod(std::chrono::milliseconds aPeriod)
{
  constexpr int kDeadPeriods = 10;
  liveness_timeouts timeouts;
  // Allows for three lost heartbeats and a fourth that is half a period late.
  timeouts.mSuspectAfter = aPeriod * 7 / 2;
  timeouts.mDeadAfter = aPeriod * kDeadPeriods;
  return timeouts;
}

} // namespace

std::optional<vm_id>
RelayOf(const data_centre_id& aDataCentre, const blackboard& aBoard)
{
  const member* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const auto& [vm, entry] : aBoard.mMembers) {
    if (entry.mDataCentre != aDataCentre || !IsLiveOrJoining(entry)) {
      continue;
    }
    const auto weight = RendezvousWeight(aDataCentre.mText, vm);
    if (!best || weight > bestWeight) {
      best = &entry;
      bestWeight = weight;
    }
  }
  return best ? std::optional(best->mProcess.mVm) : std::nullopt;
}

heartbeat_planner::heartbeat_planner(const blackboard& aBoard,
                                     std::chrono::milliseconds aPeriod)
  : mBoard(aBoard)
  , mPeriod(aPeriod)
{
}

bool
heartbeat_planner::IsFullMesh() const
{
  return mBoard.mMembers.size() <= kMaxFullMeshMembers;
}

void
heartbeat_planner::BeginPeriod()
{
  ++mTick;
  const auto& self = mBoard.mSelf.mVm;
  mIsRelay =
    !IsFullMesh() && RelayOf(mBoard.mDataCentre, mBoard) == std::optional(self);
  mLocalRouters.clear();
  for (const auto& [vm, entry] : mBoard.mMembers) {
    if (vm != self && entry.mDataCentre == mBoard.mDataCentre) {
      mLocalRouters.push_back(vm);
    }
  }
  mLocalPeriods = std::max<std::size_t>(
    1, DivideRoundingUp(mLocalRouters.size(), kLocalFanOut));
}

std::vector<planned_heartbeat>
heartbeat_planner::Plan(const heartbeat& aOwn)
{
  std::vector<planned_heartbeat> plan;
  if (IsFullMesh()) {
    mLocalUpdates.clear();
    mRelayUpdates.clear();
    mNewMembers.clear();
    PlanFullMesh(aOwn, plan);
    return plan;
  }
  PlanLocal(aOwn, plan);
  PlanFullUpdates(aOwn, plan);
  if (mIsRelay) {
    PlanRelay(aOwn, plan);
  }
  AgeUpdates(mLocalUpdates);
  AgeUpdates(mRelayUpdates);
  mFullRelayDue.clear();
  return plan;
}

void
heartbeat_planner::PlanFullMesh(const heartbeat& aOwn,
                                std::vector<planned_heartbeat>& aPlan) const
{
  for (const auto& [vm, entry] : mBoard.mMembers) {
    if (vm != mBoard.mSelf.mVm) {
      aPlan.push_back({ vm, aOwn });
    }
  }
}

void
heartbeat_planner::PlanLocal(const heartbeat& aOwn,
                             std::vector<planned_heartbeat>& aPlan) const
{
  auto message = aOwn;
  if (mTick / mLocalPeriods % kContactInterval != 0) {
    message.mContact = {};
  }
  AddUpdates(mLocalUpdates, message);
  if (mIsRelay) {
    AddRotatingMembers(message);
  }
  for (std::size_t index = mTick % mLocalPeriods; index < mLocalRouters.size();
       index += mLocalPeriods) {
    // A new router gets a full update instead.
    if (!mNewMembers.contains(mLocalRouters[index])) {
      aPlan.push_back({ mLocalRouters[index], message });
    }
  }
}

void
heartbeat_planner::PlanFullUpdates(const heartbeat& aOwn,
                                   std::vector<planned_heartbeat>& aPlan)
{
  if (mNewMembers.empty()) {
    return;
  }
  auto fullUpdate = aOwn;
  fullUpdate.mHeard = LiveRemoteMembers();
  for (const auto& newMember : mNewMembers) {
    aPlan.push_back({ newMember, fullUpdate });
  }
  mNewMembers.clear();
}

void
heartbeat_planner::PlanRelay(const heartbeat& aOwn,
                             std::vector<planned_heartbeat>& aPlan)
{
  auto message = aOwn;
  // Loads and demands are used only within a data centre.
  message.mPools.clear();
  message.mDemands.clear();
  auto full = message;
  AddUpdates(mRelayUpdates, message);
  AddLocalMembers(full);
  std::set<data_centre_id> remote;
  for (const auto& [vm, entry] : mBoard.mMembers) {
    if (entry.mDataCentre != mBoard.mDataCentre) {
      remote.insert(entry.mDataCentre);
    }
  }
  // Offset for each data centre, so that their heartbeats are spread over the
  // periods.
  std::size_t turn = mTick;
  for (const auto& dataCentre : remote) {
    const auto relay = RemoteRelay(dataCentre);
    ++turn;
    const bool due = turn % kRelayPeriods == 0;
    const bool fullDue = turn % (kRelayPeriods * kFullRelayInterval) == 0 ||
                         mFullRelayDue.contains(dataCentre);
    if (relay && (due || fullDue || !mRelayUpdates.empty())) {
      aPlan.push_back({ *relay, fullDue ? full : message });
    }
  }
}

// Returns the router of aDataCentre to exchange members with. If none there is
// live or joining, returns each in turn, to detect the end of a partition.
std::optional<vm_id>
heartbeat_planner::RemoteRelay(const data_centre_id& aDataCentre) const
{
  if (const auto relay = RelayOf(aDataCentre, mBoard)) {
    return relay;
  }
  std::vector<vm_id> all;
  for (const auto& [vm, entry] : mBoard.mMembers) {
    if (entry.mDataCentre == aDataCentre) {
      all.push_back(vm);
    }
  }
  return all.empty() ? std::nullopt
                     : std::optional(all[mTick / kRelayPeriods % all.size()]);
}

void
heartbeat_planner::AddLocalMembers(heartbeat& aHeartbeat) const
{
  aHeartbeat.mHeardIsComplete = true;
  for (const auto& [vm, entry] : mBoard.mMembers) {
    if (entry.mDataCentre == mBoard.mDataCentre &&
        entry.mState == member_state::Live) {
      aHeartbeat.mHeard.push_back(entry.mProcess);
    }
  }
}

void
heartbeat_planner::AddUpdates(const update_list& aUpdates,
                              heartbeat& aHeartbeat)
{
  for (const auto& item : aUpdates) {
    auto& list = item.mLost ? aHeartbeat.mLost : aHeartbeat.mHeard;
    list.push_back(item.mProcess);
  }
}

void
heartbeat_planner::AgeUpdates(update_list& aUpdates)
{
  for (auto& item : aUpdates) {
    --item.mPeriodsLeft;
  }
  std::erase_if(aUpdates, [](const member_update& aItem) {
    return aItem.mPeriodsLeft == 0;
  });
}

void
heartbeat_planner::AnnounceHeard(const process_id& aProcess)
{
  mLocalUpdates.push_back({ aProcess, false, kUpdateRepeats * mLocalPeriods });
}

void
heartbeat_planner::AnnounceLost(const process_id& aProcess)
{
  mLocalUpdates.push_back({ aProcess, true, kUpdateRepeats * mLocalPeriods });
}

void
heartbeat_planner::RelayHeard(const process_id& aProcess)
{
  mRelayUpdates.push_back({ aProcess, false, 1 });
}

void
heartbeat_planner::RelayLost(const process_id& aProcess)
{
  mRelayUpdates.push_back({ aProcess, true, 1 });
}

void
heartbeat_planner::RelayAllMembers(const data_centre_id& aTo)
{
  mFullRelayDue.insert(aTo);
}

void
heartbeat_planner::QueueFullUpdate(const vm_id& aNewMember)
{
  mNewMembers.insert(aNewMember);
}

std::vector<process_id>
heartbeat_planner::LiveRemoteMembers() const
{
  std::vector<process_id> live;
  for (const auto& [vm, entry] : mBoard.mMembers) {
    if (entry.mDataCentre != mBoard.mDataCentre &&
        entry.mState == member_state::Live) {
      live.push_back(entry.mProcess);
    }
  }
  return live;
}

// Adds the next few members elsewhere in turn. They stay the same for one
// rotation over the local routers, so that every router receives every member.
void
heartbeat_planner::AddRotatingMembers(heartbeat& aHeartbeat) const
{
  const auto remote = LiveRemoteMembers();
  const auto rotation = mTick / mLocalPeriods;
  const auto count = std::min(kRotatingMembers, remote.size());
  for (std::size_t offset = 0; offset < count; ++offset) {
    const auto index = (rotation * kRotatingMembers + offset) % remote.size();
    aHeartbeat.mHeard.push_back(remote[index]);
  }
}

liveness_timeouts
heartbeat_planner::TimeoutsFor(const member& aMember) const
{
  if (IsFullMesh()) {
    return TimeoutsForPeriod(mPeriod);
  }
  if (aMember.mDataCentre == mBoard.mDataCentre) {
    return TimeoutsForPeriod(mPeriod * mLocalPeriods);
  }
  if (mIsRelay) {
    return TimeoutsForPeriod(mPeriod * kRelayPeriods);
  }
  liveness_timeouts timeouts;
  timeouts.mSuspectAfter = kRemoteSuspectAfter;
  timeouts.mDeadAfter = 2 * kRemoteSuspectAfter;
  timeouts.mRemoveAfter = 2 * timeouts.mDeadAfter;
  return timeouts;
}

} // namespace sapphirespar::membership
