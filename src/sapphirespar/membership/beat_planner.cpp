// Full mesh for few routers, rotation and relays for many.
#include "beat_planner.hpp"

#include "sapphirespar/membership/membership_controller.hpp"
#include "sapphirespar/membership/owners.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::membership {
namespace {

// Routers of the own data centre that one period's beats reach.
constexpr std::size_t kLocalFanOut = 3;
// Periods between two beats of one pair of relays.
constexpr std::size_t kRelayPeriods = 15;
// Of the beats of one pair of relays, every so many names all members.
constexpr std::size_t kRelayFullBeats = 4;
// Members elsewhere that a relay repeats in each beat, so that news that was
// lost is made good.
constexpr std::size_t kSliceMembers = 2;
// Of the beats of one pair in a data centre, every so many says how the sender
// is reached.
constexpr std::size_t kContactBeats = 4;
// Times that each router of the data centre is told a piece of news.
constexpr std::size_t kNewsRepeats = 2;
// A router that is no relay hears of members elsewhere only when they change.
constexpr std::chrono::hours kSuspectUnheardElsewhere{ 1 };

bool
MayBeAlive(const member& aMember)
{
  return aMember.mState == member_state::Live ||
         aMember.mState == member_state::Joining;
}

std::size_t
DivideUp(std::size_t aNumber, std::size_t aBy)
{
  return (aNumber + aBy - 1) / aBy;
}

silence_limits
LimitsForPeriod(std::chrono::milliseconds aPeriod)
{
  constexpr int kDeadPeriods = 10;
  silence_limits limits;
  // Three beats may be lost, and the fourth late by half a period.
  limits.mSuspectAfter = aPeriod * 7 / 2;
  limits.mDeadAfter = aPeriod * kDeadPeriods;
  return limits;
}

} // namespace

std::optional<vm_id>
RelayOf(const data_centre_id& aDataCentre, const blackboard& aBoard)
{
  const member* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const auto& [vm, one] : aBoard.mMembers) {
    if (one.mDataCentre != aDataCentre || !MayBeAlive(one)) {
      continue;
    }
    const auto weight = RendezvousWeight(aDataCentre.mText, vm);
    if (!best || weight > bestWeight) {
      best = &one;
      bestWeight = weight;
    }
  }
  return best ? std::optional(best->mProcess.mVm) : std::nullopt;
}

beat_planner::beat_planner(const blackboard& aBoard,
                           std::chrono::milliseconds aPeriod)
  : mBoard(aBoard)
  , mPeriod(aPeriod)
{
}

bool
beat_planner::IsFullMesh() const
{
  return mBoard.mMembers.size() <= kFullMeshMembers;
}

void
beat_planner::BeginPeriod()
{
  ++mTick;
  const auto& self = mBoard.mSelf.mVm;
  mIsRelay =
    !IsFullMesh() && RelayOf(mBoard.mDataCentre, mBoard) == std::optional(self);
  mLocals.clear();
  for (const auto& [vm, one] : mBoard.mMembers) {
    if (vm != self && one.mDataCentre == mBoard.mDataCentre) {
      mLocals.push_back(vm);
    }
  }
  mLocalPeriods =
    std::max<std::size_t>(1, DivideUp(mLocals.size(), kLocalFanOut));
}

std::vector<planned_beat>
beat_planner::Plan(const heartbeat& aOwn)
{
  std::vector<planned_beat> plan;
  if (IsFullMesh()) {
    mLocalNews.clear();
    mRelayNews.clear();
    mNewcomers.clear();
    PlanFullMesh(aOwn, plan);
    return plan;
  }
  PlanLocal(aOwn, plan);
  PlanGreetings(aOwn, plan);
  if (mIsRelay) {
    PlanRelay(aOwn, plan);
  }
  AgeNews(mLocalNews);
  AgeNews(mRelayNews);
  mOweAll.clear();
  return plan;
}

void
beat_planner::PlanFullMesh(const heartbeat& aOwn,
                           std::vector<planned_beat>& aPlan) const
{
  for (const auto& [vm, one] : mBoard.mMembers) {
    if (vm != mBoard.mSelf.mVm) {
      aPlan.push_back({ vm, aOwn });
    }
  }
}

void
beat_planner::PlanLocal(const heartbeat& aOwn,
                        std::vector<planned_beat>& aPlan) const
{
  auto beat = aOwn;
  if (mTick / mLocalPeriods % kContactBeats != 0) {
    beat.mContact = {};
  }
  AddNews(mLocalNews, beat);
  if (mIsRelay) {
    AddSlice(beat);
  }
  for (std::size_t index = mTick % mLocalPeriods; index < mLocals.size();
       index += mLocalPeriods) {
    // A newcomer gets its greeting instead.
    if (!mNewcomers.contains(mLocals[index])) {
      aPlan.push_back({ mLocals[index], beat });
    }
  }
}

void
beat_planner::PlanGreetings(const heartbeat& aOwn,
                            std::vector<planned_beat>& aPlan)
{
  if (mNewcomers.empty()) {
    return;
  }
  auto greeting = aOwn;
  greeting.mHeard = LiveElsewhere();
  for (const auto& newcomer : mNewcomers) {
    aPlan.push_back({ newcomer, greeting });
  }
  mNewcomers.clear();
}

