// Keeps requests that crash upstreams away from them, by the parts of their
// prompts and by their fingerprints: gives what happens to requests to
// policy/crash_suspects.hpp, logs its conclusions and tells peers.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/peer_alert.hpp"
#include "sapphirespar/policy/crash_suspects.hpp"
#include "sapphirespar/telemetry/metrics.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace sapphirespar::gateway {

// What requests are known by.
struct request_marks
{
  std::string_view mPool;
  // The parts of the prompt that other prompts may share.
  std::span<const std::uint64_t> mSharedParts;
  // See request_fingerprint.hpp.
  std::uint64_t mFingerprint = 0;
};

// What a gateway reports of crashes, by parts and by fingerprints.
struct crash_reports
{
  crash_report mParts;
  crash_report mRequests;
};

// Why and how long a request is refused.
struct crash_refusal
{
  std::string_view mReason;
  std::chrono::milliseconds mRetryAfter{ 0 };
};

struct crash_guard_hooks
{
  // Returns whether this gateway makes the trials of a quarantined part or
  // fingerprint.
  policy::crash_suspects::trial_hook mMakesTrials;
  // Sends this gateway's state to all peers.
  std::function<void()> mTellPeers;
};

class crash_guard
{
public:
  // The references must outlive the guard.
  crash_guard(timer_service& aTimers,
              metrics& aMetrics,
              crash_guard_hooks aHooks);

  // How far an answer had come when its connection broke.
  enum class answer_progress
  {
    Nothing,
    // The head, and no event.
    Begun,
    Events,
  };

  // Records that an upstream broke the connection of a request that was sent to
  // it at aSent at the earliest.
  void OnUpstreamLost(const request_marks& aMarks,
                      std::uint64_t aUpstream,
                      answer_progress aProgress,
                      steady_time aSent);

  // Records that an answer went on after its begin, or is complete.
  void OnSurvival(const request_marks& aMarks);

  // Records that bytes came from an upstream.
  void OnSign(std::uint64_t aUpstream);

  // Returns the refusal of a request that must not be sent.
  std::optional<crash_refusal> Refuse(const request_marks& aMarks);

  // Returns whether a request that lost its upstream may be sent to another.
  bool MayRepeat(const request_marks& aMarks) const;

  void Merge(const crash_reports& aReports);
  crash_reports Reports() const;

private:
  void Update();
  void ShowQuarantines();

  timer_service& mTimers;
  metrics& mMetrics;
  const crash_guard_hooks mHooks;
  policy::crash_suspects mParts;
  // Their parts are fingerprints.
  policy::crash_suspects mRequests;
  peer_alert mAlert;
  timer_subscription mUpdate;
};

// Returns the identifiers in hexadecimal, separated by commas; those beyond the
// eighth are left out.
std::string PartsText(std::span<const std::uint64_t> aIds);

} // namespace sapphirespar::gateway
