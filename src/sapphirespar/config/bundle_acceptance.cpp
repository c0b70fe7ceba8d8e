// Implements the steps of one acceptance: read, check, write, read back.
#include "sapphirespar/config/bundle_acceptance.hpp"

#include "problem_of.hpp"
#include "sapphirespar/config/bundle_controller.hpp"
#include "sapphirespar/config/bundle_delta.hpp"
#include "sapphirespar/config/signed_bundle.hpp"
#include "sapphirespar/config/signing.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace sapphirespar {
namespace {

// Number of accepted versions that the history keeps for operators.
constexpr std::size_t kHistoryLimit = 50;

std::string
VersionText(const bundle_version& aVersion)
{
  return std::to_string(aVersion.mEpoch) + "." +
         std::to_string(aVersion.mNumber);
}

// Parses aText into aInto. Returns the text of the failure, if any.
std::optional<std::string>
ParseInto(signed_bundle& aInto, const std::string& aText)
{
  return ProblemOf([&]() -> result<void> {
    BOOST_LEAF_ASSIGN(aInto, ParseSignedBundle(aText));
    return {};
  });
}

} // namespace

std::string_view
ToText(acceptance_status aStatus)
{
  switch (aStatus) {
    case acceptance_status::Accepted:
      return "accepted";
    case acceptance_status::AlreadyAccepted:
      return "already_accepted";
    case acceptance_status::VersionConflict:
      return "overtaken";
    case acceptance_status::Refused:
      return "refused";
    case acceptance_status::NotWritten:
      return "not_written";
    case acceptance_status::Unknown:
      break;
  }
  return "unknown";
}

struct bundle_acceptance::state : std::enable_shared_from_this<state>
{
  state(platform_api& aPlatform,
        timer_service& aTimers,
        acceptance_settings aSettings)
    : mPlatform(aPlatform)
    , mTimers(aTimers)
    , mSettings(std::move(aSettings))
  {
  }

  void Start(const std::string& aSignedBundle, std::string aAcceptedAt);
  void Read();
  void OnRead(const object_answer& aAnswer);
  void OnBundleInForce(const platform_object& aObject);
  void ReadFullBundle(signed_bundle aInForce, object_version aVersion);
  void OnFullBundle(signed_bundle aInForce,
                    object_version aVersion,
                    const object_answer& aAnswer);
  bool MayReplace(const bundle_version& aInForce) const;
  void Decide(const signed_bundle& aInForce, object_version aVersion);
  void OnNoBundleInForce();
  void Write(object_version aExpected);
  void WriteFullBundle(object_version aExpected, std::string aPacked);
  void WriteCurrent(object_version aExpected, bundle_form aForm);
  object_callback IfRunning(
    std::function<void(state&, const object_answer&)> aThen);
  void OnWritten(const object_answer& aAnswer);
  void OnAccepted();
  void ScheduleRead();
  void OnDeadline();
  void End(acceptance_status aStatus, std::string aDetail);

  platform_api& mPlatform;
  timer_service& mTimers;
  acceptance_settings mSettings;
  done_callback mDone;
  signed_bundle mCandidate;
  // The object with the bytes of the bundle that is replaced; without a version
  // if those bytes are stored in the current object.
  platform_object mReplaced;
  // Digest of the candidate's bytes.
  std::string mDigest;
  std::string mAcceptedAt;
  acceptance_result mResult;
  // Whether a write of the current object is in progress.
  bool mWriting = false;
  // Whether an earlier write was answered Unknown.
  bool mInDoubt = false;
  timer_subscription mDeadlineTimer;
  timer_subscription mRetryTimer;
};

void
bundle_acceptance::state::Start(const std::string& aSignedBundle,
                                std::string aAcceptedAt)
{
  mAcceptedAt = std::move(aAcceptedAt);
  if (const auto problem = ParseInto(mCandidate, aSignedBundle)) {
    return End(acceptance_status::Refused, *problem);
  }
  mDigest = Sha256Hex(mCandidate.mBytes);
  mDeadlineTimer = mTimers.After(mSettings.mDeadline, [this] { OnDeadline(); });
  Read();
}

void
bundle_acceptance::state::Read()
{
  mPlatform.Get(CurrentBundleKey(), IfRunning(&state::OnRead));
}

// Returns a callback that does nothing once the acceptance has ended.
object_callback
bundle_acceptance::state::IfRunning(
  std::function<void(state&, const object_answer&)> aThen)
{
  return [weak = weak_from_this(),
          then = std::move(aThen)](const object_answer& aAnswer) {
    const auto self = weak.lock();
    if (self && self->mDone) {
      then(*self, aAnswer);
    }
  };
}

