// The bundle controller: platform watch and poll, exchange with peers, and the
// one place where a bundle comes into force.
#include "sapphirespar/config/bundle_controller.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/config/bundle_delta.hpp"
#include "sapphirespar/config/signed_bundle.hpp"

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

enum class bundle_source
{
  Platform,
  Peer,
};

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
WholeBundleKey(std::string aName)
{
  return { "bundle_whole", std::move(aName) };
}

// Callbacks hold it weakly: an answer that arrives after the controller's end
// finds nobody.
struct bundle_controller::state : std::enable_shared_from_this<state>
{
  state(platform_api& aPlatform,
        peer_network& aNetwork,
        timer_service& aTimers,
        blackboard& aBoard,
        bundle_controller_settings aSettings,
        accepted_hook aOnAccepted)
    : mPlatform(aPlatform)
    , mNetwork(aNetwork)
    , mTimers(aTimers)
    , mBoard(aBoard)
    , mSettings(std::move(aSettings))
    , mOnAccepted(std::move(aOnAccepted))
    , mRandom(mSettings.mSeed)
  {
  }

  void Start();
  bool IsWatcher() const;

  // The platform.
  void OnRoleTick();
  void List();
  void Watch(milliseconds aWait);
  void OnList(std::uint64_t aCall, const list_answer& aAnswer);
  void OnWatch(std::uint64_t aCall, const list_answer& aAnswer);
  void OnObjects(const list_answer& aAnswer);
  void Expect(milliseconds aWithin);
  bool IsExpected(std::uint64_t aCall);
  void Continue();
  void Retry();
  void Next(milliseconds aDelay);
  void Call();

  // Peers.
  void OnHeartbeat(const heartbeat& aHeartbeat);
  void OnRequest(const process_id& aFrom, const bundle_request& aRequest);
  void OnPush(const process_id& aFrom, const bundle_push& aPush);
  void Ask(const vm_id& aPeer);
  void AskAnyPeer();
  void TellDataCentre();

  // Force.
  bundle_version Version() const;
  void Take(const std::string& aText, bundle_source aSource);
  void TakeParsed(signed_bundle aBundle, bundle_source aSource);
  void FetchWhole(signed_bundle aBundle);
  void OnWhole(signed_bundle aBundle, const object_answer& aAnswer);
  bool TryDelta(signed_bundle& aBundle);
  void Install(signed_bundle aBundle);
  void Refuse(std::string_view aProblem);
  template<class Step>
  void Guard(const Step& aStep);

  milliseconds Jittered(milliseconds aDelay);

  platform_api& mPlatform;
  peer_network& mNetwork;
  timer_service& mTimers;
  blackboard& mBoard;
  bundle_controller_settings mSettings;
  accepted_hook mOnAccepted;
  std::mt19937_64 mRandom;

  // Where the next watch begins; unset asks for a list first.
  std::optional<object_version> mWatchFrom;
  // The call that is awaited, if any; answers to others are stale.
  std::uint64_t mAwaited = 0;
  std::uint64_t mLastCall = 0;
  bool mWasWatcher = false;
  // Doubles with each failure in a row, up to mRetryLimit.
  milliseconds mBackoff{ 0 };

  // In force, without its history; empty before the first one.
  signed_bundle mInForce;
  // The version that mInForce's delta starts from.
  bundle_version mDeltaBase;

  // Who sent the last push.
  vm_id mAskedFor;

  // When the peer asked last is given up.
  steady_time mAskedUntil{};
  std::uint64_t mRefused = 0;

  timer_subscription mRoleTimer;
  timer_subscription mNextTimer;
  timer_subscription mDeadlineTimer;
};

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
                                 : mSettings.mColdPollPeriod));
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
  mAskedUntil = mTimers.Now() + mSettings.mPeerPatience;
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

bundle_version
bundle_controller::state::Version() const
{
  return mBoard.mBundle ? mBoard.mBundle->mVersion : bundle_version{};
}

