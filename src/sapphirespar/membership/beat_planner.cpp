// Full mesh for few routers, rotation and relays for many.
#include "beat_planner.hpp"

#include "sapphirespar/membership/homes.hpp"
#include "sapphirespar/membership/membership_controller.hpp"

#include <algorithm>
#include <map>

namespace sapphirespar::membership {
namespace {

// Routers of the own data centre that one period's beats reach.
constexpr std::size_t kLocalFanOut = 4;
// Periods between two beats of one pair of relays.
constexpr std::size_t kRelayPeriods = 5;
// Members elsewhere that a relay repeats in each beat, so that news that was
// lost is made good.
constexpr std::size_t kSliceMembers = 3;
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

bool
beat_planner::IsRelay() const
{
  return !IsFullMesh() &&
         RelayOf(mBoard.mDataCentre, mBoard) == std::optional(mBoard.mSelf.mVm);
}

std::vector<planned_beat>
beat_planner::Plan(const heartbeat& aOwn)
{
  ++mTick;
  if (IsFullMesh()) {
    mNews.clear();
    mNewcomers.clear();
    return PlanFullMesh(aOwn);
  }
  std::vector<planned_beat> plan;
  PlanLocal(aOwn, plan);
  if (IsRelay()) {
    PlanRelay(aOwn, plan);
  }
  for (auto& item : mNews) {
    --item.mPeriodsLeft;
  }
  std::erase_if(mNews,
                [](const news_item& aItem) { return aItem.mPeriodsLeft == 0; });
  return plan;
}

std::vector<planned_beat>
beat_planner::PlanFullMesh(const heartbeat& aOwn) const
{
  std::vector<planned_beat> plan;
  for (const auto& [vm, one] : mBoard.mMembers) {
    if (vm != mBoard.mSelf.mVm) {
      plan.push_back({ vm, aOwn });
    }
  }
  return plan;
}

std::vector<const member*>
beat_planner::Locals() const
{
  std::vector<const member*> locals;
  for (const auto& [vm, one] : mBoard.mMembers) {
    if (vm != mBoard.mSelf.mVm && one.mDataCentre == mBoard.mDataCentre) {
      locals.push_back(&one);
    }
  }
  return locals;
}

std::size_t
beat_planner::LocalPeriods() const
{
  return std::max<std::size_t>(1, DivideUp(Locals().size(), kLocalFanOut));
}

void
beat_planner::PlanLocal(const heartbeat& aOwn, std::vector<planned_beat>& aPlan)
{
  auto beat = aOwn;
  AddNews(beat);
  if (IsRelay()) {
    AddSlice(beat);
  }
  const auto locals = Locals();
  const auto periods = LocalPeriods();
  for (std::size_t index = mTick % periods; index < locals.size();
       index += periods) {
    aPlan.push_back({ locals[index]->mProcess.mVm, beat });
  }
  for (const auto& newcomer : mNewcomers) {
    auto greeting = aOwn;
    for (const auto& [vm, one] : mBoard.mMembers) {
      if (one.mDataCentre != mBoard.mDataCentre &&
          one.mState == member_state::Live) {
        greeting.mHeard.push_back(one.mProcess);
      }
    }
    aPlan.push_back({ newcomer, std::move(greeting) });
  }
  mNewcomers.clear();
}

void
beat_planner::PlanRelay(const heartbeat& aOwn,
                        std::vector<planned_beat>& aPlan) const
{
  auto beat = aOwn;
  beat.mPools.clear();
  beat.mDemands.clear();
  std::set<data_centre_id> elsewhere;
  for (const auto& [vm, one] : mBoard.mMembers) {
    if (one.mDataCentre != mBoard.mDataCentre) {
      elsewhere.insert(one.mDataCentre);
    } else if (one.mState == member_state::Live) {
      beat.mHeard.push_back(one.mProcess);
    }
  }
  std::size_t index = mTick;
  for (const auto& dataCentre : elsewhere) {
    const auto relay = RelayOf(dataCentre, mBoard);
    if (relay && index++ % kRelayPeriods == 0) {
      aPlan.push_back({ *relay, beat });
    }
  }
}

void
beat_planner::Spread(const process_id& aProcess, bool aLost)
{
  std::erase_if(mNews, [&](const news_item& aItem) {
    return aItem.mProcess.mVm == aProcess.mVm;
  });
  mNews.push_back({ aProcess, aLost, kNewsRepeats * LocalPeriods() });
}

void
beat_planner::SpreadHeard(const process_id& aProcess)
{
  Spread(aProcess, false);
}

void
beat_planner::SpreadLost(const process_id& aProcess)
{
  Spread(aProcess, true);
}

void
beat_planner::Greet(const vm_id& aNewcomer)
{
  mNewcomers.insert(aNewcomer);
}

void
beat_planner::AddNews(heartbeat& aBeat) const
{
  for (const auto& item : mNews) {
    auto& list = item.mLost ? aBeat.mLost : aBeat.mHeard;
    list.push_back(item.mProcess);
  }
}

// Adds the next few members elsewhere in turn: the same ones for a whole
// rotation, so that everyone is told of everyone.
void
beat_planner::AddSlice(heartbeat& aBeat) const
{
  std::vector<const member*> elsewhere;
  for (const auto& [vm, one] : mBoard.mMembers) {
    if (one.mDataCentre != mBoard.mDataCentre &&
        one.mState == member_state::Live) {
      elsewhere.push_back(&one);
    }
  }
  const auto rotation = mTick / LocalPeriods();
  const auto count = std::min(kSliceMembers, elsewhere.size());
  for (std::size_t offset = 0; offset < count; ++offset) {
    const auto index = (rotation * kSliceMembers + offset) % elsewhere.size();
    aBeat.mHeard.push_back(elsewhere[index]->mProcess);
  }
}

silence_limits
beat_planner::LimitsFor(const member& aMember) const
{
  if (IsFullMesh()) {
    return LimitsForPeriod(mPeriod);
  }
  if (aMember.mDataCentre == mBoard.mDataCentre) {
    return LimitsForPeriod(mPeriod * LocalPeriods());
  }
  if (IsRelay()) {
    return LimitsForPeriod(mPeriod * kRelayPeriods);
  }
  silence_limits limits;
  limits.mSuspectAfter = kSuspectUnheardElsewhere;
  limits.mDeadAfter = 2 * kSuspectUnheardElsewhere;
  limits.mForgetAfter = 2 * limits.mDeadAfter;
  return limits;
}

} // namespace sapphirespar::membership