void
bundle_acceptance::state::OnRead(const object_answer& aAnswer)
{
  if (aAnswer.mStatus == platform_status::Ok) {
    OnBundleInForce(aAnswer.mObject);
  } else if (aAnswer.mStatus == platform_status::NotFound) {
    OnNoBundleInForce();
  } else {
    ScheduleRead();
  }
}

void
bundle_acceptance::state::OnBundleInForce(const platform_object& aObject)
{
  signed_bundle inForce;
  if (const auto problem = ParseInto(inForce, aObject.mValue)) {
    return End(acceptance_status::Refused,
               "the bundle at the platform can't be read: " + *problem);
  }
  mResult.mInForce = inForce.mBundle.mVersion;
  mResult.mInForceSigner = inForce.mSigner;
  const bool isOurs =
    std::ranges::count(inForce.mHistory, mDigest, &accepted_version::mDigest) >
    0;
  if (isOurs) {
    return End(mInDoubt ? acceptance_status::Accepted
                        : acceptance_status::AlreadyAccepted,
               "read back from the platform");
  }
  if (inForce.mBytes.empty() && MayReplace(inForce.mBundle.mVersion)) {
    return ReadFullBundle(std::move(inForce), aObject.mVersion);
  }
  Decide(inForce, aObject.mVersion);
}

// Reads a large bundle's own object, which contains the signers needed to check
// the candidate.
void
bundle_acceptance::state::ReadFullBundle(signed_bundle aInForce,
                                         object_version aVersion)
{
  const auto key = FullBundleKey(aInForce.mFullBundleName);
  mPlatform.Get(key,
                IfRunning([inForce = std::move(aInForce), aVersion](
                            state& aState, const object_answer& aAnswer) {
                  aState.OnFullBundle(inForce, aVersion, aAnswer);
                }));
}

void
bundle_acceptance::state::OnFullBundle(signed_bundle aInForce,
                                       object_version aVersion,
                                       const object_answer& aAnswer)
{
  if (aAnswer.mStatus != platform_status::Ok) {
    return ScheduleRead();
  }
  const auto problem = ProblemOf(
    [&] { return FillFromFullBundle(aInForce, aAnswer.mObject.mValue); });
  if (problem) {
    return End(acceptance_status::Refused,
               "the bundle at the platform can't be read: " + *problem);
  }
  mReplaced = aAnswer.mObject;
  Decide(aInForce, aVersion);
}

bool
bundle_acceptance::state::MayReplace(const bundle_version& aInForce) const
{
  const auto& version = mCandidate.mBundle.mVersion;
  return mSettings.mWritesBack ? version > aInForce
                               : Follows(version, aInForce);
}

void
bundle_acceptance::state::Decide(const signed_bundle& aInForce,
                                 object_version aVersion)
{
  const auto& base = aInForce.mBundle.mVersion;
  if (!MayReplace(base)) {
    return End(acceptance_status::VersionConflict,
               "version " + VersionText(base) + ", signed by " +
                 aInForce.mSigner + ", is in force; version " +
                 VersionText(mCandidate.mBundle.mVersion) +
                 " does not follow it");
  }
  const auto problem = ProblemOf([&] {
    return CheckSignature(mCandidate, aInForce.mBundle.mSigners, base);
  });
  if (problem) {
    return End(acceptance_status::Refused, *problem);
  }
  mCandidate.mHistory = aInForce.mHistory;
  mCandidate.mDelta = ToJson(MakeDelta(aInForce.mBundle, mCandidate.mBundle));
  if (mCandidate.mDelta.size() > mSettings.mDeltaLimitBytes) {
    mCandidate.mDelta.clear();
  }
  Write(aVersion);
}

void
bundle_acceptance::state::OnNoBundleInForce()
{
  const auto& trusted = mSettings.mTrusted.empty() ? mCandidate.mBundle.mSigners
                                                   : mSettings.mTrusted;
  if (const auto problem =
        ProblemOf([&] { return CheckSignature(mCandidate, trusted); })) {
    return End(acceptance_status::Refused, *problem);
  }
  mCandidate.mHistory.clear();
  mCandidate.mDelta.clear();
  Write(kNoObject);
}

