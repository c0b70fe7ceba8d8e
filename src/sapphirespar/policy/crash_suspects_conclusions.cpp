// Conclusions from the evidence: which parts explain the crashes.
#include "sapphirespar/policy/crash_suspects.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphirespar::policy {
namespace {

using std::chrono::milliseconds;

// A part is quarantined after the first number of crashes if no other part
// explains as many, and after the second in any case. Until then the repeats of
// one request, which share all parts, can't be told apart.
constexpr unsigned kCrashes = 3;
constexpr unsigned kTiedCrashes = 5;

// A crash is worth one with this many parts at hand, and less with more.
constexpr double kPartsOfOne = 2;

// Requests with a part are not repeated after this many crashes.
constexpr unsigned kCrashesWithoutRepeat = 2;

// Upstreams that end within this time of the first end together. So many of
// them, unless one part explains it, have another cause.
constexpr milliseconds kTogether{ 100 };
constexpr std::size_t kCommonCause = 3;

// A crash counts after this time without a sign of the upstream, which includes
// the time that the signs take from other gateways.
constexpr milliseconds kConfirmAfter{ 300 };

// Time after a crash for which requests are held back: until it is confirmed
// and the next update has drawn conclusions.
constexpr milliseconds kHoldBackFor{ 500 };
constexpr milliseconds kShortestHoldBack{ 100 };

} // namespace

crash_suspects::cause_map
crash_suspects::Causes() const
{
  cause_map causes;
  for (const auto& [part, held] : mQuarantines) {
    const auto found = mCrashes.find(part);
    if (found != mCrashes.end()) {
      for (const auto& crash : found->second) {
        causes.emplace(crash.mUpstream, part.mId);
      }
    }
  }
  return causes;
}

std::vector<crash_suspects::cluster>
crash_suspects::Clusters(std::string_view aPool, steady_time aLatest) const
{
  const auto explained = Causes();
  std::map<std::uint64_t, unsigned> parts;
  for (const auto& [part, crashes] : mCrashes) {
    for (const auto& crash : crashes) {
      parts[crash.mUpstream] += part.mPool == aPool ? 1 : 0;
    }
  }
  std::vector<std::pair<steady_time, std::uint64_t>> ends;
  for (const auto& [upstream, lost] : mLosses) {

    if (lost.mPool == aPool && lost.mLearned <= aLatest && !lost.mSign &&
        !explained.contains(upstream)) {
      ends.emplace_back(lost.mEnded, upstream);
    }
  }
  std::ranges::sort(ends);
  std::vector<cluster> clusters;
  std::optional<steady_time> first;
  for (const auto& [ended, upstream] : ends) {
    if (!first || ended > *first + kTogether) {
      clusters.emplace_back();
      first = ended;
    }
    clusters.back().push_back({ upstream, parts[upstream] });
  }
  return clusters;
}

unsigned
crash_suspects::CountInTurn(std::span<const crash> aCrashes)
{
  unsigned count = 0;
  steady_time last{};
  for (const auto& crash : aCrashes) {
    if (count == 0 || (crash.mSent && *crash.mSent >= last)) {
      ++count;
      last = crash.mEnded;
    }
  }
  return count;
}

void
crash_suspects::AddCrashes(std::span<const crash> aCrashes, chain& aChain) const
{
  for (const auto& crash : aCrashes) {
    aChain.mUpstreams.insert(crash.mUpstream);
    const auto known = mKnownRequests.find(crash.mUpstream);
    const auto request =
      known == mKnownRequests.end() ? crash.mFingerprint : known->second;
    aChain.mRequests.insert(request == 0 ? crash.mUpstream : request);
  }
}

