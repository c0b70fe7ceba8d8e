// Chooses the engine that answers a prompt soonest without delaying the streams
// that run there.
#pragma once

#include "sapphirespar/model/engine_figures.hpp"
#include "sapphirespar/policy/upstream_load.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace sapphirespar::policy {

// The work that one request puts on an engine.
struct prompt_work
{
  double mPromptTokens = 0;
  // Length of the prompt prefix that other requests share. An engine that has
  // processed the prefix recently has it cached.
  double mSharedTokens = 0;
  // Identifies the shared prefix; zero if there is none.
  std::uint64_t mSharedKey = 0;
  // Target time until the first event, in milliseconds.
  double mTargetMs = 0;
  // Prefill, in milliseconds, that fits between two events of an interactive
  // stream.
  double mGapBudgetMs = 0;
  double mMaximumOutputTokens = 0;
  // A stream whose callers notice short pauses.
  bool mInteractive = false;
  // Has the most urgent priority, so that engines admit it first.
  bool mUrgent = false;
};

struct engine_candidate
{
  // Identifies the engine; the same at all routers.
  std::uint64_t mKey = 0;
  // Identifies its data centre; the same for all if they are not told apart.
  std::uint64_t mZone = 0;
  upstream_load mLoad;
  unsigned mSlots = 0;
  // Memory in tokens; zero if unknown.
  double mMemoryTokens = 0;
  // How many times as long as the figures say it takes.
  double mSlowness = 1;
  // Recent lateness of its first events against the prediction, plus the cost
  // of its failures, in milliseconds.
  double mPenaltyMs = 0;
  // Leading tokens of the shared prefix that this router believes to be cached
  // there.
  double mCachedTokens = 0;
};

struct engine_choice
{
  // Index in the candidates.
  std::size_t mIndex = 0;
  // Predicted time until the first event, and the part of it that is spent on
  // other requests.
  double mFirstEventMs = 0;
  double mQueueingMs = 0;
  // Prompt tokens that the engine will have to process.
  double mPrefillTokens = 0;
  // Share of the slots taken, between 0 and 1, on the engines for this kind of
  // work.
  double mSlotsTaken = 0;
};

// Chooses the engine with the lowest cost, which is mainly the predicted time
// until the first event. The prefill of long prompts stalls every stream on the
// same engine, so the engines are split into an interactive and a bulk group,
// and a request leaves the group of its kind only when that group is far
// behind. Within a group, requests with the same prompt prefix go to the same
// engine, which has the prefix cached, unless that engine is far behind.
//
// aInteractiveShare is the share of the engines of each data centre that
// belongs to the interactive group, so that a choice within one data centre
// keeps to the groups of the others' choices; with zero, the engines are not
// split. aDraw, a random number between 0 and 1, breaks near ties differently
// at each router. Returns nothing without candidates.
std::optional<engine_choice> ChooseEngine(
  const prompt_work& aWork,
  std::span<const engine_candidate> aCandidates,
  const engine_figures& aFigures,
  double aInteractiveShare,
  double aDraw);

} // namespace sapphirespar::policy
