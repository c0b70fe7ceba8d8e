// Acceptance of a signed bundle: one conditional update of the platform's
// current bundle, on the version that the bundle was signed to follow.
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
  // This very bundle was already in force.
  AlreadyAccepted,
  // Another bundle is in force than the one this was signed to follow.
  VersionConflict,
  // Its form or signature is wrong; nothing was written.
  Refused,
  // The platform could not be reached in time; nothing was written.
  NotWritten,
  // A write was sent whose effect could not be read back in time.
  Unknown,
};

// Returns the verdict as it stands in output, such as "overtaken".
std::string_view ToText(acceptance_status aVerdict);

struct acceptance_result
{
  acceptance_status mStatus = acceptance_status::NotWritten;
  // What is in force at the platform, as far as it was read.
  bundle_version mInForce;
  std::string mInForceSigner;
  // Why, for a person.
  std::string mDetail;
};

struct acceptance_settings
{
  std::chrono::milliseconds mDeadline{ 20000 };
  std::chrono::milliseconds mRetryAfter{ 250 };
  // A bundle that takes more than this, packed, gets an object of its own, so
  // that watches only carry its delta.
  std::size_t mInlineLimitBytes = 32 * 1024;
  // A longer delta is left out, and readers fetch the whole.
  std::size_t mDeltaLimitBytes = 32 * 1024;
  // Who may sign while the platform holds no bundle.
  std::vector<signer> mTrusted;
};

// Runs one acceptance; its destruction abandons it.
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

  // Calls aDone once. aAcceptedAt is noted in the history as it is.
  void Start(std::string aSignedBundle,
             std::string aAcceptedAt,
             done_callback aDone);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar
