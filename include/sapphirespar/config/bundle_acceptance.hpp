// Accepts a signed bundle: makes it the platform's current bundle by a
// conditional write, if the current one is the version that it was signed to
// follow.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/model/platform.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar {

enum class acceptance_status
{
  Accepted,
  // The same bundle had been accepted before.
  AlreadyAccepted,
  // The bundle in force is not the one that this bundle was signed to follow.
  VersionConflict,
  // The form, the size or the signature of the bundle is wrong, or the bundle
  // in force cannot be read. The bundle in force is unchanged.
  Refused,
  // The platform could not be reached in time; the bundle in force is
  // unchanged.
  NotWritten,
  // A write was sent, but its effect could not be read back in time.
  Unknown,
};

// Returns the status as printed, such as "overtaken".
std::string_view ToText(acceptance_status aStatus);

struct acceptance_result
{
  acceptance_status mStatus = acceptance_status::NotWritten;
  // Version and signer of the bundle in force at the platform. Empty if it was
  // not read.
  bundle_version mInForce;
  std::string mInForceSigner;
  // Reason for the status, as text for operators.
  std::string mDetail;
};

struct acceptance_settings
{
  // Longest duration of an acceptance; removing the replaced bundle's object
  // may take as long again.
  std::chrono::milliseconds mDeadline{ 20000 };
  // Delay after a failed call.
  std::chrono::milliseconds mRetryAfter{ 250 };
  // A bundle whose packed size is larger is stored in an object of its own, so
  // that watches carry only its delta.
  std::size_t mInlineLimitBytes = 32 * 1024;
  // A larger delta is left out, and readers fetch the full bundle.
  std::size_t mDeltaLimitBytes = 32 * 1024;
  // Signers of the first bundle, used while the platform holds no bundle. If
  // empty, the signers that the bundle itself names.
  std::vector<signer> mTrusted;
  // Accepts a bundle that has been in force although versions between it and
  // the one at the platform are missing, because the store was restored from an
  // older copy.
  bool mWritesBack = false;
};

// Runs one acceptance. The destructor cancels it without calling the callback.
class bundle_acceptance
{
public:
  using done_callback = std::function<void(acceptance_result)>;

  bundle_acceptance(platform_api& aPlatform,
                    timer_service& aTimers,
                    acceptance_settings aSettings);
  ~bundle_acceptance();
  bundle_acceptance(const bundle_acceptance&) = delete;
  bundle_acceptance& operator=(const bundle_acceptance&) = delete;

  // Must be called once. Calls aDone once, possibly before it returns.
  // aAcceptedAt is stored in the history unchanged.
  void Start(std::string aSignedBundle,
             std::string aAcceptedAt,
             done_callback aDone);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar
