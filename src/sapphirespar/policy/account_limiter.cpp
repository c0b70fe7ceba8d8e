// Token buckets whose rates follow the gossiped demand.
#include "sapphirespar/policy/account_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace sapphirespar::policy {

namespace {

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

// Time constant of the measured demand's exponential decay.
constexpr seconds kDemandDecayTime{ 5 };

// Smaller demands, in requests per second, are not published.
constexpr double kMinimumDemand = 0.01;

// Retry time for an account over its concurrency limit, where no time can be
// computed.
constexpr milliseconds kConcurrencyRetryAfter{ 500 };

constexpr milliseconds kMaximumRetryAfter{ 60000 };

double
Decayed(double aRate, steady_time aSince, steady_time aNow)
{
  return aRate * std::exp(-(seconds(aNow - aSince) / kDemandDecayTime));
}

refusal
Refuse(std::string aDetail, milliseconds aRetryAfter)
{
  return { refusal_reason::AccountLimit,
           outcome::NotRun,
           std::move(aDetail),
           aRetryAfter };
}

milliseconds
TimeForTokens(double aTokens, double aRate)
{
  if (aRate <= 0) {
    return kMaximumRetryAfter;
  }
  const seconds time{ aTokens / aRate };
  return std::min(std::chrono::ceil<milliseconds>(time), kMaximumRetryAfter);
}

} // namespace

account_limiter::account_limiter(steady_duration aGossipDelay)
  : mGossipDelay(aGossipDelay)
{
}

void
account_limiter::Configure(const bundle& aBundle, steady_time aNow)
{
  std::erase_if(mAccounts, [&](const auto& aItem) {
    return !FindAccount(aBundle, aItem.first);
  });
  for (const auto& account : aBundle.mAccounts) {
    const auto [found, isNew] = mAccounts.try_emplace(account.mId);
    auto& state = found->second;
    if (!isNew) {
      Refill(state, aNow);
    }
    state.mRate = account.mRequestsPerSecond;
    state.mConcurrency = account.mConcurrency;
    if (isNew) {
      state.mRefilledAt = state.mOfferedAt = aNow;
      state.mShare = EvenShare();
      state.mTargets = { { aNow, state.mShare } };
      state.mTokens = state.mRate * state.mShare * seconds(kBurstTime).count();
    }
  }
}

void
account_limiter::SetPeers(std::span<const peer_demand> aPeers, steady_time aNow)
{
  mRouters = aPeers.size() + 1;
  for (auto& [id, state] : mAccounts) {
    state.mPeerDemand = 0;
  }
  for (const auto& peer : aPeers) {
    for (const auto& demand : peer.mDemands) {
      const auto found = mAccounts.find(demand.mAccount);
      if (found != mAccounts.end()) {
        found->second.mPeerDemand += std::max(demand.mRequestsPerSecond, 0.0);
      }
    }
  }
  for (auto& [id, state] : mAccounts) {
    UpdateTarget(state, aNow);
  }
}

std::optional<refusal>
account_limiter::Admit(const account_id& aAccount, steady_time aNow)
{
  const auto found = mAccounts.find(aAccount);
  if (found == mAccounts.end()) {
    return Refuse("unknown account " + aAccount.mText, milliseconds(0));
  }
  auto& state = found->second;
  state.mOffered = Decayed(state.mOffered, state.mOfferedAt, aNow) +
                   1 / kDemandDecayTime.count();
  state.mOfferedAt = aNow;
  if (state.mInProgress >= state.mConcurrency) {
    return Refuse("account " + aAccount.mText + " has too many in progress",
                  kConcurrencyRetryAfter);
  }
  Refill(state, aNow);
  if (state.mTokens < 1) {
    return Refuse("account " + aAccount.mText + " is over its rate",
                  TimeForTokens(1 - state.mTokens, state.mRate * state.mShare));
  }
  state.mTokens -= 1;
  ++state.mInProgress;
  return std::nullopt;
}

void
account_limiter::Finish(const account_id& aAccount)
{
  const auto found = mAccounts.find(aAccount);
  if (found != mAccounts.end() && found->second.mInProgress > 0) {
    --found->second.mInProgress;
  }
}

std::vector<account_demand>
account_limiter::Publish(steady_time aNow)
{
  std::vector<account_demand> demands;
  for (auto& [id, state] : mAccounts) {
    const auto offered = Decayed(state.mOffered, state.mOfferedAt, aNow);
    state.mPublished = offered < kMinimumDemand ? 0 : offered;
    if (state.mPublished > 0) {
      demands.push_back({ id, state.mPublished });
    }
    UpdateTarget(state, aNow);
  }
  return demands;
}

double
account_limiter::RateOf(const account_id& aAccount, steady_time aNow)
{
  const auto found = mAccounts.find(aAccount);
  if (found == mAccounts.end()) {
    return 0;
  }
  Refill(found->second, aNow);
  return found->second.mRate * found->second.mShare;
}

double
account_limiter::EvenShare() const
{
  return 1.0 / mRouters;
}

// Without any demand all routers get equal shares. Otherwise the part that is
// not spread evenly is shared in proportion to demand.
void
account_limiter::UpdateTarget(account_state& aState, steady_time aNow) const
{
  const auto demand = aState.mPublished + aState.mPeerDemand;
  const auto wanted = demand > 0 ? aState.mPublished / demand : EvenShare();
  const auto share = kEvenFraction * EvenShare() + (1 - kEvenFraction) * wanted;
  aState.mTargets.push_back({ aNow, share });
  Refill(aState, aNow);
}

// Returns the smallest target within the gossip delay, so that the shares of
// all routers never add up to more than the whole rate.
double
account_limiter::ShareAt(account_state& aState, steady_time aNow) const
{
  auto& targets = aState.mTargets;
  const auto recent = std::ranges::upper_bound(
    targets, aNow - mGossipDelay, {}, &share_target::mFrom);
  // The last target set before the delay began was still in force then, so it
  // stays.
  if (recent - targets.begin() > 1) {
    targets.erase(targets.begin(), recent - 1);
  }
  return std::ranges::min(targets, {}, &share_target::mShare).mShare;
}

// Adds the tokens for the time since the last refill. Uses the smaller of the
// shares at both ends, so that a rise never applies to the time before it.
void
account_limiter::Refill(account_state& aState, steady_time aNow) const
{
  const auto share = ShareAt(aState, aNow);
  const auto rate = aState.mRate * std::min(share, aState.mShare);
  const seconds time = aNow - aState.mRefilledAt;
  const auto full = std::max(rate * seconds(kBurstTime).count(), 1.0);
  aState.mTokens = std::min(aState.mTokens + rate * time.count(), full);
  aState.mRefilledAt = aNow;
  aState.mShare = share;
}

} // namespace sapphirespar::policy
