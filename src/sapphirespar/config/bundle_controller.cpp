// The bundle controller: platform watch and poll, and exchange with peers.
#include "sapphirespar/config/bundle_controller.hpp"

#include "bundle_controller_state.hpp"
#include "sapphirespar/base/log.hpp"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace sapphirespar {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kBundleKind = "bundle";
constexpr std::string_view kCurrentName = "current";
// How often the roles are looked at again as members come and go.
constexpr milliseconds kRolePeriod{ 1000 };
// A watch that is silent this long after its wait is taken for broken.
constexpr milliseconds kWatchGrace{ 5000 };

std::uint64_t
WatcherWeight(const vm_id& aVm)
{
  return XXH3_64bits_withSeed(
    aVm.mText.data(), aVm.mText.size(), kBundleKind.size());
}

bool
IsReachable(const member& aMember)
{
  return aMember.mState == member_state::Live ||
         aMember.mState == member_state::Leaving;
}

} // namespace

object_key
CurrentBundleKey()
{
  return { std::string(kBundleKind), std::string(kCurrentName) };
}

object_key
FullBundleKey(std::string aName)
{
  return { "bundle_whole", std::move(aName) };
}

milliseconds
bundle_controller::state::Jittered(milliseconds aDelay)
{
  std::uniform_int_distribution<std::int64_t> pick(aDelay.count() / 2,
                                                   aDelay.count() * 3 / 2);
  return milliseconds(pick(mRandom));
}

void
bundle_controller::state::Start()
{
  mBackoff = mSettings.mRetryAfter;
  mWasWatcher = IsWatcher();
  mRoleTimer = mTimers.Every(kRolePeriod, [this] { OnRoleTick(); });
  AskAnyPeer();
  Call();
}

bool
bundle_controller::state::IsWatcher() const
{
  const auto own = WatcherWeight(mBoard.mSelf.mVm);
  const auto ahead =
    std::ranges::count_if(mBoard.mMembers, [&](const auto& aItem) {
      const auto& other = aItem.second;
      return aItem.first != mBoard.mSelf.mVm &&
             other.mDataCentre == mBoard.mDataCentre &&
             other.mState == member_state::Live &&
             WatcherWeight(aItem.first) > own;
    });
  return static_cast<unsigned>(ahead) < mSettings.mWatchers;
}

// A router that has become a watcher does not wait for its next poll, and one
// without a bundle keeps asking peers.
void
bundle_controller::state::OnRoleTick()
{
  const bool isWatcher = IsWatcher();
  if (isWatcher && !mWasWatcher && mAwaited == 0) {
    Next(Jittered(mSettings.mRetryAfter));
  }
  mWasWatcher = isWatcher;
  if (!mBoard.mBundle && mTimers.Now() >= mAskedUntil) {
    AskAnyPeer();
  }
}

void
bundle_controller::state::Call()
{
  if (mAwaited != 0) {
    return;
  }
  if (!mWatchFrom) {
    List();
  } else {
    // Without a wait a watch is a cheap "has it changed?".
    Watch(IsWatcher() ? mSettings.mWatchWait : milliseconds::zero());
  }
}

void
bundle_controller::state::Expect(milliseconds aWithin)
{
  mAwaited = ++mLastCall;
  mDeadlineTimer =
    mTimers.After(aWithin + kWatchGrace, [this, call = mAwaited] {
      if (IsExpected(call)) {
        LogEvent(log_level::Warning, "bundle_watch_silent");
        mWatchFrom.reset();
        Retry();
      }
    });
}

bool
bundle_controller::state::IsExpected(std::uint64_t aCall)
{
  if (aCall != mAwaited) {
    return false;
  }
  mAwaited = 0;
  return true;
}

void
bundle_controller::state::List()
{
  Expect(milliseconds::zero());
  mPlatform.List(
    std::string(kBundleKind),
    [weak = weak_from_this(), call = mAwaited](const list_answer& aAnswer) {
      if (const auto self = weak.lock()) {
        self->OnList(call, aAnswer);
      }
    });
}

void
bundle_controller::state::OnList(std::uint64_t aCall,
                                 const list_answer& aAnswer)
{
  if (!IsExpected(aCall)) {
    return;
  }
  if (aAnswer.mStatus != platform_status::Ok) {
    return Retry();
  }
  mWatchFrom = aAnswer.mVersion;
  OnObjects(aAnswer);
  Continue();
}

void
bundle_controller::state::Watch(milliseconds aWait)
{
  Expect(aWait);
  mPlatform.Watch(
    std::string(kBundleKind),
    *mWatchFrom,
    aWait,
    [weak = weak_from_this(), call = mAwaited](const list_answer& aAnswer) {
      if (const auto self = weak.lock()) {
        self->OnWatch(call, aAnswer);
      }
    });
}

void
bundle_controller::state::OnWatch(std::uint64_t aCall,
                                  const list_answer& aAnswer)
{
  if (!IsExpected(aCall)) {
    return;
  }
  if (aAnswer.mStatus == platform_status::Compacted) {
    mWatchFrom.reset();
  }
  if (aAnswer.mStatus != platform_status::Ok) {
    return Retry();
  }
  mWatchFrom = std::max(*mWatchFrom, aAnswer.mVersion);
  OnObjects(aAnswer);
  Continue();
}

