// What a request will take, learned from the completions of its class.
#pragma once

#include "sapphirespar/policy/length_estimate.hpp"
#include "sapphirespar/policy/scheduler.hpp"

#include <map>
#include <string>
#include <unordered_map>

namespace sapphirespar::policy {

// Counted from the moment the request gets its slot; zero when not known yet.
struct expectation
{
  steady_duration mFirstToken{};
  // What nine in ten answers do not exceed, as far as known.
  steady_duration mAnswer{};
  // Mean time that the slot is held.
  steady_duration mSlotTime{};
};

class answer_estimate
{
public:
  // Takes in that aRequest held a slot for aHeld, pauses left out.
  void Note(const queued_request& aRequest,
            const completion& aCompletion,
            steady_duration aHeld);

  expectation Expect(const queued_request& aRequest) const;

  // Mean time that a request of a class holds a slot, or a cautious default.
  steady_duration SlotTime(const class_id& aClass) const;

private:
  struct class_record
  {
    length_estimate mLength;
    // Tokens that nine in ten answers do not exceed; renewed now and then.
    double mLongTokens = 0;
    unsigned mSinceRenewal = 0;
    // Moving means in seconds; zero until known.
    double mFirstToken = 0;
    double mSlotTime = 0;
  };

  std::unordered_map<class_id, class_record> mClasses;
  // Moving mean of seconds between tokens in each pool.
  std::unordered_map<std::string, double> mPaces;
};

} // namespace sapphirespar::policy
