// Merging of the platform's list and heartbeats into the blackboard.
#include "sapphirespar/membership/member_table.hpp"

#include "member_machine.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace sapphirespar::membership {
namespace {

// What is remembered of a member beside its entry on the blackboard. It stays
// when the entry goes, so that an earlier incarnation never comes back.
struct member_record
{
  member_machine mMachine;
  // The highest heard of; zero before the first.
  incarnation_number mIncarnation = 0;
  std::uint64_t mLastSequence = 0;
  bool mListed = false;
  bool mListedLeaving = false;
  // The member itself has said where it is reached.
  bool mContactHeard = false;
  // When silence began to count.
  steady_time mSilentSince{};
  // Until then, being heard does not make it live.
  steady_time mHeldUntil{};
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

  // Returns the entry of aVm, made if need be.
  member& Entry(const vm_id& aVm, steady_time aNow);
  // Takes over aProcess if it is not older than what is known.
  bool TakeProcess(const process_id& aProcess, steady_time aNow);
  void Hear(const vm_id& aVm, bool aLeaving, steady_time aNow);
  // Copies the machine's state to the entry.
  void Publish(const vm_id& aVm);
  void ApplyListing(const vm_listing& aListing, steady_time aNow);
  void Unlist(const vm_id& aVm);
  void Judge(const vm_id& aVm, const silence_limits& aLimits, steady_time aNow);
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
    record.mSilentSince = aNow;
    entry->second.mProcess = { aVm, record.mIncarnation };
    entry->second.mState = record.mMachine.State();
    ++mRevision;
  }
  return entry->second;
}

bool
member_table::state::TakeProcess(const process_id& aProcess, steady_time aNow)
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
  record.mContactHeard = false;
  record.mHeldUntil = steady_time{};
  record.mSilentSince = aNow;
  record.mMachine.Restart();
  entry.mProcess = aProcess;
  entry.mPools.clear();
  entry.mDemands.clear();
  ++mRevision;
  Publish(aProcess.mVm);
  return true;
}

void
member_table::state::Hear(const vm_id& aVm, bool aLeaving, steady_time aNow)
{
  auto& record = mRecords[aVm];
  record.mSilentSince = aNow;
  Entry(aVm, aNow).mLastHeard = aNow;
  const bool isLeaving = aLeaving || record.mListedLeaving;
  if (isLeaving || aNow >= record.mHeldUntil) {
    record.mMachine.Hear(isLeaving);
  }
  Publish(aVm);
}

void
member_table::state::Publish(const vm_id& aVm)
{
  auto& entry = mBoard.mMembers.at(aVm);
  const auto now = mRecords[aVm].mMachine.State();
  if (entry.mState == now) {
    return;
  }
  LogEvent(log_level::Info,
           "member_state",
           { { "vm", aVm.mText },
             { "incarnation", entry.mProcess.mIncarnation },
             { "from", ToText(entry.mState) },
             { "to", ToText(now) } });
  entry.mState = now;
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
  const bool wellKnown =
    record.mContactHeard && (entry.mState == member_state::Live ||
                             entry.mState == member_state::Leaving);
  if (!wellKnown) {
    SetContact(entry, ContactOf(aListing));
  }
  if (aListing.mLeaving && entry.mState != member_state::Dead) {
    record.mMachine.Hear(true);
    Publish(vm);
  }
}

void
member_table::state::Unlist(const vm_id& aVm)
{
  auto& record = mRecords[aVm];
  record.mListed = false;
  record.mListedLeaving = false;
  const auto known = record.mMachine.State();
  if (known == member_state::Joining || known == member_state::Dead) {
    Remove(aVm);
  }
}

