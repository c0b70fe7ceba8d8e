// Checks signed bundles and puts them into force. No other code changes the
// bundle in force on a router.
#include "bundle_controller_state.hpp"
#include "sapphirespar/base/log.hpp"
#include "sapphirespar/config/bundle_delta.hpp"

#include <algorithm>

namespace sapphirespar {

bundle_version
bundle_controller::state::Version() const
{
  return mBoard.mBundle ? mBoard.mBundle->mVersion : bundle_version{};
}

// Runs a step that may fail. A failure is logged and counted as a refused
// bundle.
template<class Step>
void
bundle_controller::state::RunOrRefuse(const Step& aStep)
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

// Puts the bundle in aText into force if it is newer and its signature is
// valid. If aText lacks the bundle's bytes, they are restored from the delta,
// or the full bundle is fetched.
void
bundle_controller::state::ProcessText(const std::string& aText,
                                      bundle_source aSource)
{
  RunOrRefuse([&]() -> result<void> {
    BOOST_LEAF_AUTO(parsed, ParseSignedBundle(aText));
    if (parsed.mBundle.mVersion <= Version()) {
      return {};
    }
    if (!parsed.mBytes.empty() || TryDelta(parsed)) {
      ProcessBundle(std::move(parsed), aSource);
    } else if (aSource == bundle_source::Platform) {
      FetchFullBundle(std::move(parsed));
    } else {
      // A request that names no version is answered with the full bundle.
      mNetwork.Send(mPushSender, bundle_request{});
    }
    return {};
  });
}

// Restores the bytes from the delta. Returns whether their signature is valid;
// if not, clears them again.
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
bundle_controller::state::FetchFullBundle(signed_bundle aBundle)
{
  const auto key = FullBundleKey(aBundle.mFullBundleName);
  const auto fetch = ++mLastFetch;
  mCurrentFetch = fetch;
  mFetchDeadlineTimer = mTimers.After(kAnswerGrace, [this, fetch] {
    if (fetch == mCurrentFetch) {
      RetryFetch("no answer");
    }
  });
  mPlatform.Get(key,
                [weak = weak_from_this(), fetch, wanted = std::move(aBundle)](
                  const object_answer& aAnswer) {
                  if (const auto self = weak.lock()) {
                    self->OnFullBundle(fetch, wanted, aAnswer);
                  }
                });
}

void
bundle_controller::state::OnFullBundle(std::uint64_t aFetch,
                                       signed_bundle aBundle,
                                       const object_answer& aAnswer)
{
  if (aFetch != mCurrentFetch) {
    return;
  }
  if (aAnswer.mStatus != platform_status::Ok) {
    RetryFetch(ToText(aAnswer.mStatus));
    return;
  }
  mCurrentFetch = 0;
  RunOrRefuse([&]() -> result<void> {
    BOOST_LEAF_CHECK(FillFromFullBundle(aBundle, aAnswer.mObject.mValue));
    ProcessBundle(std::move(aBundle), bundle_source::Platform);
    return {};
  });
}

// Lists again after a delay. The list returns the current object, which a watch
// would return only after its next change, so an open watch is abandoned.
void
bundle_controller::state::RetryFetch(std::string_view aProblem)
{
  LogEvent(log_level::Warning,
           "full_bundle_not_fetched",
           { { "problem", aProblem }, { "retry_ms", mFetchBackoff.count() } });
  mCurrentFetch = 0;
  mCurrentCall = 0;
  mWatchFrom.reset();
  CallAfter(Jittered(mFetchBackoff));
  mFetchBackoff = std::min(2 * mFetchBackoff, mSettings.mRetryLimit);
}

void
bundle_controller::state::ProcessBundle(signed_bundle aBundle,
                                        bundle_source aSource)
{
  RunOrRefuse([&]() -> result<void> {
    const auto& trusted =
      mBoard.mBundle ? mBoard.mBundle->mSigners : mSettings.mTrusted;
    if (aBundle.mBundle.mVersion <= Version()) {
      return {};
    }
    BOOST_LEAF_CHECK(CheckSignature(aBundle, trusted, Version()));
    Install(std::move(aBundle));
    if (aSource == bundle_source::Platform) {
      NotifyDataCentre();
    }
    return {};
  });
}

void
bundle_controller::state::Install(signed_bundle aBundle)
{
  // Operators read the history at the platform, so routers do not keep it.
  aBundle.mHistory.clear();
  const auto delta = ParseDelta(aBundle.mDelta);
  mDeltaBase = delta ? delta->mBase : bundle_version{};
  mBoard.mBundle = std::make_shared<const bundle>(aBundle.mBundle);
  mInForce = std::move(aBundle);
  mFetchBackoff = mSettings.mRetryAfter;
  mPeerDeadline = mTimers.Now();
  LogEvent(log_level::Info,
           "bundle_in_force",
           { { "epoch", Version().mEpoch }, { "number", Version().mNumber } });
  if (mOnAccepted) {
    mOnAccepted(mBoard.mBundle);
  }
}

} // namespace sapphirespar
