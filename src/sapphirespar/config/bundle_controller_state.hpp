// What a bundle controller holds, and the names of its steps. The steps with
// the platform and the peers stand in bundle_controller.cpp, those that put a
// bundle into force in bundle_force.cpp.
#pragma once

#include "sapphirespar/config/bundle_controller.hpp"
#include "sapphirespar/config/signed_bundle.hpp"

#include <optional>
#include <utility>

namespace sapphirespar {

enum class bundle_source
{
  Platform,
  Peer,
};

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
  void Watch(std::chrono::milliseconds aWait);
  void OnList(std::uint64_t aCall, const list_answer& aAnswer);
  void OnWatch(std::uint64_t aCall, const list_answer& aAnswer);
  void OnObjects(const list_answer& aAnswer);
  void Expect(std::chrono::milliseconds aWithin);
  bool IsExpected(std::uint64_t aCall);
  void Continue();
  void Retry();
  void Next(std::chrono::milliseconds aDelay);
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

  std::chrono::milliseconds Jittered(std::chrono::milliseconds aDelay);

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
  std::chrono::milliseconds mBackoff{ 0 };

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

} // namespace sapphirespar
