// Deadlines of one stream. TCP says nothing of a connection that has gone
// silent, so each stream has to make progress by itself.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

namespace sapphirespar::policy {

struct progress_limits
{
  // From the start until the first token.
  steady_duration mFirstToken{};
  // From one token until the next.
  steady_duration mBetweenTokens{};
};

// Returns generous limits for a stream that is expected to take
// aFirstToken until its first token and aBetweenTokens from one to the next:
// a stream that exceeds them is far more likely dead than slow.
progress_limits LimitsFor(steady_duration aFirstToken,
                          steady_duration aBetweenTokens);

class progress_deadline
{
public:
  progress_deadline(progress_limits aLimits,
                    steady_time aStart,
                    steady_time aAnswerBy);

  // A token has come, or the engine has shown that it still works on it.
  void NoteProgress(steady_time aNow);

  // While paused the stream owes nothing but its whole answer in time.
  void SetPaused(bool aPaused, steady_time aNow);

  // When the stream counts as stalled unless it makes progress before.
  steady_time Due() const;

  bool IsStalled(steady_time aNow) const { return aNow >= Due(); }

private:
  const progress_limits mLimits;
  const steady_time mAnswerBy;
  // The start or the last progress.
  steady_time mLast;
  bool mStarted = false;
  bool mPaused = false;
};

} // namespace sapphirespar::policy
