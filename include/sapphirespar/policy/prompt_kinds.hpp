// Tells which kinds of prompts must be kept apart at engines: long prompts
// stall the streams that run beside them. Answers the load of long prompts
// among short questions, whatever the engines' speed.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/engine_figures.hpp"

#include <chrono>
#include <map>
#include <utility>

namespace sapphirespar::policy {

// Identifies a kind of request by its targets. Unlike the names of routes they
// stay when the routing changes.
struct prompt_kind
{
  // Target time until the first event, and between two events.
  std::chrono::milliseconds mTarget{ 0 };
  std::chrono::milliseconds mTargetGap{ 0 };

  auto operator<=>(const prompt_kind&) const = default;
};

struct kind_separation
{
  // Whether the engines must be split into two groups at all.
  bool mSplit = false;
  // The request belongs to the interactive group. Without a split, it is a
  // request that others make way for.
  bool mInteractive = false;
  // Prefill, in milliseconds, that fits between two events of the streams with
  // the smallest target gap.
  double mGapBudgetMs = 0;
};

// How the engines of a pool run its streams.
struct stream_pool
{
  engine_figures mFigures;
  unsigned mSlots = 0;
  unsigned mTokensPerEvent = 1;
  // The smallest target gap among the pool's routes; zero if there is none.
  std::chrono::milliseconds mSmallestGap{ 0 };
};

class prompt_kinds
{
public:
  // Records the length of one prompt.
  void Add(const prompt_kind& aKind, double aTokens);

  // Returns the group of a request with a prompt of aTokens tokens. aUrgent: it
  // has the most urgent priority.
  kind_separation Separate(const prompt_kind& aKind,
                           double aTokens,
                           bool aUrgent,
                           const stream_pool& aPool) const;

private:
  // Moving average of the prompt lengths in tokens, and their number.
  struct prompt_lengths
  {
    double mMean = 0;
    unsigned mCount = 0;
  };

  std::map<prompt_kind, prompt_lengths> mLengths;
};

} // namespace sapphirespar::policy
