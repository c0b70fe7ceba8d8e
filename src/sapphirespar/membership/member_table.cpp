// Merges the platform's VM list and heartbeats into the blackboard.
#include "sapphirespar/membership/member_table.hpp"

#include "member_state_machine.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace sapphirespar::membership {
namespace {

// Private state of a member, in addition to its entry on the blackboard. It
// stays when the entry is removed, so that an earlier incarnation is never
// accepted again.
struct member_record
{
  member_state_machine mMachine;
  // The highest known incarnation; zero if none is known.
  incarnation_number mIncarnation = 0;
  std::uint64_t mLastSequence = 0;
  bool mListed = false;
  bool mListedLeaving = false;
  // Whether the current incarnation has sent its own address.
  bool mContactReported = false;
  // Timeouts count from this time.
  steady_time mTimeoutStart{};
  // Before this time, a heartbeat does not make the member live.
  steady_time mSuspectUntil{};
};

void
SetContact(member& aMember, const router_contact& aContact)
{
  aMember.mDataCentre = aContact.mDataCentre;
  aMember.mAddress = aContact.mAddress;
  aMember.mPort = aContact.mPort;
  aMember.mPeerPort = aContact.mPeerPort;
}

router_contact
ContactOf(const vm_listing& aListing)
{
  return { { aListing.mDataCentre },
           aListing.mAddress,
           aListing.mPort,
           aListing.mPeerPort };
}

} // namespace

struct member_table::state
{
  state(blackboard& aBoard, process_id aSelf)
    : mBoard(aBoard)
    , mSelf(std::move(aSelf))
  {
  }

  bool IsSelf(const vm_id& aVm) const { return aVm == mSelf.mVm; }

  // Returns the entry of aVm, and adds it if there is none.
  member& Entry(const vm_id& aVm, steady_time aNow);
  // Makes aProcess the current process of its VM. Returns false if a later
  // incarnation is known.
  bool AcceptProcess(const process_id& aProcess, steady_time aNow);
  void RecordHeard(const vm_id& aVm, bool aLeaving, steady_time aNow);
  // Copies the state of the machine to the entry and logs a change.
  void Publish(const vm_id& aVm);
  void ApplyListing(const vm_listing& aListing, steady_time aNow);
  void Unlist(const vm_id& aVm);
  void CheckTimeouts(const vm_id& aVm,
                     const liveness_timeouts& aTimeouts,
                     steady_time aNow);
  void Remove(const vm_id& aVm);

  blackboard& mBoard;
  process_id mSelf;
  std::map<vm_id, member_record> mRecords;
  std::uint64_t mRevision = 0;
};

member&
member_table::state::Entry(const vm_id& aVm, steady_time aNow)
{
  const auto [entry, added] = mBoard.mMembers.try_emplace(aVm);
  if (added) {
    auto& record = mRecords[aVm];
    record.mTimeoutStart = aNow;
    entry->second.mProcess = { aVm, record.mIncarnation };
    entry->second.mState = record.mMachine.State();
    ++mRevision;
  }
  return entry->second;
}

bool
member_table::state::AcceptProcess(const process_id& aProcess, steady_time aNow)
{
  auto& record = mRecords[aProcess.mVm];
  if (aProcess.mIncarnation < record.mIncarnation) {
    return false;
  }
  auto& entry = Entry(aProcess.mVm, aNow);
  if (aProcess.mIncarnation == record.mIncarnation) {
    return true;
  }
  record.mIncarnation = aProcess.mIncarnation;
  record.mLastSequence = 0;
  record.mContactReported = false;
  record.mSuspectUntil = steady_time{};
  record.mTimeoutStart = aNow;
  record.mMachine.OnRestarted();
  entry.mProcess = aProcess;
  entry.mPools.clear();
  entry.mDemands.clear();
  ++mRevision;
  Publish(aProcess.mVm);
  return true;
}

