// Refuses requests for engines that would begin too late. Answers a load above
// what the engines can take: bulk work that would miss its target is refused
// first, as while it waits all of its kind become late; interactive work, which
// takes the place of bulk work at engines, only when its caller would be gone.
// The fuller the engines, the less bulk work may queue: predictions are too
// short then, as streams slow each other down, and a caller refused at once can
// still be in time when it comes back.
#pragma once

#include <chrono>
#include <optional>

namespace sapphirespar::policy {

struct expected_wait
{
  // Until the first event.
  std::chrono::milliseconds mFirstEvent{ 0 };
  // The part of it that is spent on other work.
  std::chrono::milliseconds mQueueing{ 0 };
  // Share of the slots taken on engines for work of this kind.
  double mSlotsTaken = 0;
  bool mInteractive = false;
  // What callers were promised, and when they give up.
  std::chrono::milliseconds mTarget{ 0 };
  std::chrono::milliseconds mPatience{ 0 };
};

// Returns when the caller is to come back, or nothing if the request may wait.
// aDraw, between 0 and 1, spreads those who are refused together.
std::optional<std::chrono::milliseconds> CheckWaitLimit(
  const expected_wait& aWait,
  double aDraw);

} // namespace sapphirespar::policy
