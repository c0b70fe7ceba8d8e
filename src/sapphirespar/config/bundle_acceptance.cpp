// The steps of one acceptance: read, check, write, read back.
#include "sapphirespar/config/bundle_acceptance.hpp"

#include "sapphirespar/config/bundle_controller.hpp"
#include "sapphirespar/config/signed_bundle.hpp"
#include "sapphirespar/config/signing.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace sapphirespar {
namespace {

// Accepted versions kept for the operators.
constexpr std::size_t kHistoryLimit = 50;

std::string
Name(const bundle_version& aVersion)
{
  return std::to_string(aVersion.mEpoch) + "." +
         std::to_string(aVersion.mNumber);
}

// Returns the text of the failure that aCall ends with, or nothing.
template<class Call>
std::optional<std::string>
ProblemOf(const Call& aCall)
{
  using problem = std::optional<std::string>;
  return leaf::try_handle_all(
    [&]() -> result<problem> {
      BOOST_LEAF_CHECK(aCall());
      return problem();
    },
    [](const signature_failure& aFailure) {
      return problem(aFailure.mProblem);
    },
    [](const config_failure& aFailure) { return problem(Describe(aFailure)); },
    [] { return problem("unreadable"); });
}

// Parses aText into aInto and returns the problem if there is one.
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
ToText(acceptance aVerdict)
{
  switch (aVerdict) {
    case acceptance::Accepted:
      return "accepted";
    case acceptance::AlreadyAccepted:
      return "already_accepted";
    case acceptance::Overtaken:
      return "overtaken";
    case acceptance::Refused:
      return "refused";
    case acceptance::NotWritten:
      return "not_written";
    case acceptance::Unknown:
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
  void OnInForce(const platform_object& aObject);
  void Decide(const signed_bundle& aInForce, object_version aVersion);
  void OnNothingInForce();
  void Write(object_version aExpected);
  void OnWritten(const object_answer& aAnswer);
  void ReadLater();
  void OnDeadline();
  void End(acceptance aVerdict, std::string aDetail);

  platform_api& mPlatform;
  timer_service& mTimers;
  acceptance_settings mSettings;
  done_callback mDone;
  signed_bundle mCandidate;
  std::string mDigest;
  std::string mAcceptedAt;
  acceptance_result mResult;
  // Whether a write is under way.
  bool mWriting = false;
  // Whether an earlier write ended without saying if it took effect.
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
    return End(acceptance::Refused, *problem);
  }
  mDigest = Sha256Hex(mCandidate.mBytes);
  mDeadlineTimer = mTimers.After(mSettings.mDeadline, [this] { OnDeadline(); });
  Read();
}

void
bundle_acceptance::state::Read()
{
  mPlatform.Get(CurrentBundleKey(),
                [weak = weak_from_this()](const object_answer& aAnswer) {
                  const auto self = weak.lock();
                  if (self && self->mDone) {
                    self->OnRead(aAnswer);
                  }
                });
}

void
bundle_acceptance::state::OnRead(const object_answer& aAnswer)
{
  if (aAnswer.mStatus == platform_status::Ok) {
    OnInForce(aAnswer.mObject);
  } else if (aAnswer.mStatus == platform_status::NotFound) {
    OnNothingInForce();
  } else {
    ReadLater();
  }
}

void
bundle_acceptance::state::OnInForce(const platform_object& aObject)
{
  signed_bundle inForce;
  if (const auto problem = ParseInto(inForce, aObject.mValue)) {
    return End(acceptance::Refused,
               "the bundle at the platform can't be read: " + *problem);
  }
  mResult.mInForce = inForce.mBundle.mVersion;
  mResult.mInForceSigner = inForce.mSigner;
  const bool isOurs =
    std::ranges::count(inForce.mHistory, mDigest, &accepted_version::mDigest) >
    0;
  if (isOurs) {
    return End(mInDoubt ? acceptance::Accepted : acceptance::AlreadyAccepted,
               "read back from the platform");
  }
  Decide(inForce, aObject.mVersion);
}

void
bundle_acceptance::state::Decide(const signed_bundle& aInForce,
                                 object_version aVersion)
{
  const auto& base = aInForce.mBundle.mVersion;
  if (!Follows(mCandidate.mBundle.mVersion, base)) {
    return End(acceptance::Overtaken,
               "version " + Name(base) + ", signed by " + aInForce.mSigner +
                 ", is in force; version " + Name(mCandidate.mBundle.mVersion) +
                 " does not follow it");
  }
  const auto problem = ProblemOf([&] {
    return CheckSignature(mCandidate, aInForce.mBundle.mSigners, base);
  });
  if (problem) {
    return End(acceptance::Refused, *problem);
  }
  mCandidate.mHistory = aInForce.mHistory;
  Write(aVersion);
}

void
bundle_acceptance::state::OnNothingInForce()
{
  const auto& trusted = mSettings.mTrusted.empty() ? mCandidate.mBundle.mSigners
                                                   : mSettings.mTrusted;
  if (const auto problem =
        ProblemOf([&] { return CheckSignature(mCandidate, trusted); })) {
    return End(acceptance::Refused, *problem);
  }
  mCandidate.mHistory.clear();
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
  mWriting = true;
  mPlatform.Put(CurrentBundleKey(),
                Serialize(mCandidate),
                aExpected,
                [weak = weak_from_this()](const object_answer& aAnswer) {
                  const auto self = weak.lock();
                  if (self && self->mDone) {
                    self->OnWritten(aAnswer);
                  }
                });
}

// Whatever is not a plain yes is settled by reading the platform again. A
// write that is still under way can then no longer do harm: it expects the
// same version as the one that follows it, so only one of them takes effect.
void
bundle_acceptance::state::OnWritten(const object_answer& aAnswer)
{
  mWriting = false;
  switch (aAnswer.mStatus) {
    case platform_status::Ok:
      mResult.mInForce = mCandidate.mBundle.mVersion;
      mResult.mInForceSigner = mCandidate.mSigner;
      return End(acceptance::Accepted, "written");
    case platform_status::TooLarge:
      return End(acceptance::Refused,
                 "the bundle is over the platform's limit of " +
                   std::to_string(kObjectLimitBytes) + " bytes");
    case platform_status::Conflict:
      return Read();
    case platform_status::Unknown:
      mInDoubt = true;
      return ReadLater();
    default:
      return ReadLater();
  }
}

void
bundle_acceptance::state::ReadLater()
{
  mRetryTimer = mTimers.After(mSettings.mRetryAfter, [this] { Read(); });
}

void
bundle_acceptance::state::OnDeadline()
{
  if (mWriting || mInDoubt) {
    End(acceptance::Unknown,
        "a write was sent and could not be read back; see the history later");
  } else {
    End(acceptance::NotWritten, "the platform can't be reached");
  }
}

void
bundle_acceptance::state::End(acceptance aVerdict, std::string aDetail)
{
  mDeadlineTimer = {};
  mRetryTimer = {};
  mResult.mVerdict = aVerdict;
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
