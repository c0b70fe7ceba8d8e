// Token buckets whose rates follow the gossiped demand.
#include "sapphirespar/policy/account_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace sapphirespar::policy {

namespace {

using std::chrono::milliseconds;
using seconds = std::chrono::duration<double>;

// Memory of the measured demand.
constexpr seconds kDemandMemory{ 5 };

// Less than this is not worth a message.
constexpr double kLeastDemand = 0.01;

// A caller over its concurrency limit may find room after this.
constexpr milliseconds kConcurrencyRetry{ 500 };

constexpr milliseconds kLongestRetry{ 60000 };

double
Faded(double aRate, steady_time aSince, steady_time aNow)
{
  return aRate * std::exp(-(seconds(aNow - aSince) / kDemandMemory));
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
    return kLongestRetry;
  }
  const seconds time{ aTokens / aRate };
  return std::min(std::chrono::ceil<milliseconds>(time), kLongestRetry);
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
      state.mFilledAt = state.mOfferedAt = aNow;
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
    state.mOthers = 0;
  }
  for (const auto& peer : aPeers) {
    for (const auto& demand : peer.mDemands) {
      const auto found = mAccounts.find(demand.mAccount);
      if (found != mAccounts.end()) {
        found->second.mOthers += std::max(demand.mRequestsPerSecond, 0.0);
      }
    }
  }
  for (auto& [id, state] : mAccounts) {
    Retarget(state, aNow);
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
  state.mOffered =
    Faded(state.mOffered, state.mOfferedAt, aNow) + 1 / kDemandMemory.count();
  state.mOfferedAt = aNow;
  if (state.mInProgress >= state.mConcurrency) {
    return Refuse("account " + aAccount.mText + " has too many in progress",
                  kConcurrencyRetry);
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
    const auto offered = Faded(state.mOffered, state.mOfferedAt, aNow);
    state.mPublished = offered < kLeastDemand ? 0 : offered;
    if (state.mPublished > 0) {
      demands.push_back({ id, state.mPublished });
    }
    Retarget(state, aNow);
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

// Without any demand each router has the same share; with demand, what is not
// spread evenly goes where the demand is.
void
account_limiter::Retarget(account_state& aState, steady_time aNow) const
{
  const auto demand = aState.mPublished + aState.mOthers;
  const auto wanted = demand > 0 ? aState.mPublished / demand : EvenShare();
  const auto share = kEvenPart * EvenShare() + (1 - kEvenPart) * wanted;
  aState.mTargets.push_back({ aNow, share });
  Refill(aState, aNow);
}

// Returns the least share that was wanted within the gossip delay.
double
account_limiter::ShareAt(account_state& aState, steady_time aNow) const
{
  auto& targets = aState.mTargets;
  const auto recent = std::ranges::upper_bound(
    targets, aNow - mGossipDelay, {}, &share_target::mFrom);
  // The last one before that was still in force at its start.
  if (recent - targets.begin() > 1) {
    targets.erase(targets.begin(), recent - 1);
  }
  return std::ranges::min(targets, {}, &share_target::mShare).mShare;
}

// Adds the tokens of the time since the last refill. The smaller of the shares
// at its ends counts, so that a rise never counts for the time before it.
void
account_limiter::Refill(account_state& aState, steady_time aNow) const
{
  const auto share = ShareAt(aState, aNow);
  const auto rate = aState.mRate * std::min(share, aState.mShare);
  const seconds time = aNow - aState.mFilledAt;
  const auto full = std::max(rate * seconds(kBurstTime).count(), 1.0);
  aState.mTokens = std::min(aState.mTokens + rate * time.count(), full);
  aState.mFilledAt = aNow;
  aState.mShare = share;
}

} // namespace sapphirespar::policy
