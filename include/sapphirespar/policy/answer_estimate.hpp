// Predicts the time that a request takes at an upstream from earlier
// completions of its class.
#pragma once

#include "sapphirespar/policy/length_estimate.hpp"
#include "sapphirespar/policy/scheduler.hpp"

#include <map>
#include <string>
#include <unordered_map>

namespace sapphirespar::policy {

// Durations from the moment when the request gets its slot; zero if unknown.
struct expected_times
{
  steady_duration mFirstToken{};
  // 90th percentile of the time until the answer is complete.
  steady_duration mAnswer{};
  // Mean time for which the slot is held.
  steady_duration mSlotTime{};
};

class answer_estimate
{
public:
  // Learns from a completed request that held a slot for aHeldTime, not
  // counting pauses.
  void AddCompletion(const queued_request& aRequest,
                     const completion& aCompletion,
                     steady_duration aHeldTime);

  expected_times Predict(const queued_request& aRequest) const;

  // Returns the mean time for which a request of a class holds a slot, or a
  // conservative default while no request of the class has completed.
  steady_duration SlotTime(const class_id& aClass) const;

private:
  struct class_record
  {
    length_estimate mLength;
    // 90th percentile of answer lengths in tokens, refreshed periodically.
    double mLongAnswerTokens = 0;
    unsigned mSinceRefresh = 0;
    // Moving averages in seconds; zero while unknown.
    double mFirstToken = 0;
    double mSlotTime = 0;
  };

  std::unordered_map<class_id, class_record> mClasses;
  // Moving average of the seconds between tokens, by pool.
  std::unordered_map<std::string, double> mTokenIntervals;
};

} // namespace sapphirespar::policy