void
beat_planner::PlanRelay(const heartbeat& aOwn, std::vector<planned_beat>& aPlan)
{
  auto beat = aOwn;
  // Loads and demands are of use within a data centre only.
  beat.mPools.clear();
  beat.mDemands.clear();
  auto full = beat;
  AddNews(mRelayNews, beat);
  AddLocals(full);
  std::set<data_centre_id> elsewhere;
  for (const auto& [vm, one] : mBoard.mMembers) {
    if (one.mDataCentre != mBoard.mDataCentre) {
      elsewhere.insert(one.mDataCentre);
    }
  }
  std::size_t turn = mTick;
  for (const auto& dataCentre : elsewhere) {
    const auto relay = FarRelay(dataCentre);
    ++turn;
    const bool due = turn % kRelayPeriods == 0;
    const bool fullDue = turn % (kRelayPeriods * kRelayFullBeats) == 0 ||
                         mOweAll.contains(dataCentre);
    if (relay && (due || fullDue || !mRelayNews.empty())) {
      aPlan.push_back({ *relay, fullDue ? full : beat });
    }
  }
}

// Whom to exchange members with. If everyone there seems gone, tries them in
// turn, so that a partition that has ended is noticed.
std::optional<vm_id>
beat_planner::FarRelay(const data_centre_id& aDataCentre) const
{
  if (const auto relay = RelayOf(aDataCentre, mBoard)) {
    return relay;
  }
  std::vector<vm_id> all;
  for (const auto& [vm, one] : mBoard.mMembers) {
    if (one.mDataCentre == aDataCentre) {
      all.push_back(vm);
    }
  }
  return all.empty() ? std::nullopt
                     : std::optional(all[mTick / kRelayPeriods % all.size()]);
}

void
beat_planner::AddLocals(heartbeat& aBeat) const
{
  aBeat.mHeardIsComplete = true;
  for (const auto& [vm, one] : mBoard.mMembers) {
    if (one.mDataCentre == mBoard.mDataCentre &&
        one.mState == member_state::Live) {
      aBeat.mHeard.push_back(one.mProcess);
    }
  }
}

void
beat_planner::AddNews(const news_list& aNews, heartbeat& aBeat)
{
  for (const auto& item : aNews) {
    auto& list = item.mLost ? aBeat.mLost : aBeat.mHeard;
    list.push_back(item.mProcess);
  }
}

void
beat_planner::AgeNews(news_list& aNews)
{
  for (auto& item : aNews) {
    --item.mPeriodsLeft;
  }
  std::erase_if(aNews,
                [](const news_item& aItem) { return aItem.mPeriodsLeft == 0; });
}

void
beat_planner::SpreadHeard(const process_id& aProcess)
{
  mLocalNews.push_back({ aProcess, false, kNewsRepeats * mLocalPeriods });
}

void
beat_planner::SpreadLost(const process_id& aProcess)
{
  mLocalNews.push_back({ aProcess, true, kNewsRepeats * mLocalPeriods });
}

void
beat_planner::RelayHeard(const process_id& aProcess)
{
  mRelayNews.push_back({ aProcess, false, 1 });
}

void
beat_planner::RelayLost(const process_id& aProcess)
{
  mRelayNews.push_back({ aProcess, true, 1 });
}

void
beat_planner::RelayAll(const data_centre_id& aTo)
{
  mOweAll.insert(aTo);
}

void
beat_planner::Greet(const vm_id& aNewcomer)
{
  mNewcomers.insert(aNewcomer);
}

std::vector<process_id>
beat_planner::LiveElsewhere() const
{
  std::vector<process_id> live;
  for (const auto& [vm, one] : mBoard.mMembers) {
    if (one.mDataCentre != mBoard.mDataCentre &&
        one.mState == member_state::Live) {
      live.push_back(one.mProcess);
    }
  }
  return live;
}

// Adds the next few members elsewhere in turn: the same ones for a whole
// rotation, so that everyone is told of everyone.
void
beat_planner::AddSlice(heartbeat& aBeat) const
{
  const auto elsewhere = LiveElsewhere();
  const auto rotation = mTick / mLocalPeriods;
  const auto count = std::min(kSliceMembers, elsewhere.size());
  for (std::size_t offset = 0; offset < count; ++offset) {
    const auto index = (rotation * kSliceMembers + offset) % elsewhere.size();
    aBeat.mHeard.push_back(elsewhere[index]);
  }
}

silence_limits
beat_planner::LimitsFor(const member& aMember) const
{
  if (IsFullMesh()) {
    return LimitsForPeriod(mPeriod);
  }
  if (aMember.mDataCentre == mBoard.mDataCentre) {
    return LimitsForPeriod(mPeriod * mLocalPeriods);
  }
  if (mIsRelay) {
    return LimitsForPeriod(mPeriod * kRelayPeriods);
  }
  silence_limits limits;
  limits.mSuspectAfter = kSuspectUnheardElsewhere;
  limits.mDeadAfter = 2 * kSuspectUnheardElsewhere;
  limits.mForgetAfter = 2 * limits.mDeadAfter;
  return limits;
}

} // namespace sapphirespar::membership
