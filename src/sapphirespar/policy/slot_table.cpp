// Counts the slots of upstreams and tracks their holders.
#include "sapphirespar/policy/slot_table.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sapphirespar::policy {

namespace {

// A probing upstream gets one request at a time.
constexpr unsigned kProbingSlots = 1;

unsigned
SlotsOf(const slot_state& aState)
{
  const auto slots = aState.mView.mSlots;
  return aState.mView.mState == upstream_state::Probing
           ? std::min(kProbingSlots, slots)
           : slots;
}

} // namespace

unsigned
FreeSlots(const slot_state& aState)
{
  const auto slots = SlotsOf(aState);
  if (slots == 0) {
    return 0;
  }
  const auto external = std::min(aState.mView.mExternalLoad, slots - 1);
  const auto taken = aState.mRunning + external;
  return taken < slots ? slots - taken : 0;
}

bool
CanPreempt(const slot_state& aState)
{
  return aState.mView.mCanPause && aState.mRunning <= SlotsOf(aState);
}

bool
TakesWork(const slot_state& aState)
{
  return aState.mListed && aState.mView.mState != upstream_state::Ejected &&
         aState.mView.mState != upstream_state::Leaving;
}

bool
MayServe(const slot_state& aState, const queued_request& aRequest)
{
  return TakesWork(aState) &&
         std::ranges::find(aRequest.mExcluded, aState.mView.mId) ==
           aRequest.mExcluded.end();
}

void
slot_table::SetUpstreams(std::span<const upstream_view> aUpstreams)
{
  for (auto& [id, state] : mUpstreams) {
    state.mListed = false;
  }
  for (const auto& view : aUpstreams) {
    auto& state = mUpstreams[view.mId];
    state.mView = view;
    state.mListed = true;
  }
  std::erase_if(mUpstreams, [](const auto& aItem) {
    const auto& state = aItem.second;
    return !state.mListed && state.mRunning + state.mPaused == 0;
  });
  IndexPools();
}

void
slot_table::IndexPools()
{
  mPools.clear();
  for (auto& [id, state] : mUpstreams) {
    if (!state.mListed) {
      continue;
    }
    for (const auto& pool : state.mView.mPools) {
      mPools[pool].push_back(&state);
    }
  }
}

std::span<slot_state* const>
slot_table::Members(std::string_view aPool) const
{
  const auto found = mPools.find(aPool);
  if (found == mPools.end()) {
    return {};
  }
  return found->second;
}

bool
slot_table::CanServe(const queued_request& aRequest) const
{
  // An ejected upstream may recover in time; a leaving one will not return.
  return std::ranges::any_of(
    Members(aRequest.mPool), [&](const slot_state* aState) {
      return aState->mView.mState != upstream_state::Leaving &&
             std::ranges::find(aRequest.mExcluded, aState->mView.mId) ==
               aRequest.mExcluded.end();
    });
}

void
slot_table::Take(queued_request aRequest,
                 const upstream_id& aUpstream,
                 steady_time aNow)
{
  const auto [found, isNew] = mUpstreams.try_emplace(aUpstream);
  if (isNew) {
    found->second.mView.mId = aUpstream;
    found->second.mListed = false;
  }
  ++found->second.mRunning;
  found->second.mRunsOnce += aRequest.mRunsOnce;
  const auto id = aRequest.mId;
  mHolders.insert_or_assign(
    id, slot_holder{ std::move(aRequest), &found->second, aNow, aNow });
}

std::optional<slot_holder>
slot_table::Release(const request_id& aRequest)
{
  const auto found = mHolders.find(aRequest);
  if (found == mHolders.end()) {
    return std::nullopt;
  }
  auto holder = std::move(found->second);
  mHolders.erase(found);
  holder.mUpstream->mRunsOnce -= holder.mRequest.mRunsOnce;
  --(holder.mPaused ? holder.mUpstream->mPaused : holder.mUpstream->mRunning);
  return holder;
}

steady_duration
slot_holder::HeldTime(steady_time aNow) const
{
  const auto pause = mPaused ? aNow - mPausedAt : steady_duration::zero();
  return aNow - mStarted - mPausedTime - pause;
}

void
slot_table::SetPaused(slot_holder& aHolder, bool aPaused, steady_time aNow)
{
  if (aHolder.mPaused == aPaused) {
    return;
  }
  aHolder.mPaused = aPaused;
  if (aPaused) {
    aHolder.mPausedAt = aNow;
  } else {
    aHolder.mPausedTime += aNow - aHolder.mPausedAt;
    aHolder.mRunningSince = aNow;
  }
  auto& state = *aHolder.mUpstream;
  --(aPaused ? state.mRunning : state.mPaused);
  ++(aPaused ? state.mPaused : state.mRunning);
}

std::vector<slot_holder*>
slot_table::PausedAt(const slot_state& aState)
{
  std::vector<slot_holder*> paused;
  if (aState.mPaused == 0) {
    return paused;
  }
  for (auto& [id, holder] : mHolders) {
    if (holder.mUpstream == &aState && holder.mPaused) {
      paused.push_back(&holder);
    }
  }
  std::ranges::sort(paused, {}, [](const slot_holder* aHolder) {
    return std::tie(aHolder->mRequest.mAnswerBy, aHolder->mRequest.mId);
  });
  return paused;
}

std::vector<slot_holder*>
slot_table::PausedAtUnlisted()
{
  std::vector<slot_holder*> paused;
  for (const auto& [id, state] : mUpstreams) {
    if (!state.mListed) {
      std::ranges::copy(PausedAt(state), std::back_inserter(paused));
    }
  }
  return paused;
}

slot_holder*
slot_table::Find(const request_id& aRequest)
{
  const auto found = mHolders.find(aRequest);
  return found == mHolders.end() ? nullptr : &found->second;
}

std::vector<scheduler_counts>
slot_table::Counts() const
{
  std::vector<scheduler_counts> counts;
  for (const auto& [pool, members] : mPools) {
    auto& count = counts.emplace_back();
    count.mPool = pool;
    for (const auto* state : members) {
      count.mSlots += TakesWork(*state) ? state->mView.mSlots : 0;
      count.mOutstanding += state->mRunning;
    }
  }
  return counts;
}

} // namespace sapphirespar::policy