// Runs a step that may fail; failures are noted and change nothing.
template<class Step>
void
bundle_controller::state::Guard(const Step& aStep)
{
  leaf::try_handle_all(
    aStep,
    [&](const signature_failure& aFailure) { Refuse(aFailure.mProblem); },
    [&](const config_failure& aFailure) { Refuse(Describe(aFailure)); },
    [&] { Refuse("unknown failure"); });
}

void
bundle_controller::state::Refuse(std::string_view aProblem)
{
  ++mRefused;
  LogEvent(log_level::Error, "bundle_refused", { { "problem", aProblem } });
}

// Puts the bundle of aText into force if it is newer and rightly signed.
void
bundle_controller::state::Take(const std::string& aText, bundle_source aSource)
{
  Guard([&]() -> result<void> {
    BOOST_LEAF_AUTO(parsed, ParseSignedBundle(aText));
    if (parsed.mBundle.mVersion <= Version()) {
      return {};
    }
    if (!parsed.mBytes.empty() || TryDelta(parsed)) {
      TakeParsed(std::move(parsed), aSource);
    } else if (aSource == bundle_source::Platform) {
      FetchWhole(std::move(parsed));
    } else {
      // Says that this router has none, so the answer will be whole.
      mNetwork.Send(mAskedFor, bundle_request{});
    }
    return {};
  });
}

// Whether the delta led to bytes that have the signature.
bool
bundle_controller::state::TryDelta(signed_bundle& aBundle)
{
  if (!mBoard.mBundle || aBundle.mDelta.empty()) {
    return false;
  }
  const auto& trusted = mBoard.mBundle->mSigners;
  const bool good = leaf::try_handle_all(
    [&]() -> result<bool> {
      BOOST_LEAF_CHECK(FillFromDelta(aBundle, *mBoard.mBundle));
      BOOST_LEAF_CHECK(CheckSignature(aBundle, trusted, Version()));
      return true;
    },
    [] { return false; });
  if (!good) {
    aBundle.mBytes.clear();
  }
  return good;
}

void
bundle_controller::state::FetchWhole(signed_bundle aBundle)
{
  const auto key = WholeBundleKey(aBundle.mWholeName);
  mPlatform.Get(key,
                [weak = weak_from_this(),
                 wanted = std::move(aBundle)](const object_answer& aAnswer) {
                  if (const auto self = weak.lock()) {
                    self->OnWhole(wanted, aAnswer);
                  }
                });
}

void
bundle_controller::state::OnWhole(signed_bundle aBundle,
                                  const object_answer& aAnswer)
{
  if (aAnswer.mStatus != platform_status::Ok) {
    // The next call shall bring the current object again.
    mWatchFrom.reset();
    return;
  }
  Guard([&]() -> result<void> {
    BOOST_LEAF_CHECK(FillFromWhole(aBundle, aAnswer.mObject.mValue));
    TakeParsed(std::move(aBundle), bundle_source::Platform);
    return {};
  });
}

void
bundle_controller::state::TakeParsed(signed_bundle aBundle,
                                     bundle_source aSource)
{
  Guard([&]() -> result<void> {
    const auto& trusted =
      mBoard.mBundle ? mBoard.mBundle->mSigners : mSettings.mTrusted;
    if (aBundle.mBundle.mVersion <= Version()) {
      return {};
    }
    BOOST_LEAF_CHECK(CheckSignature(aBundle, trusted, Version()));
    Install(std::move(aBundle));
    if (aSource == bundle_source::Platform) {
      TellDataCentre();
    }
    return {};
  });
}

void
bundle_controller::state::Install(signed_bundle aBundle)
{
  // The history is for operators, who read it at the platform.
  aBundle.mHistory.clear();
  const auto delta = ParseDelta(aBundle.mDelta);
  mDeltaBase = delta ? delta->mBase : bundle_version{};
  mBoard.mBundle = std::make_shared<const bundle>(aBundle.mBundle);
  mInForce = std::move(aBundle);
  mAskedUntil = mTimers.Now();
  LogEvent(log_level::Info,
           "bundle_in_force",
           { { "epoch", Version().mEpoch }, { "number", Version().mNumber } });
  if (mOnAccepted) {
    mOnAccepted(mBoard.mBundle);
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