void
member_table::state::RecordHeard(const vm_id& aVm,
                                 bool aLeaving,
                                 steady_time aNow)
{
  auto& record = mRecords[aVm];
  record.mTimeoutStart = aNow;
  Entry(aVm, aNow).mLastHeard = aNow;
  const bool isLeaving = aLeaving || record.mListedLeaving;
  if (isLeaving || aNow >= record.mSuspectUntil) {
    record.mMachine.OnHeard(isLeaving);
  }
  Publish(aVm);
}

void
member_table::state::Publish(const vm_id& aVm)
{
  auto& entry = mBoard.mMembers.at(aVm);
  const auto current = mRecords[aVm].mMachine.State();
  if (entry.mState == current) {
    return;
  }
  LogEvent(log_level::Info,
           "member_state",
           { { "vm", aVm.mText },
             { "incarnation", entry.mProcess.mIncarnation },
             { "from", ToText(entry.mState) },
             { "to", ToText(current) } });
  entry.mState = current;
  ++mRevision;
}

void
member_table::state::ApplyListing(const vm_listing& aListing, steady_time aNow)
{
  const vm_id vm{ aListing.mVm };
  auto& record = mRecords[vm];
  record.mListed = true;
  record.mListedLeaving = aListing.mLeaving;
  auto& entry = Entry(vm, aNow);
  const bool hasOwnContact =
    record.mContactReported && (entry.mState == member_state::Live ||
                                entry.mState == member_state::Leaving);
  if (!hasOwnContact) {
    SetContact(entry, ContactOf(aListing));
  }
  if (aListing.mLeaving && entry.mState != member_state::Dead) {
    record.mMachine.OnHeard(true);
    Publish(vm);
  }
}

void
member_table::state::Unlist(const vm_id& aVm)
{
  auto& record = mRecords[aVm];
  record.mListed = false;
  record.mListedLeaving = false;
  const auto current = record.mMachine.State();
  if (current == member_state::Joining || current == member_state::Dead) {
    Remove(aVm);
  }
}

void
member_table::state::CheckTimeouts(const vm_id& aVm,
                                   const liveness_timeouts& aTimeouts,
                                   steady_time aNow)
{
  auto& record = mRecords[aVm];
  const auto elapsed = aNow - record.mTimeoutStart;
  if (elapsed >= aTimeouts.mDeadAfter) {
    record.mMachine.OnLost();
  } else if (elapsed >= aTimeouts.mSuspectAfter) {
    record.mMachine.OnMissed();
  }
  Publish(aVm);
}

void
member_table::state::Remove(const vm_id& aVm)
{
  mRevision += mBoard.mMembers.erase(aVm);
}

member_table::member_table(blackboard& aBoard, member aSelf)
  : mState(std::make_unique<state>(aBoard, aSelf.mProcess))
{
  aSelf.mState = member_state::Live;
  aBoard.mMembers[aSelf.mProcess.mVm] = std::move(aSelf);
}

member_table::~member_table() = default;

void
member_table::ApplyList(std::span<const vm_listing> aVms, steady_time aNow)
{
  std::set<vm_id> listed;
  for (const auto& listing : aVms) {
    if (!mState->IsSelf({ listing.mVm })) {
      mState->ApplyListing(listing, aNow);
      listed.insert({ listing.mVm });
    }
  }
  std::vector<vm_id> unlisted;
  for (const auto& [vm, entry] : mState->mBoard.mMembers) {
    if (!mState->IsSelf(vm) && !listed.contains(vm)) {
      unlisted.push_back(vm);
    }
  }
  std::ranges::for_each(unlisted,
                        [this](const vm_id& aVm) { mState->Unlist(aVm); });
}

bool
member_table::ApplyHeartbeat(const heartbeat& aHeartbeat, steady_time aNow)
{
  const auto& sender = aHeartbeat.mSender;
  if (mState->IsSelf(sender.mVm) || !mState->AcceptProcess(sender, aNow)) {
    return false;
  }
  auto& record = mState->mRecords[sender.mVm];
  if (aHeartbeat.mSequence <= record.mLastSequence) {
    return false;
  }
  record.mLastSequence = aHeartbeat.mSequence;
  auto& entry = mState->Entry(sender.mVm, aNow);
  if (!aHeartbeat.mContact.mAddress.empty()) {
    SetContact(entry, aHeartbeat.mContact);
    record.mContactReported = true;
  }
  entry.mBundle = aHeartbeat.mBundle;
  entry.mPools = aHeartbeat.mPools;
  entry.mDemands = aHeartbeat.mDemands;
  mState->RecordHeard(sender.mVm, aHeartbeat.mLeaving, aNow);
  return true;
}

