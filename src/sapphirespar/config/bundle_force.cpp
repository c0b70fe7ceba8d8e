// The one place where a bundle comes into force on a router.
#include "bundle_controller_state.hpp"
#include "sapphirespar/base/log.hpp"
#include "sapphirespar/config/bundle_delta.hpp"

namespace sapphirespar {

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
  const auto key = FullBundleKey(aBundle.mFullBundleName);
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
    BOOST_LEAF_CHECK(FillFromFullBundle(aBundle, aAnswer.mObject.mValue));
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

} // namespace sapphirespar
