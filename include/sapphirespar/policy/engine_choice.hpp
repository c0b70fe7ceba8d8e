// Chooses the engine that answers a prompt soonest without spoiling the streams
// that run there. Answers a load of long prompts beside short interactive ones:
// an engine that reads long prompts one after another makes every stream on it
// pause, so engines are split into an interactive and a bulk group, and either
// kind of work enters the other's group only when its own is far behind. Within
// a group, requests that share a part of their prompt go to the same engine,
// which need not read it again, unless that is far behind.
#pragma once

#include "sapphirespar/policy/upstream_load.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace sapphirespar::policy {

// What one request asks of an engine.
struct prompt_work
{
  double mPromptTokens = 0;
  // The part of the prompt that other requests share, which an engine that has
  // read it lately need not read again.
  double mSharedTokens = 0;
  // Names the shared part; zero if there is none.
  std::uint64_t mSharedKey = 0;
  double mMaximumOutputTokens = 0;
  // A stream whose callers notice short pauses.
  bool mInteractive = false;
  // Of the most urgent priority, so that engines admit it first.
  bool mUrgent = false;
};

struct engine_candidate
{
  // Names the engine to all routers alike.
  std::uint64_t mKey = 0;
  upstream_load mLoad;
  unsigned mSlots = 0;
  // Zero if not known.
  double mMemoryTokens = 0;
  // How much later than predicted its first events have come of late, and what
  // its failures cost, in milliseconds.
  double mPenaltyMs = 0;
  // Has read the shared part lately, as far as is known here.
  bool mHasSharedPrefix = false;
};

struct engine_choice
{
  // Place in the candidates.
  std::size_t mIndex = 0;
  // Until the first event, and the part of it that is spent on other work.
  double mFirstEventMs = 0;
  double mQueueingMs = 0;
  // Prompt tokens that the engine will have to read.
  double mPrefillTokens = 0;
  // Share of the slots taken on engines for work of this kind.
  double mSlotsTaken = 0;
};

// Returns nothing without candidates. aDraw, between 0 and 1, breaks near ties
// differently at each router; aInteractiveShare is that of the engines.
std::optional<engine_choice> ChooseEngine(
  const prompt_work& aWork,
  std::span<const engine_candidate> aCandidates,
  double aInteractiveShare,
  double aDraw);

// Milliseconds in which an engine reads so many prompt tokens.
double PrefillMs(double aTokens);

} // namespace sapphirespar::policy
