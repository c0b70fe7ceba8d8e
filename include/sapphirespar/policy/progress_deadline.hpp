// Detects stalled streams by the time since their last progress. TCP does not
// report a peer that stopped sending, so each stream needs its own deadline.
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

// Returns limits well above the expected time until the first token and between
// tokens: a stream that exceeds them is far more likely to be dead than slow.
progress_limits LimitsFor(steady_duration aFirstToken,
                          steady_duration aBetweenTokens);

class progress_deadline
{
public:
  progress_deadline(progress_limits aLimits,
                    steady_time aStart,
                    steady_time aAnswerBy);

  // Records a token or another sign that the engine still works on the stream.
  void NoteProgress(steady_time aNow);

  // While the stream is paused, only the deadline of the whole answer applies.
  void SetPaused(bool aPaused, steady_time aNow);

  // Returns when the stream counts as stalled unless it makes progress before.
  steady_time Due() const;

  bool IsStalled(steady_time aNow) const { return aNow >= Due(); }

private:
  const progress_limits mLimits;
  const steady_time mAnswerBy;
  // Time of the start, the last progress or the last pause or resumption.
  steady_time mLast;
  bool mStarted = false;
  bool mPaused = false;
};

} // namespace sapphirespar::policy
