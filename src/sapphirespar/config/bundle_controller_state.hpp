// State of a bundle controller. bundle_controller.cpp implements the calls to
// the platform and the messages to peers, bundle_install.cpp the checks and the
// installation of a bundle, bundle_write_back.cpp what follows a restore of the
// store.
#pragma once

#include "sapphirespar/config/bundle_acceptance.hpp"
#include "sapphirespar/config/bundle_controller.hpp"
#include "sapphirespar/config/signed_bundle.hpp"

#include <memory>
#include <optional>
#include <utility>

namespace sapphirespar {

// A call to the platform times out this long after its wait, which is zero for
// reads.
inline constexpr std::chrono::milliseconds kAnswerGrace{ 5000 };

enum class bundle_source
{
  Platform,
  Peer,
};

// Callbacks hold weak pointers to the state, so answers that arrive after the
// controller's destruction are ignored.
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

  // Calls to the platform.
  void OnRoleTick();
  void List();
  void Watch(std::chrono::milliseconds aWait);
  void OnList(std::uint64_t aCall, const list_answer& aAnswer);
  void OnWatch(std::uint64_t aCall, const list_answer& aAnswer);
  void OnObjects(const list_answer& aAnswer);
  void BeginCall(std::chrono::milliseconds aWait);
  bool FinishCall(std::uint64_t aCall);
  void ScheduleNextCall();
  void Retry();
  void CallAfter(std::chrono::milliseconds aDelay);
  void CallPlatform();

  // Restores of the store.
  bool NoteEra(store_era aEra);
  void OnStoreRestored();
  void CheckWriteBack(const platform_object* aCurrent);
  void WriteBack();
  void OnWrittenBack(const acceptance_result& aResult);

  // Messages to and from peers.
  void OnHeartbeat(const heartbeat& aHeartbeat);
  void OnRequest(const process_id& aFrom, const bundle_request& aRequest);
  void OnPush(const process_id& aFrom, const bundle_push& aPush);
  void RequestBundle(const vm_id& aPeer);
  void RequestFromAnyPeer();
  void NotifyDataCentre();

  // Checks and installation.
  bundle_version Version() const;
  void ProcessText(const std::string& aText, bundle_source aSource);
  void ProcessBundle(signed_bundle aBundle, bundle_source aSource);
  void FetchFullBundle(signed_bundle aBundle);
  void OnFullBundle(std::uint64_t aFetch,
                    signed_bundle aBundle,
                    const object_answer& aAnswer);
  void RetryFetch(std::string_view aProblem);
  bool TryDelta(signed_bundle& aBundle);
  void Install(signed_bundle aBundle);
  void Refuse(std::string_view aProblem);
  template<class Step>
  void RunOrRefuse(const Step& aStep);

  std::chrono::milliseconds Jittered(std::chrono::milliseconds aDelay);

  platform_api& mPlatform;
  peer_network& mNetwork;
  timer_service& mTimers;
  blackboard& mBoard;
  bundle_controller_settings mSettings;
  accepted_hook mOnAccepted;
  std::mt19937_64 mRandom;

  // Version from which the next watch starts; if unset, a list comes first.
  // Always set while a watch is the call in progress.
  std::optional<object_version> mWatchFrom;
  // Number of the call in progress, or zero. Answers to other calls are stale
  // and ignored.
  std::uint64_t mCurrentCall = 0;
  std::uint64_t mLastCall = 0;
  // The latest era of the store; zero if it has told none. mWatchFrom belongs
  // to it.
  store_era mEra = 0;
  bool mWasWatcher = false;
  // Delay after the next failure. Doubles with each failure in a row, up to
  // mRetryLimit.
  std::chrono::milliseconds mBackoff{ 0 };

  // Number of the fetch of a full bundle in progress, or zero. Answers to other
  // fetches are stale and ignored.
  std::uint64_t mCurrentFetch = 0;
  std::uint64_t mLastFetch = 0;
  // Delay after the next failed fetch. Doubles with each failure in a row, up
  // to mRetryLimit.
  std::chrono::milliseconds mFetchBackoff{ 0 };

  // The bundle in force, without its history; empty before the first one.
  signed_bundle mInForce;
  // The version to which mInForce's delta applies; empty without a delta.
  bundle_version mDeltaBase;

  // The sender of the latest push with a bundle.
  vm_id mPushSender;

  // When the latest bundle request to a peer times out.
  steady_time mPeerDeadline{};
  std::uint64_t mRefused = 0;

  timer_subscription mRoleTimer;
  timer_subscription mCallTimer;
  timer_subscription mDeadlineTimer;
  timer_subscription mFetchDeadlineTimer;

  // Writes the bundle in force back to the platform; null if none does.
  std::unique_ptr<bundle_acceptance> mWriteBack;
  timer_subscription mWriteBackTimer;
};

} // namespace sapphirespar
