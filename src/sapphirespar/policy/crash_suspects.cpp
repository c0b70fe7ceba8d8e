// Evidence about prompt parts, quarantines and their trials.
#include "sapphirespar/policy/crash_suspects.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphirespar::policy {
namespace {

using std::chrono::milliseconds;

// An upstream that sends bytes within this window after it broke a connection
// has not crashed. Before the window, bytes may still have been on their way;
// after it, the upstream may have restarted.
constexpr milliseconds kSignsFrom{ 50 };
constexpr milliseconds kSignsUntil{ 1000 };

constexpr std::chrono::minutes kRememberCrashes{ 2 };

// Resolution of the survivals of a pool.
constexpr milliseconds kStep{ 20 };

// Number of trials. A part is forgotten after the last of these times without a
// request, and tried anew after it once its trials are used.
constexpr unsigned kTrials = 2;
constexpr std::chrono::hours kForgetAfter{ 1 };

// Longest time that a caller is told to stay away.
constexpr std::chrono::seconds kMaximumRetryAfter{ 60 };

// Bounds of the tables; of the crashes, for each part.
constexpr std::size_t kMaximumParts = 512;
constexpr std::size_t kMaximumCrashes = 16;
constexpr std::size_t kMaximumLosses = 512;
constexpr std::size_t kMaximumPools = 16;
constexpr std::size_t kMaximumQuarantines = 32;

prompt_part
PartOf(const shared_parts& aParts, std::uint64_t aId)
{
  return { std::string(aParts.mPool), aId };
}

// Whether an upstream has broken connections again, rather than others of the
// same time.
bool
IsLater(steady_time aEnded, steady_time aKnown)
{
  return aEnded > aKnown + kSignsUntil;
}

} // namespace

crash_suspects::crash_suspects(trial_hook aMakesTrials, suspect_rules aRules)
  : mMakesTrials(std::move(aMakesTrials))
  , mRules(aRules)
{
}

bool
crash_suspects::OnUpstreamLost(const shared_parts& aParts,
                               std::uint64_t aUpstream,
                               bool aAtBegin,
                               steady_time aNow,
                               std::optional<steady_time> aSent)
{
  const crash seen{ aUpstream, aNow, true, aSent, aParts.mFingerprint };
  AddLoss(aParts.mPool, seen, aNow);
  if (!aAtBegin) {
    return false;
  }
  for (const auto id : aParts.mIds) {
    AddCrash(PartOf(aParts, id), seen, aNow);
  }
  return !aParts.mIds.empty();
}

void
crash_suspects::AddLoss(std::string_view aPool,
                        const crash& aCrash,
                        steady_time aNow)
{
  const auto found = mLosses.find(aCrash.mUpstream);
  if (found == mLosses.end() && mLosses.size() >= kMaximumLosses) {
    return;
  }
  auto& known = mLosses[aCrash.mUpstream];
  if (found == mLosses.end() || IsLater(aCrash.mEnded, known.mEnded)) {
    known = {
      std::string(aPool), aCrash.mEnded, aNow, std::nullopt, aCrash.mOwn
    };
    return;
  }
  // Bytes that came just before were delayed here; the upstream had ended.
  if (aCrash.mOwn && known.mSign && aCrash.mEnded < *known.mSign + kSignsFrom) {
    known.mSign.reset();
  }
  known.mEnded = std::min(known.mEnded, aCrash.mEnded);
  known.mOwn = known.mOwn || aCrash.mOwn;
}

void
crash_suspects::AddCrash(const prompt_part& aPart,
                         const crash& aCrash,
                         steady_time aNow)
{
  AddLoss(aPart.mPool, aCrash, aNow);
  if (!mCrashes.contains(aPart) && mCrashes.size() >= kMaximumParts) {
    return;
  }
  auto& crashes = mCrashes[aPart];
  const auto known =
    std::ranges::find(crashes, aCrash.mUpstream, &crash::mUpstream);
  if (known != crashes.end()) {
    if (!IsLater(aCrash.mEnded, known->mEnded)) {
      known->mOwn = known->mOwn || aCrash.mOwn;
      return;
    }
    crashes.erase(known);
  }
  const auto place =
    std::ranges::upper_bound(crashes, aCrash.mEnded, {}, &crash::mEnded);
  crashes.insert(place, aCrash);
  if (crashes.size() > kMaximumCrashes) {
    crashes.erase(crashes.begin());
  }
}

void
crash_suspects::OnSurvival(const shared_parts& aParts, steady_time aNow)
{
  if (mLosses.empty() && mQuarantines.empty()) {
    return;
  }
  for (const auto id : aParts.mIds) {
    AddSurvival(PartOf(aParts, id), aNow, true);
  }
  AddPoolSurvival(aParts.mPool, aNow, true);
}

void
crash_suspects::AddPoolSurvival(std::string_view aPool,
                                steady_time aAt,
                                bool aOwn)
{
  // Needed only to judge crashes.
  if (mLosses.empty()) {
    return;
  }
  auto pool = mPoolSurvivals.find(aPool);
  if (pool == mPoolSurvivals.end()) {
    if (mPoolSurvivals.size() >= kMaximumPools) {
      return;
    }
    pool = mPoolSurvivals.emplace(aPool, pool_survivals{}).first;
  }
  auto& [times, lastOwn] = pool->second;
  times.insert(aAt - aAt.time_since_epoch() % kStep);
  if (aOwn) {
    lastOwn = aAt;
  }
}