bool
member_table::ApplyHeardReport(const process_id& aProcess, steady_time aNow)
{
  if (mState->IsSelf(aProcess.mVm)) {
    return true;
  }
  if (!mState->mBoard.mMembers.contains(aProcess.mVm)) {
    return false;
  }
  if (mState->AcceptProcess(aProcess, aNow)) {
    mState->RecordHeard(aProcess.mVm, false, aNow);
  }
  return true;
}

void
member_table::ApplyLostReport(const process_id& aProcess, steady_time)
{
  const auto entry = mState->mBoard.mMembers.find(aProcess.mVm);
  if (mState->IsSelf(aProcess.mVm) || entry == mState->mBoard.mMembers.end() ||
      entry->second.mProcess != aProcess) {
    return;
  }
  mState->mRecords[aProcess.mVm].mMachine.OnMissed();
  mState->Publish(aProcess.mVm);
}

void
member_table::ApplyUnreachable(const vm_id& aVm, steady_time aNow)
{
  if (mState->IsSelf(aVm) || !mState->mBoard.mMembers.contains(aVm)) {
    return;
  }
  auto& record = mState->mRecords[aVm];
  record.mSuspectUntil = aNow + kMinUnreachableTime;
  record.mMachine.OnMissed();
  mState->Publish(aVm);
}

void
member_table::RestartTimeouts(steady_time aNow)
{
  for (auto& [vm, record] : mState->mRecords) {
    record.mTimeoutStart = aNow;
  }
}

void
member_table::UpdateSelf(const heartbeat& aOwn, steady_time aNow)
{
  auto& self = mState->mBoard.mMembers[mState->mSelf.mVm];
  const auto newState =
    aOwn.mLeaving ? member_state::Leaving : member_state::Live;
  mState->mRevision += self.mState != newState ? 1 : 0;
  self.mState = newState;
  self.mBundle = aOwn.mBundle;
  self.mPools = aOwn.mPools;
  self.mDemands = aOwn.mDemands;
  self.mLastHeard = aNow;
}

void
member_table::RefreshLiveMembers(const data_centre_id& aDataCentre,
                                 steady_time aNow)
{
  for (const auto& [vm, entry] : mState->mBoard.mMembers) {
    if (entry.mDataCentre == aDataCentre &&
        entry.mState == member_state::Live) {
      mState->mRecords[vm].mTimeoutStart = aNow;
    }
  }
}

std::vector<member>
member_table::Tick(const timeouts_function& aTimeouts, steady_time aNow)
{
  std::vector<member> lost;
  std::vector<vm_id> removed;
  for (auto& [vm, entry] : mState->mBoard.mMembers) {
    if (mState->IsSelf(vm)) {
      continue;
    }
    auto& record = mState->mRecords.at(vm);
    const auto timeouts = aTimeouts(entry);
    const auto elapsed = aNow - record.mTimeoutStart;
    if (elapsed < timeouts.mSuspectAfter) {
      continue;
    }
    const bool wasLive = entry.mState == member_state::Live;
    mState->CheckTimeouts(vm, timeouts, aNow);
    if (wasLive && entry.mState != member_state::Live) {
      lost.push_back(entry);
    }
    if (!record.mListed && elapsed >= timeouts.mRemoveAfter) {
      removed.push_back(vm);
    }
  }
  std::ranges::for_each(removed,
                        [this](const vm_id& aVm) { mState->Remove(aVm); });
  return lost;
}

std::uint64_t
member_table::Revision() const
{
  return mState->mRevision;
}

} // namespace sapphirespar::membership