void
bundle_acceptance::state::Write(object_version aExpected)
{
  auto& history = mCandidate.mHistory;
  history.push_back(
    { mCandidate.mBundle.mVersion, mCandidate.mSigner, mDigest, mAcceptedAt });
  if (history.size() > kHistoryLimit) {
    history.erase(history.begin());
  }
  auto packed = PackFullBundle(mCandidate);
  if (packed.size() > mSettings.mInlineLimitBytes) {
    WriteFullBundle(aExpected, std::move(packed));
  } else {
    WriteCurrent(aExpected, bundle_form::Whole);
  }
}

// Writes the object with the bytes first, so that every reader of the current
// object finds it. An object that exists already has the same bytes, because
// its name contains their digest.
void
bundle_acceptance::state::WriteFullBundle(object_version aExpected,
                                          std::string aPacked)
{
  mCandidate.mFullBundleName = MakeFullBundleName(mCandidate);
  mPlatform.Put(
    FullBundleKey(mCandidate.mFullBundleName),
    std::move(aPacked),
    kNoObject,
    IfRunning([aExpected](state& aState, const object_answer& aAnswer) {
      if (aAnswer.mStatus == platform_status::Ok ||
          aAnswer.mStatus == platform_status::Conflict) {
        aState.WriteCurrent(aExpected, bundle_form::WithoutBytes);
      } else if (aAnswer.mStatus == platform_status::TooLarge) {
        aState.OnWritten(aAnswer);
      } else {
        aState.ScheduleRead();
      }
    }));
}

void
bundle_acceptance::state::WriteCurrent(object_version aExpected,
                                       bundle_form aForm)
{
  mWriting = true;
  mPlatform.Put(CurrentBundleKey(),
                Serialize(mCandidate, aForm),
                aExpected,
                IfRunning(&state::OnWritten));
}

// Reads the platform again unless the write has clearly succeeded or failed. A
// write that is still in progress then does no harm: it expects the same
// version as the write that follows it, so only one of them takes effect.
void
bundle_acceptance::state::OnWritten(const object_answer& aAnswer)
{
  mWriting = false;
  switch (aAnswer.mStatus) {
    case platform_status::Ok:
      return OnAccepted();
    case platform_status::TooLarge:
      return End(acceptance_status::Refused,
                 "the bundle exceeds the platform's limit of " +
                   std::to_string(kObjectLimitBytes) + " bytes");
    case platform_status::Conflict:
      return Read();
    case platform_status::Unknown:
      mInDoubt = true;
      return ScheduleRead();
    default:
      return ScheduleRead();
  }
}

// Removes the object with the bytes of the replaced bundle. If that fails, the
// object only takes up space, so the result does not depend on it.
void
bundle_acceptance::state::OnAccepted()
{
  mResult.mInForce = mCandidate.mBundle.mVersion;
  mResult.mInForceSigner = mCandidate.mSigner;
  if (mReplaced.mVersion == kNoObject) {
    return End(acceptance_status::Accepted, "written");
  }
  const auto end = [](state& aState) {
    aState.End(acceptance_status::Accepted, "written");
  };
  mDeadlineTimer =
    mTimers.After(mSettings.mDeadline, [this, end] { end(*this); });
  mPlatform.Delete(
    mReplaced.mKey,
    mReplaced.mVersion,
    IfRunning([end](state& aState, const object_answer&) { end(aState); }));
}

void
bundle_acceptance::state::ScheduleRead()
{
  mRetryTimer = mTimers.After(mSettings.mRetryAfter, [this] { Read(); });
}

void
bundle_acceptance::state::OnDeadline()
{
  if (mWriting || mInDoubt) {
    End(acceptance_status::Unknown,
        "a write was sent, but its effect could not be read back; check the "
        "history later");
  } else {
    End(acceptance_status::NotWritten, "the platform can't be reached");
  }
}

void
bundle_acceptance::state::End(acceptance_status aStatus, std::string aDetail)
{
  mDeadlineTimer = {};
  mRetryTimer = {};
  mResult.mStatus = aStatus;
  mResult.mDetail = std::move(aDetail);
  const auto done = std::exchange(mDone, nullptr);
  done(mResult);
}

bundle_acceptance::bundle_acceptance(platform_api& aPlatform,
                                     timer_service& aTimers,
                                     acceptance_settings aSettings)
  : mState(std::make_shared<state>(aPlatform, aTimers, std::move(aSettings)))
{
}

bundle_acceptance::~bundle_acceptance() = default;

void
bundle_acceptance::Start(std::string aSignedBundle,
                         std::string aAcceptedAt,
                         done_callback aDone)
{
  mState->mDone = std::move(aDone);
  mState->Start(aSignedBundle, std::move(aAcceptedAt));
}

} // namespace sapphirespar