bool
crash_suspects::AnySurvival(std::string_view aPool,
                            steady_time aAfter,
                            steady_time aUntil) const
{
  const auto pool = mPoolSurvivals.find(aPool);
  if (pool == mPoolSurvivals.end()) {
    return false;
  }
  const auto& times = pool->second.mTimes;
  const auto next = times.upper_bound(aAfter);
  return next != times.end() && *next <= aUntil;
}

std::ptrdiff_t
crash_suspects::CountSurvivals(std::string_view aPool, steady_time aAfter) const
{
  const auto pool = mPoolSurvivals.find(aPool);
  if (pool == mPoolSurvivals.end()) {
    return 0;
  }
  const auto& times = pool->second.mTimes;
  return std::distance(times.upper_bound(aAfter), times.end());
}

void
crash_suspects::AddSurvival(const prompt_part& aPart,
                            steady_time aAt,
                            bool aOwn)
{
  const auto held = mQuarantines.find(aPart);
  if (held != mQuarantines.end() && aAt > held->second.mSince) {
    mQuarantines.erase(held);
    mChanges.push_back({ aPart, false, 0, !aOwn });
  } else if (!mCrashes.contains(aPart)) {
    return;
  }
  auto& known = mSurvivals[aPart];
  known.mLast = std::max(known.mLast, aAt);
  if (aOwn) {
    known.mLastOwn = aAt;
  }
}

void
crash_suspects::OnSign(std::uint64_t aUpstream, steady_time aNow)
{
  const auto found = mLosses.find(aUpstream);
  if (found == mLosses.end()) {
    return;
  }
  auto& lost = found->second;
  if (aNow > lost.mEnded + kSignsFrom && aNow < lost.mEnded + kSignsUntil) {
    lost.mSign = std::max(lost.mSign.value_or(aNow), aNow);
  }
}

std::vector<belief_change>
crash_suspects::Update(steady_time aNow, cause_map aRequests)
{
  mKnownRequests = std::move(aRequests);
  Forget(aNow);
  auto next = NextQuarantines(aNow);
  while (!next.empty() && mQuarantines.size() < kMaximumQuarantines) {
    for (auto& change : next) {
      mQuarantines[change.mPart] = { aNow, aNow, 0, {} };
      mChanges.push_back(std::move(change));
    }
    next = NextQuarantines(aNow);
  }
  return std::exchange(mChanges, {});
}

void
crash_suspects::Forget(steady_time aNow)
{
  for (auto& [part, crashes] : mCrashes) {
    std::erase_if(crashes, [&](const crash& aCrash) {
      return aNow - aCrash.mEnded > kRememberCrashes;
    });
  }
  std::erase_if(mCrashes,
                [](const auto& aItem) { return aItem.second.empty(); });
  std::erase_if(mQuarantines, [&](const auto& aItem) {
    const bool forgotten = aNow - aItem.second.mSeen > kForgetAfter;
    if (forgotten) {
      mChanges.push_back({ aItem.first, false, 0, false });
    }
    return forgotten;
  });
  std::erase_if(mLosses, [&](const auto& aItem) {
    return aNow - aItem.second.mEnded > kRememberCrashes;
  });
  for (auto& [pool, survivals] : mPoolSurvivals) {
    auto& times = survivals.mTimes;
    times.erase(times.begin(), times.lower_bound(aNow - kRememberCrashes));
  }
  // Kept while a peer may still report an older quarantine.
  std::erase_if(mSurvivals, [&](const auto& aItem) {
    return aNow - aItem.second.mLast > kRememberCrashes;
  });
}

steady_time
crash_suspects::NextTrial(const quarantine& aQuarantine) const
{
  if (aQuarantine.mTrials == 0) {
    return aQuarantine.mSince + mRules.mFirstTrial;
  }
  if (aQuarantine.mTrials >= kTrials) {
    return aQuarantine.mLastTrial + kForgetAfter;
  }
  return aQuarantine.mLastTrial +
         mRules.mFirstTrial * (1U << aQuarantine.mTrials);
}

std::optional<milliseconds>
crash_suspects::Refuse(const shared_parts& aParts, steady_time aNow)
{
  if (const auto wait = HoldBack(aParts, aNow)) {
    return wait;
  }
  if (mQuarantines.empty()) {
    return std::nullopt;
  }
  std::vector<std::pair<prompt_part, quarantine*>> held;
  for (const auto id : aParts.mIds) {
    const auto part = PartOf(aParts, id);
    const auto found = mQuarantines.find(part);
    if (found != mQuarantines.end()) {
      found->second.mSeen = aNow;
      held.emplace_back(part, &found->second);
    }
  }
  if (held.empty()) {
    return std::nullopt;
  }
  const bool tries = std::ranges::all_of(held, [&](const auto& aItem) {
    return NextTrial(*aItem.second) <= aNow && mMakesTrials(aItem.first);
  });
  if (tries) {
    for (const auto& [part, item] : held) {
      ++item->mTrials;
      item->mLastTrial = aNow;
    }
    return std::nullopt;
  }
  const auto last = std::ranges::max(
    held, {}, [this](const auto& aItem) { return NextTrial(*aItem.second); });
  const auto left =
    std::chrono::duration_cast<milliseconds>(NextTrial(*last.second) - aNow);
  return std::clamp<milliseconds>(
    left, std::chrono::seconds(1), kMaximumRetryAfter);
}

} // namespace sapphirespar::policy
