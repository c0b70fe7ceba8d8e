// Serialises access to policy::account_limiter with a mutex.
#include "sapphirespar/router/shared_account_limiter.hpp"

namespace sapphirespar::router {
namespace {

using std::chrono::steady_clock;

// Suspected routers count, because they may still be admitting requests.
bool
SharesLimits(const member& aMember)
{
  return aMember.mState == member_state::Live ||
         aMember.mState == member_state::Leaving ||
         aMember.mState == member_state::Suspect;
}

} // namespace

void
shared_account_limiter::Configure(const bundle& aBundle)
{
  const std::lock_guard lock(mMutex);
  mLimiter.Configure(aBundle, steady_clock::now());
}

void
shared_account_limiter::SetPeers(const blackboard& aBoard)
{
  std::vector<policy::peer_demand> peers;
  for (const auto& [vm, item] : aBoard.mMembers) {
    if (vm != aBoard.mSelf.mVm && SharesLimits(item)) {
      peers.push_back({ vm, item.mDemands });
    }
  }
  const std::lock_guard lock(mMutex);
  mLimiter.SetPeers(peers, steady_clock::now());
}

std::vector<account_demand>
shared_account_limiter::Publish()
{
  const std::lock_guard lock(mMutex);
  return mLimiter.Publish(steady_clock::now());
}

std::optional<refusal>
shared_account_limiter::Admit(const account_id& aAccount)
{
  const std::lock_guard lock(mMutex);
  return mLimiter.Admit(aAccount, steady_clock::now());
}

void
shared_account_limiter::Finish(const account_id& aAccount)
{
  const std::lock_guard lock(mMutex);
  mLimiter.Finish(aAccount);
}

} // namespace sapphirespar::router
