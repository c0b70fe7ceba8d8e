// Chooses an upstream by load, speed and cached prefix.
#include "sapphirespar/policy/choose_upstream.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace sapphirespar::policy {

namespace {

// Load guard: an upstream is preferred for its cached prefix, or to spread
// requests that must not run twice, only up to this multiple of the mean load.
constexpr double kLoadGuard = 1.25;

// Bounds the effect of a very low reported speed.
constexpr double kMinimumSpeed = 0.01;

double
SpeedOf(const slot_state& aState)
{
  return std::clamp(aState.mView.mRelativeSpeed, kMinimumSpeed, 1.0);
}

bool
IsSlow(const slot_state& aState)
{
  return aState.mView.mState == upstream_state::Slow;
}

steady_duration
ScaledBySpeed(steady_duration aTime, double aSpeed)
{
  return std::chrono::duration_cast<steady_duration>(aTime / aSpeed);
}

bool
MeetsDeadlines(const slot_state& aState, const placement_context& aPlacement)
{
  const auto speed = SpeedOf(aState);
  const auto& expected = aPlacement.mExpected;
  const auto& request = aPlacement.mRequest;
  return aPlacement.mNow + ScaledBySpeed(expected.mFirstToken, speed) <=
           request.mFirstTokenBy &&
         aPlacement.mNow + ScaledBySpeed(expected.mAnswer, speed) <=
           request.mAnswerBy;
}

bool
HasPrefix(const slot_state& aState, std::uint64_t aPrefix)
{
  const auto& cached = aState.mView.mCachedPrefixes;
  return std::ranges::find(cached, aPrefix) != cached.end();
}

double
MeanLoad(const slot_members& aMembers)
{
  const auto sum = std::transform_reduce(
    aMembers.begin(),
    aMembers.end(),
    0.0,
    std::plus<>{},
    [](const slot_state* aState) { return LoadOf(*aState); });
  return sum / aMembers.size();
}

const slot_state*
LeastLoaded(const slot_members& aMembers)
{
  const auto found = std::ranges::min_element(
    aMembers, {}, [](const slot_state* aState) { return LoadOf(*aState); });
  return found == aMembers.end() ? nullptr : *found;
}

// Returns the least loaded upstream that has the prefix cached, has a free slot
// and is within the load guard; null if there is none.
const slot_state*
LeastLoadedWithPrefix(const slot_members& aMembers, std::uint64_t aPrefix)
{
  if (aPrefix == 0) {
    return nullptr;
  }
  const auto limit = kLoadGuard * MeanLoad(aMembers);
  slot_members holders;
  std::ranges::copy_if(
    aMembers, std::back_inserter(holders), [&](const slot_state* aState) {
      return LoadOf(*aState) <= limit && FreeSlots(*aState) > 0 &&
             HasPrefix(*aState, aPrefix);
    });
  return LeastLoaded(holders);
}

// Requests that must not run twice are lost if their upstream crashes, so they
// are spread over the upstreams within the load guard. aFree must not be empty.
const slot_state*
FewestRunsOnce(const slot_members& aFree, double aMeanLoad)
{
  const auto limit = kLoadGuard * aMeanLoad;
  return *std::ranges::min_element(aFree, {}, [&](const slot_state* aState) {
    const auto load = LoadOf(*aState);
    return std::tuple(load > limit, aState->mRunsOnce, load);
  });
}

} // namespace

double
LoadOf(const slot_state& aState)
{
  const double work = aState.mRunning + aState.mView.mExternalLoad + 1;
  return work / (std::max(aState.mView.mSlots, 1u) * SpeedOf(aState));
}

const slot_state*
ChooseUpstream(const placement_context& aPlacement)
{
  slot_members usable;
  std::ranges::copy_if(aPlacement.mMembers,
                       std::back_inserter(usable),
                       [&](const slot_state* aState) {
                         return MayServe(*aState, aPlacement.mRequest);
                       });
  if (!std::ranges::all_of(
        usable, [](const slot_state* aState) { return IsSlow(*aState); })) {
    std::erase_if(usable, [&](const slot_state* aState) {
      return IsSlow(*aState) && !MeetsDeadlines(*aState, aPlacement);
    });
  }
  if (const auto* holder =
        LeastLoadedWithPrefix(usable, aPlacement.mRequest.mPrefixHash)) {
    return holder;
  }
  const auto meanLoad = MeanLoad(usable);
  std::erase_if(
    usable, [](const slot_state* aState) { return FreeSlots(*aState) == 0; });
  return aPlacement.mRequest.mRunsOnce && !usable.empty()
           ? FewestRunsOnce(usable, meanLoad)
           : LeastLoaded(usable);
}

} // namespace sapphirespar::policy