void
bundle_controller::state::OnObjects(const list_answer& aAnswer)
{
  const auto current = std::ranges::find(
    aAnswer.mObjects, CurrentBundleKey(), &platform_object::mKey);
  if (current != aAnswer.mObjects.end() && !current->mDeleted) {
    Take(current->mValue, bundle_source::Platform);
  }
}

// Watchers go on at once; the others come back with their poll period.
void
bundle_controller::state::Continue()
{
  mBackoff = mSettings.mRetryAfter;
  if (IsWatcher()) {
    Call();
  } else {
    Next(Jittered(mBoard.mBundle ? mSettings.mPollPeriod
                                 : mSettings.mInitialPollPeriod));
  }
}

void
bundle_controller::state::Retry()
{
  Next(Jittered(mBackoff));
  mBackoff = std::min(2 * mBackoff, mSettings.mRetryLimit);
}

void
bundle_controller::state::Next(milliseconds aDelay)
{
  mNextTimer = mTimers.After(aDelay, [this] { Call(); });
}

void
bundle_controller::state::OnHeartbeat(const heartbeat& aHeartbeat)
{
  if (aHeartbeat.mBundle > Version() && mTimers.Now() >= mAskedUntil) {
    Ask(aHeartbeat.mSender.mVm);
  }
}

void
bundle_controller::state::Ask(const vm_id& aPeer)
{
  mAskedUntil = mTimers.Now() + mSettings.mPeerTimeout;
  mNetwork.Send(aPeer, bundle_request{ Version() });
}

void
bundle_controller::state::AskAnyPeer()
{
  std::vector<vm_id> peers;
  for (const auto& [vm, item] : mBoard.mMembers) {
    if (vm != mBoard.mSelf.mVm && item.mState != member_state::Dead) {
      peers.push_back(vm);
    }
  }
  if (!peers.empty()) {
    std::uniform_int_distribution<std::size_t> pick(0, peers.size() - 1);
    Ask(peers[pick(mRandom)]);
  }
}

void
bundle_controller::state::OnRequest(const process_id& aFrom,
                                    const bundle_request& aRequest)
{
  if (mBoard.mBundle && Version() > aRequest.mHave) {
    const bool deltaDoes =
      mDeltaBase != bundle_version{} && aRequest.mHave == mDeltaBase;
    const auto form =
      deltaDoes ? bundle_form::WithoutBytes : bundle_form::Whole;
    mNetwork.Send(aFrom.mVm,
                  bundle_push{ Version(), Serialize(mInForce, form) });
  }
}

// A push without a bundle only tells that the sender has that version.
void
bundle_controller::state::OnPush(const process_id& aFrom,
                                 const bundle_push& aPush)
{
  if (aPush.mVersion <= Version()) {
    return;
  }
  if (aPush.mSignedBundle.empty()) {
    Ask(aFrom.mVm);
  } else {
    mAskedFor = aFrom.mVm;
    Take(aPush.mSignedBundle, bundle_source::Peer);
  }
}

// Tells the version to the routers that have not said yet that they have it.
void
bundle_controller::state::TellDataCentre()
{
  for (const auto& [vm, item] : mBoard.mMembers) {
    if (vm != mBoard.mSelf.mVm && IsReachable(item) &&
        item.mDataCentre == mBoard.mDataCentre && item.mBundle < Version()) {
      mNetwork.Send(vm, bundle_push{ Version(), {} });
    }
  }
}

bundle_controller::bundle_controller(platform_api& aPlatform,
                                     peer_network& aNetwork,
                                     timer_service& aTimers,
                                     blackboard& aBoard,
                                     bundle_controller_settings aSettings,
                                     accepted_hook aOnAccepted)
  : mState(std::make_shared<state>(aPlatform,
                                   aNetwork,
                                   aTimers,
                                   aBoard,
                                   std::move(aSettings),
                                   std::move(aOnAccepted)))
{
}

bundle_controller::~bundle_controller() = default;

void
bundle_controller::Start()
{
  mState->Start();
}

void
bundle_controller::Refresh()
{
  mState->AskAnyPeer();
  mState->Call();
}

bool
bundle_controller::OnPeerMessage(const process_id& aFrom,
                                 const peer_message& aMessage)
{
  if (const auto* request = std::get_if<bundle_request>(&aMessage)) {
    mState->OnRequest(aFrom, *request);
    return true;
  }
  if (const auto* push = std::get_if<bundle_push>(&aMessage)) {
    mState->OnPush(aFrom, *push);
    return true;
  }
  return false;
}

void
bundle_controller::OnHeartbeat(const heartbeat& aHeartbeat)
{
  mState->OnHeartbeat(aHeartbeat);
}

bool
bundle_controller::IsWatcher() const
{
  return mState->IsWatcher();
}

std::uint64_t
bundle_controller::Refused() const
{
  return mState->mRefused;
}

} // namespace sapphirespar
