// Refuses requests whose answer from an engine would begin too late when the
// load exceeds the capacity of the engines.
#pragma once

#include <chrono>
#include <optional>

namespace sapphirespar::policy {

struct expected_wait
{
  // Predicted time until the first event.
  std::chrono::milliseconds mFirstEvent{ 0 };
  // The part of mFirstEvent that is spent on other requests.
  std::chrono::milliseconds mQueueing{ 0 };
  // Share of the slots taken, between 0 and 1, on the engines for this kind of
  // work.
  double mSlotsTaken = 0;
  bool mInteractive = false;
  // The promised time until the first event, and the time for which callers
  // wait for the first event.
  std::chrono::milliseconds mTarget{ 0 };
  std::chrono::milliseconds mPatience{ 0 };
};

// Returns the time after which the caller should retry, or nothing if the
// request may wait.
//
// Bulk work is refused if it would miss its target: while such a request waits,
// it makes all later ones of its kind late. Interactive work displaces bulk
// work at engines and is refused only if its caller would stop waiting before
// the first event. The fuller the engines, the shorter bulk work may queue, for
// two reasons: predictions are too low then because streams slow each other
// down, and a caller refused at once can still be in time with a retry.
//
// aDraw, a random number between 0 and 1, spreads the retries of callers that
// are refused at the same time.
std::optional<std::chrono::milliseconds> CheckWaitLimit(
  const expected_wait& aWait,
  double aDraw);

} // namespace sapphirespar::policy