void
member_table::state::Judge(const vm_id& aVm,
                           const silence_limits& aLimits,
                           steady_time aNow)
{
  auto& record = mRecords[aVm];
  const auto silence = aNow - record.mSilentSince;
  if (silence >= aLimits.mDeadAfter) {
    record.mMachine.Lose();
  } else if (silence >= aLimits.mSuspectAfter) {
    record.mMachine.Miss();
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
  if (mState->IsSelf(sender.mVm) || !mState->TakeProcess(sender, aNow)) {
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
    record.mContactHeard = true;
  }
  entry.mBundle = aHeartbeat.mBundle;
  entry.mPools = aHeartbeat.mPools;
  entry.mDemands = aHeartbeat.mDemands;
  mState->Hear(sender.mVm, aHeartbeat.mLeaving, aNow);
  return true;
}

bool
member_table::ApplyHearsay(const process_id& aProcess, steady_time aNow)
{
  if (mState->IsSelf(aProcess.mVm)) {
    return true;
  }
  if (!mState->mBoard.mMembers.contains(aProcess.mVm)) {
    return false;
  }
  if (mState->TakeProcess(aProcess, aNow)) {
    mState->Hear(aProcess.mVm, false, aNow);
  }
  return true;
}

void
member_table::ApplyLoss(const process_id& aProcess, steady_time)
{
  const auto entry = mState->mBoard.mMembers.find(aProcess.mVm);
  if (mState->IsSelf(aProcess.mVm) || entry == mState->mBoard.mMembers.end() ||
      entry->second.mProcess != aProcess) {
    return;
  }
  mState->mRecords[aProcess.mVm].mMachine.Miss();
  mState->Publish(aProcess.mVm);
}

void
member_table::ApplyUnreachable(const vm_id& aVm, steady_time aNow)
{
  if (mState->IsSelf(aVm) || !mState->mBoard.mMembers.contains(aVm)) {
    return;
  }
  auto& record = mState->mRecords[aVm];
  record.mHeldUntil = aNow + kUnreachableHold;
  record.mMachine.Miss();
  mState->Publish(aVm);
}

void
member_table::RestartSilence(steady_time aNow)
{
  for (auto& [vm, record] : mState->mRecords) {
    record.mSilentSince = aNow;
  }
}

void
member_table::UpdateSelf(const heartbeat& aOwn, steady_time aNow)
{
  auto& self = mState->mBoard.mMembers[mState->mSelf.mVm];
  const auto now = aOwn.mLeaving ? member_state::Leaving : member_state::Live;
  mState->mRevision += self.mState != now ? 1 : 0;
  self.mState = now;
  self.mBundle = aOwn.mBundle;
  self.mPools = aOwn.mPools;
  self.mDemands = aOwn.mDemands;
  self.mLastHeard = aNow;
}

void
member_table::ApplyUnchanged(const data_centre_id& aDataCentre,
                             steady_time aNow)
{
  for (const auto& [vm, entry] : mState->mBoard.mMembers) {
    if (entry.mDataCentre == aDataCentre &&
        entry.mState == member_state::Live) {
      mState->mRecords[vm].mSilentSince = aNow;
    }
  }
}

std::vector<member>
member_table::Tick(const limits_function& aLimits, steady_time aNow)
{
  std::vector<member> lost;
  std::vector<vm_id> forgotten;
  for (auto& [vm, entry] : mState->mBoard.mMembers) {
    if (mState->IsSelf(vm)) {
      continue;
    }
    auto& record = mState->mRecords.at(vm);
    const auto limits = aLimits(entry);
    const auto silence = aNow - record.mSilentSince;
    if (silence < limits.mSuspectAfter) {
      continue;
    }
    const bool wasLive = entry.mState == member_state::Live;
    mState->Judge(vm, limits, aNow);
    if (wasLive && entry.mState != member_state::Live) {
      lost.push_back(entry);
    }
    if (!record.mListed && silence >= limits.mForgetAfter) {
      forgotten.push_back(vm);
    }
  }
  std::ranges::for_each(forgotten,
                        [this](const vm_id& aVm) { mState->Remove(aVm); });
  return lost;
}

std::uint64_t
member_table::Revision() const
{
  return mState->mRevision;
}

} // namespace sapphirespar::membership
