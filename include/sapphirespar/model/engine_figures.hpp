// Speed of the engines of a pool, as configured for a deployment or as learned
// from answers.
#pragma once

namespace sapphirespar {

struct engine_figures
{
  // Prompt tokens that an engine processes per millisecond.
  double mPrefillTokensPerMs = 82;
  // Milliseconds until the first event of an empty prompt on an idle engine.
  double mFirstEventMs = 41;
  // Engines split the prefill into chunks of this many tokens. Between two
  // chunks every running request generates one token, and a more urgent prompt
  // can go first.
  double mChunkTokens = 4096;
  // Milliseconds that it takes to generate one token of every running request:
  // a constant part, and a part for each of these requests.
  double mStepMs = 3.7;
  double mStepMsPerRequest = 0.08;

  bool operator==(const engine_figures&) const = default;
};

} // namespace sapphirespar
