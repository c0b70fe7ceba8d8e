// Choice of a home by gossiped load, and of an upstream without one.
#include "home_map.hpp"

#include "sapphirespar/membership/owners.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace sapphirespar::router {
namespace {

bool
TakesWork(const policy::upstream_view& aView)
{
  return aView.mState == upstream_state::Healthy ||
         aView.mState == upstream_state::Slow;
}

bool
Serves(const policy::upstream_view& aView, std::string_view aPool)
{
  return std::ranges::find(aView.mPools, aPool) != aView.mPools.end();
}

const pool_load*
FindLoad(const std::vector<pool_load>& aLoads, std::string_view aPool)
{
  const auto found = std::ranges::find(aLoads, aPool, &pool_load::mPool);
  return found == aLoads.end() ? nullptr : &*found;
}

} // namespace

home_map::home_map(const blackboard& aBoard,
                   std::function<std::uint64_t()> aRandom)
  : mBoard(aBoard)
  , mRandom(std::move(aRandom))
{
}

void
home_map::Configure(bundle_ptr aBundle)
{
  mBundle = std::move(aBundle);
  Refresh();
}

void
home_map::SetUpstreams(std::span<const policy::upstream_view> aUpstreams)
{
  mUpstreams.assign(aUpstreams.begin(), aUpstreams.end());
  Refresh();
}

void
home_map::Refresh()
{
  mHomes.clear();
  mPoolHomes.clear();
  if (!mBundle) {
    return;
  }
  const auto members = membership::ListMembers(mBoard);
  for (const auto& homed : membership::AssignOwners(*mBundle, members)) {
    mHomes[homed.mUpstream->mId] = homed.mOwner;
  }
  std::map<std::string, std::set<vm_id>> homes;
  for (const auto& view : mUpstreams) {
    const auto home = mHomes.find(view.mId);
    if (home != mHomes.end() && TakesWork(view)) {
      for (const auto& pool : view.mPools) {
        homes[pool].insert(home->second);
      }
    }
  }
  for (const auto& [pool, vms] : homes) {
    mPoolHomes[pool].assign(vms.begin(), vms.end());
  }
}

std::vector<policy::upstream_view>
home_map::OwnUpstreams() const
{
  std::vector<policy::upstream_view> own;
  std::ranges::copy_if(
    mUpstreams, std::back_inserter(own), [&](const auto& aView) {
      return HomeOf(aView.mId) == std::optional(mBoard.mSelf.mVm);
    });
  return own;
}

std::optional<vm_id>
home_map::HomeOf(const upstream_id& aUpstream) const
{
  const auto found = mHomes.find(aUpstream);
  return found == mHomes.end() ? std::nullopt : std::optional(found->second);
}

unsigned
home_map::AskedOf(const vm_id& aHome,
                  std::string_view aPool,
                  steady_time aLoadHeard) const
{
  const auto found = mAsked.find({ aHome, std::string(aPool) });
  return found != mAsked.end() && found->second.mLoadHeard == aLoadHeard
           ? found->second.mAsked
           : 0;
}

void
home_map::NoteAsked(const vm_id& aHome, std::string_view aPool)
{
  const auto one = mBoard.mMembers.find(aHome);
  if (one == mBoard.mMembers.end()) {
    return;
  }
  auto& count = mAsked[{ aHome, std::string(aPool) }];
  if (count.mLoadHeard != one->second.mLastHeard) {
    count = { one->second.mLastHeard, 0 };
  }
  ++count.mAsked;
}

home_map::home_score
home_map::ScoreOf(const vm_id& aHome,
                  std::string_view aPool,
                  const std::vector<pool_load>& aOwnLoads) const
{
  home_score score;
  score.mOwner = aHome;
  score.mIsSelf = aHome == mBoard.mSelf.mVm;
  const auto found = mBoard.mMembers.find(aHome);
  if (found == mBoard.mMembers.end()) {
    return score;
  }
  const auto& one = found->second;
  score.mIsNear = one.mDataCentre == mBoard.mDataCentre;
  const auto* load = FindLoad(score.mIsSelf ? aOwnLoads : one.mPools, aPool);
  // What this router has put there is in its own loads, and in those of
  // another home from its next heartbeat on.
  const auto asked = score.mIsSelf ? 0 : AskedOf(aHome, aPool, one.mLastHeard);
  const auto slots = load ? load->mSlots : 0;
  const auto taken = (load ? load->mOutstanding + load->mQueued : 0) + asked;
  score.mHasFree = taken < slots;
  score.mLoad = static_cast<double>(taken) / std::max(1U, slots);
  return score;
}

std::vector<home_map::home_score>
home_map::Score(std::string_view aPool,
                const std::set<vm_id>& aTried,
                const std::vector<pool_load>& aOwnLoads) const
{
  std::vector<home_score> scores;
  const auto homes = mPoolHomes.find(aPool);
  if (homes == mPoolHomes.end()) {
    return scores;
  }
  for (const auto& home : homes->second) {
    if (!aTried.contains(home)) {
      scores.push_back(ScoreOf(home, aPool, aOwnLoads));
    }
  }
  return scores;
}

std::size_t
home_map::RandomIndex(std::size_t aSize)
{
  return static_cast<std::size_t>(mRandom() % aSize);
}

std::optional<vm_id>
home_map::PickHome(std::string_view aPool,
                   const std::set<vm_id>& aTried,
                   const std::vector<pool_load>& aOwnLoads)
{
  auto scores = Score(aPool, aTried, aOwnLoads);
  if (scores.empty()) {
    return std::nullopt;
  }
  // Lower ranks come first.
  const auto rank = [](const home_score& aScore) {
    if (!aScore.mHasFree) {
      return 3;
    }
    return aScore.mIsSelf ? 0 : aScore.mIsNear ? 1 : 2;
  };
  const auto best = rank(*std::ranges::min_element(scores, {}, rank));
  std::erase_if(scores,
                [&](const home_score& aScore) { return rank(aScore) != best; });
  const auto& one = scores[RandomIndex(scores.size())];
  const auto& other = scores[RandomIndex(scores.size())];
  return one.mLoad <= other.mLoad ? one.mOwner : other.mOwner;
}

double
home_map::ReportedLoad(
  const policy::upstream_view& aView,
  const std::function<unsigned(const upstream_id&)>& aHeld) const
{
  const auto status = mBoard.mUpstreams.find(aView.mId);
  const auto reported =
    status == mBoard.mUpstreams.end()
      ? 0
      : status->second.mReportedRunning + status->second.mReportedQueued;
  const auto taken = std::max(reported, aHeld(aView.mId));
  return static_cast<double>(taken) / std::max(1U, aView.mSlots);
}

std::optional<upstream_id>
home_map::PickUpstream(const policy::queued_request& aRequest,
                       const std::function<unsigned(const upstream_id&)>& aHeld)
{
  std::vector<const policy::upstream_view*> candidates;
  for (const auto& view : mUpstreams) {
    const bool excluded = std::ranges::find(aRequest.mExcluded, view.mId) !=
                          aRequest.mExcluded.end();
    if (TakesWork(view) && !excluded && Serves(view, aRequest.mPool)) {
      candidates.push_back(&view);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto* one = candidates[RandomIndex(candidates.size())];
  const auto* other = candidates[RandomIndex(candidates.size())];
  return ReportedLoad(*one, aHeld) <= ReportedLoad(*other, aHeld) ? one->mId
                                                                  : other->mId;
}

} // namespace sapphirespar::router
