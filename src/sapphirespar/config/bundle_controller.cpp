// Implements the bundle controller's calls to the platform and its exchange
// with peers.
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
// Interval at which a router checks whether it is a watcher, because the role
// depends on the members.
constexpr milliseconds kRolePeriod{ 1000 };

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

// Returns the object of the current bundle, or null.
const platform_object*
FindCurrent(const list_answer& aAnswer)
{
  const auto found = std::ranges::find(
    aAnswer.mObjects, CurrentBundleKey(), &platform_object::mKey);
  return found == aAnswer.mObjects.end() || found->mDeleted ? nullptr : &*found;
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
  mFetchBackoff = mSettings.mRetryAfter;
  mWasWatcher = IsWatcher();
  mRoleTimer = mTimers.Every(kRolePeriod, [this] { OnRoleTick(); });
  RequestFromAnyPeer();
  CallPlatform();
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

// Lets a router that has become a watcher call the platform soon instead of at
// its next poll, and a router without a bundle ask another peer.
void
bundle_controller::state::OnRoleTick()
{
  const bool isWatcher = IsWatcher();
  if (isWatcher && !mWasWatcher && mCurrentCall == 0) {
    CallAfter(Jittered(mSettings.mRetryAfter));
  }
  mWasWatcher = isWatcher;
  if (!mBoard.mBundle && mTimers.Now() >= mPeerDeadline) {
    RequestFromAnyPeer();
  }
}

void
bundle_controller::state::CallPlatform()
{
  if (mCurrentCall != 0) {
    return;
  }
  if (!mWatchFrom) {
    List();
  } else {
    // A watch with a wait of zero is a cheap poll, which returns only changes.
    Watch(IsWatcher() ? mSettings.mWatchWait : milliseconds::zero());
  }
}

// Starts the deadline of a new call, which the platform may hold open for
// aWait.
void
bundle_controller::state::BeginCall(milliseconds aWait)
{
  mCurrentCall = ++mLastCall;
  mDeadlineTimer =
    mTimers.After(aWait + kAnswerGrace, [this, call = mCurrentCall] {
      if (FinishCall(call)) {
        LogEvent(log_level::Warning, "bundle_watch_silent");
        mWatchFrom.reset();
        Retry();
      }
    });
}

// Ends the call in progress. Returns false if aCall is another call, whose
// answer is stale.
bool
bundle_controller::state::FinishCall(std::uint64_t aCall)
{
  if (aCall != mCurrentCall) {
    return false;
  }
  mCurrentCall = 0;
  return true;
}

void
bundle_controller::state::List()
{
  BeginCall(milliseconds::zero());
  mPlatform.List(
    std::string(kBundleKind),
    [weak = weak_from_this(), call = mCurrentCall](const list_answer& aAnswer) {
      if (const auto self = weak.lock()) {
        self->OnList(call, aAnswer);
      }
    });
}

void
bundle_controller::state::OnList(std::uint64_t aCall,
                                 const list_answer& aAnswer)
{
  if (!FinishCall(aCall)) {
    return;
  }
  NoteEra(aAnswer.mEra);
  if (aAnswer.mStatus != platform_status::Ok) {
    return Retry();
  }
  mWatchFrom = aAnswer.mVersion;
  OnObjects(aAnswer);
  CheckWriteBack(FindCurrent(aAnswer));
  ScheduleNextCall();
}

void
bundle_controller::state::Watch(milliseconds aWait)
{
  BeginCall(aWait);
  mPlatform.Watch(
    std::string(kBundleKind),
    *mWatchFrom,
    aWait,
    [weak = weak_from_this(), call = mCurrentCall](const list_answer& aAnswer) {
      if (const auto self = weak.lock()) {
        self->OnWatch(call, aAnswer);
      }
    });
}

void
bundle_controller::state::OnWatch(std::uint64_t aCall,
                                  const list_answer& aAnswer)
{
  if (!FinishCall(aCall)) {
    return;
  }
  if (NoteEra(aAnswer.mEra)) {
    mWatchFrom.reset();
    return CallPlatform();
  }
  if (aAnswer.mStatus == platform_status::Compacted) {
    mWatchFrom.reset();
  }
  if (aAnswer.mStatus != platform_status::Ok) {
    return Retry();
  }
  mWatchFrom = std::max(*mWatchFrom, aAnswer.mVersion);
  OnObjects(aAnswer);
  ScheduleNextCall();
}

void
bundle_controller::state::OnObjects(const list_answer& aAnswer)
{
  if (const auto* const current = FindCurrent(aAnswer)) {
    ProcessText(current->mValue, bundle_source::Platform);
  }
}

// Starts the next call: watchers at once, other routers after the poll period.
void
bundle_controller::state::ScheduleNextCall()
{
  mBackoff = mSettings.mRetryAfter;
  if (IsWatcher()) {
    CallPlatform();
  } else {
    CallAfter(Jittered(mBoard.mBundle ? mSettings.mPollPeriod
                                      : mSettings.mInitialPollPeriod));
  }
}

void
bundle_controller::state::Retry()
{
  CallAfter(Jittered(mBackoff));
  mBackoff = std::min(2 * mBackoff, mSettings.mRetryLimit);
}

void
bundle_controller::state::CallAfter(milliseconds aDelay)
{
  mCallTimer = mTimers.After(aDelay, [this] { CallPlatform(); });
}

void
bundle_controller::state::OnHeartbeat(const heartbeat& aHeartbeat)
{
  if (aHeartbeat.mBundle > Version() && mTimers.Now() >= mPeerDeadline) {
    RequestBundle(aHeartbeat.mSender.mVm);
  }
}

void
bundle_controller::state::RequestBundle(const vm_id& aPeer)
{
  mPeerDeadline = mTimers.Now() + mSettings.mPeerTimeout;
  mNetwork.Send(aPeer, bundle_request{ Version() });
}

void
bundle_controller::state::RequestFromAnyPeer()
{
  std::vector<vm_id> peers;
  for (const auto& [vm, item] : mBoard.mMembers) {
    if (vm != mBoard.mSelf.mVm && item.mState != member_state::Dead) {
      peers.push_back(vm);
    }
  }
  if (!peers.empty()) {
    std::uniform_int_distribution<std::size_t> pick(0, peers.size() - 1);
    RequestBundle(peers[pick(mRandom)]);
  }
}

void
bundle_controller::state::OnRequest(const process_id& aFrom,
                                    const bundle_request& aRequest)
{
  if (mBoard.mBundle && Version() > aRequest.mHave) {
    const bool deltaApplies =
      mDeltaBase != bundle_version{} && aRequest.mHave == mDeltaBase;
    const auto form =
      deltaApplies ? bundle_form::WithoutBytes : bundle_form::Whole;
    mNetwork.Send(aFrom.mVm,
                  bundle_push{ Version(), Serialize(mInForce, form) });
  }
}

// Handles a pushed bundle. A push without a bundle is a notice that the sender
// has that version.
void
bundle_controller::state::OnPush(const process_id& aFrom,
                                 const bundle_push& aPush)
{
  if (aPush.mVersion <= Version()) {
    return;
  }
  if (aPush.mSignedBundle.empty()) {
    RequestBundle(aFrom.mVm);
  } else {
    mPushSender = aFrom.mVm;
    ProcessText(aPush.mSignedBundle, bundle_source::Peer);
  }
}

// Sends a notice of the version in force to all reachable routers of the data
// centre that are not known to have it.
void
bundle_controller::state::NotifyDataCentre()
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
  mState->RequestFromAnyPeer();
  mState->CallPlatform();
}

void
bundle_controller::OnStoreRestored()
{
  mState->OnStoreRestored();
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