crash_suspects::chain
crash_suspects::ChainOf(const prompt_part& aPart,
                        std::span<const cluster> aClusters) const
{
  chain result;
  const auto found = mCrashes.find(aPart);
  if (found == mCrashes.end()) {
    return result;
  }
  const auto survived = mSurvivals.find(aPart);
  const auto cleared =
    survived == mSurvivals.end() ? steady_time{} : survived->second.mLast;
  auto last = cleared;
  double explained = 0;
  double unexplained = 0;
  for (const auto& together : aClusters) {
    std::vector<crash> here;
    double evidence = 0;
    for (const auto& [upstream, parts] : together) {
      const auto crash =
        std::ranges::find(found->second, upstream, &crash::mUpstream);
      if (crash != found->second.end() && crash->mEnded > cleared) {
        here.push_back(*crash);
        evidence = std::max(evidence, std::min(1.0, kPartsOfOne / parts));
      }
    }
    if (here.empty() ||
        static_cast<double>(here.size()) <
          mRules.mExplainedShare * static_cast<double>(together.size())) {
      const bool counts =
        together.size() < kCommonCause && !result.mUpstreams.empty();
      unexplained += counts ? 1 : 0;
      continue;
    }
    ++explained;
    if (mRules.mCountsEach) {
      const bool common = together.size() >= kCommonCause;
      result.mSince =
        result.mUpstreams.empty() ? here.front().mEnded : result.mSince;
      result.mCrashes +=
        common ? CountInTurn(here) : static_cast<unsigned>(here.size());
      AddCrashes(here, result);
      continue;
    }
    // Every survival after the part's own last one is of requests without it.
    // Upstreams that end while the pool gives no answers count once.
    const bool first = result.mUpstreams.empty();
    const auto next = std::ranges::find_if(here, [&](const crash& aCrash) {
      return first || AnySurvival(aPart.mPool, last, aCrash.mEnded);
    });
    if (next != here.end()) {
      last = next->mEnded;
      result.mSince = first ? last : result.mSince;
      ++result.mCrashes;
      result.mEvidence += evidence;
    }
    AddCrashes(here, result);
  }
  if (explained < mRules.mExplainedShare * (explained + unexplained)) {
    return {};
  }
  return result;
}

bool
crash_suspects::Suffices(std::string_view aPool, const chain& aAgainst) const
{
  if (aAgainst.mCrashes < kCrashes || aAgainst.mEvidence < mRules.mEvidence ||
      aAgainst.mRequests.size() < mRules.mRequests) {
    return false;
  }
  const bool beyondDoubt =
    mRules.mCountsEach && aAgainst.mCrashes >= kTiedCrashes;
  return beyondDoubt ||
         CountSurvivals(aPool, aAgainst.mSince) >= mRules.mSurvivals;
}

std::vector<belief_change>
crash_suspects::NextQuarantines(steady_time aNow) const
{
  std::map<std::string_view, std::vector<cluster>> clusters;
  std::map<prompt_part, chain> chains;
  for (const auto& [part, crashes] : mCrashes) {
    if (crashes.size() >= kCrashes && !mQuarantines.contains(part)) {
      auto& ends = clusters[part.mPool];
      if (ends.empty()) {
        ends = Clusters(part.mPool, aNow - kConfirmAfter);
      }
      auto against = ChainOf(part, ends);
      if (Suffices(part.mPool, against)) {
        chains.emplace(part, std::move(against));
      }
    }
  }
  const auto best = std::ranges::max_element(chains, {}, [](const auto& aItem) {
    return std::pair(aItem.second.mUpstreams.size(), aItem.second.mCrashes);
  });
  if (best == chains.end()) {
    return {};
  }
  const auto& against = best->second;
  std::vector<belief_change> tied;
  for (const auto& [part, other] : chains) {
    if (other.mUpstreams == against.mUpstreams) {
      tied.push_back({ part, true, other.mCrashes, false });
    }
  }
  if (tied.size() > 1 && against.mCrashes < kTiedCrashes) {
    return {};
  }
  return tied;
}

std::optional<milliseconds>
crash_suspects::HoldBack(const shared_parts& aParts, steady_time aNow) const
{
  if (!mRules.mCountsEach) {
    return std::nullopt;
  }
  for (const auto id : aParts.mIds) {
    const prompt_part part{ std::string(aParts.mPool), id };
    const auto found = mCrashes.find(part);
    if (found == mCrashes.end() || found->second.size() < kCrashes) {
      continue;
    }
    const auto left = std::chrono::ceil<milliseconds>(
      found->second.back().mEnded + kHoldBackFor - aNow);
    if (left > milliseconds::zero() &&
        ChainOf(part, Clusters(aParts.mPool, aNow)).mCrashes >= kCrashes) {
      return std::max(left, kShortestHoldBack);
    }
  }
  return std::nullopt;
}

bool
crash_suspects::MayRepeat(const shared_parts& aParts, steady_time aNow) const
{
  if (mCrashes.empty() && mQuarantines.empty()) {
    return true;
  }
  const auto clusters = Clusters(aParts.mPool, aNow);
  return std::ranges::none_of(aParts.mIds, [&](std::uint64_t aId) {
    const prompt_part part{ std::string(aParts.mPool), aId };
    return mQuarantines.contains(part) ||
           ChainOf(part, clusters).mCrashes >= kCrashesWithoutRepeat;
  });
}

} // namespace sapphirespar::policy
