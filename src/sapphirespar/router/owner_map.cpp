// Picks owners by the load in their heartbeats, and upstreams by reported load.
#include "owner_map.hpp"

#include "sapphirespar/membership/owners.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace sapphirespar::router {
namespace {

bool
AcceptsRequests(const policy::upstream_view& aView)
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

owner_map::owner_map(const blackboard& aBoard,
                     std::function<std::uint64_t()> aRandom)
  : mBoard(aBoard)
  , mRandom(std::move(aRandom))
{
}

void
owner_map::Configure(bundle_ptr aBundle)
{
  mBundle = std::move(aBundle);
  Refresh();
}

void
owner_map::SetUpstreams(std::span<const policy::upstream_view> aUpstreams)
{
  mUpstreams.assign(aUpstreams.begin(), aUpstreams.end());
  Refresh();
}

void
owner_map::Refresh()
{
  mOwners.clear();
  mPoolOwners.clear();
  if (!mBundle) {
    return;
  }
  const auto members = membership::ListMembers(mBoard);
  for (const auto& owned : membership::AssignOwners(*mBundle, members)) {
    mOwners[owned.mUpstream->mId] = owned.mOwner;
  }
  std::map<std::string, std::set<vm_id>> owners;
  for (const auto& view : mUpstreams) {
    const auto owner = mOwners.find(view.mId);
    if (owner != mOwners.end() && AcceptsRequests(view)) {
      for (const auto& pool : view.mPools) {
        owners[pool].insert(owner->second);
      }
    }
  }
  for (const auto& [pool, vms] : owners) {
    mPoolOwners[pool].assign(vms.begin(), vms.end());
  }
}

std::vector<policy::upstream_view>
owner_map::OwnedUpstreams() const
{
  std::vector<policy::upstream_view> own;
  std::ranges::copy_if(
    mUpstreams, std::back_inserter(own), [&](const auto& aView) {
      return OwnerOf(aView.mId) == std::optional(mBoard.mSelf.mVm);
    });
  return own;
}

std::optional<vm_id>
owner_map::OwnerOf(const upstream_id& aUpstream) const
{
  const auto found = mOwners.find(aUpstream);
  return found == mOwners.end() ? std::nullopt : std::optional(found->second);
}

unsigned
owner_map::SentTo(const vm_id& aOwner,
                  std::string_view aPool,
                  steady_time aLoadReceivedAt) const
{
  const auto found = mSent.find({ aOwner, std::string(aPool) });
  return found != mSent.end() &&
             found->second.mLoadReceivedAt == aLoadReceivedAt
           ? found->second.mSent
           : 0;
}

void
owner_map::NoteSent(const vm_id& aOwner, std::string_view aPool)
{
  const auto found = mBoard.mMembers.find(aOwner);
  if (found == mBoard.mMembers.end()) {
    return;
  }
  auto& count = mSent[{ aOwner, std::string(aPool) }];
  if (count.mLoadReceivedAt != found->second.mLastHeard) {
    count = { found->second.mLastHeard, 0 };
  }
  ++count.mSent;
}

owner_map::owner_score
owner_map::ScoreOf(const vm_id& aOwner,
                   std::string_view aPool,
                   const std::vector<pool_load>& aOwnLoads) const
{
  owner_score score;
  score.mOwner = aOwner;
  score.mIsSelf = aOwner == mBoard.mSelf.mVm;
  const auto found = mBoard.mMembers.find(aOwner);
  if (found == mBoard.mMembers.end()) {
    return score;
  }
  const auto& entry = found->second;
  score.mSameDataCentre = entry.mDataCentre == mBoard.mDataCentre;
  const auto* load = FindLoad(score.mIsSelf ? aOwnLoads : entry.mPools, aPool);
  // Requests that this router has sent to itself are already part of its own
  // loads. The loads of another owner include them only from its next heartbeat
  // on.
  const auto sent = score.mIsSelf ? 0 : SentTo(aOwner, aPool, entry.mLastHeard);
  const auto slots = load ? load->mSlots : 0;
  const auto taken = (load ? load->mOutstanding + load->mQueued : 0) + sent;
  score.mHasFreeSlot = taken < slots;
  score.mLoad = static_cast<double>(taken) / std::max(1U, slots);
  return score;
}

std::vector<owner_map::owner_score>
owner_map::Score(std::string_view aPool,
                 const std::set<vm_id>& aTried,
                 const std::vector<pool_load>& aOwnLoads) const
{
  std::vector<owner_score> scores;
  const auto owners = mPoolOwners.find(aPool);
  if (owners == mPoolOwners.end()) {
    return scores;
  }
  for (const auto& owner : owners->second) {
    if (!aTried.contains(owner)) {
      scores.push_back(ScoreOf(owner, aPool, aOwnLoads));
    }
  }
  return scores;
}

std::size_t
owner_map::RandomIndex(std::size_t aSize)
{
  return static_cast<std::size_t>(mRandom() % aSize);
}

std::optional<vm_id>
owner_map::PickOwner(std::string_view aPool,
                     const std::set<vm_id>& aTried,
                     const std::vector<pool_load>& aOwnLoads)
{
  auto scores = Score(aPool, aTried, aOwnLoads);
  if (scores.empty()) {
    return std::nullopt;
  }
  // Lower ranks come first.
  const auto rank = [](const owner_score& aScore) {
    if (!aScore.mHasFreeSlot) {
      return 3;
    }
    return aScore.mIsSelf ? 0 : aScore.mSameDataCentre ? 1 : 2;
  };
  const auto best = rank(*std::ranges::min_element(scores, {}, rank));
  std::erase_if(
    scores, [&](const owner_score& aScore) { return rank(aScore) != best; });
  const auto& first = scores[RandomIndex(scores.size())];
  const auto& second = scores[RandomIndex(scores.size())];
  return first.mLoad <= second.mLoad ? first.mOwner : second.mOwner;
}

double
owner_map::ReportedLoad(
  const policy::upstream_view& aView,
  const std::function<unsigned(const upstream_id&)>& aRunningCount) const
{
  const auto status = mBoard.mUpstreams.find(aView.mId);
  const auto reported =
    status == mBoard.mUpstreams.end()
      ? 0
      : status->second.mReportedRunning + status->second.mReportedQueued;
  const auto taken = std::max(reported, aRunningCount(aView.mId));
  return static_cast<double>(taken) / std::max(1U, aView.mSlots);
}

std::optional<upstream_id>
owner_map::PickUpstream(
  const policy::queued_request& aRequest,
  const std::function<unsigned(const upstream_id&)>& aRunningCount)
{
  std::vector<const policy::upstream_view*> candidates;
  for (const auto& view : mUpstreams) {
    const bool excluded = std::ranges::find(aRequest.mExcluded, view.mId) !=
                          aRequest.mExcluded.end();
    if (AcceptsRequests(view) && !excluded && Serves(view, aRequest.mPool)) {
      candidates.push_back(&view);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto* first = candidates[RandomIndex(candidates.size())];
  const auto* second = candidates[RandomIndex(candidates.size())];
  return ReportedLoad(*first, aRunningCount) <=
             ReportedLoad(*second, aRunningCount)
           ? first->mId
           : second->mId;
}

} // namespace sapphirespar::router
