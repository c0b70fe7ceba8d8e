// The stand-in engine's prefix cache and its events, which come late and with
// gaps, and its load reports, which lag.
#pragma once

#include "standin_http.hpp"

#include <deque>
#include <list>
#include <string>

namespace sapphirespar::tools {

using engine_time = std::chrono::steady_clock::time_point;

class prefix_cache
{
public:
  // Uses the cache for one prompt; returns whether its beginning was there.
  bool Use(std::string_view aPrompt, engine_time aNow);

  // The events from aFrom that have been published by aNow.
  json::object Events(std::uint64_t aFrom, engine_time aNow) const;

private:
  struct cache_event
  {
    std::uint64_t mNumber = 0;
    engine_time mPublished;
    bool mStored = true;
    std::uint64_t mPrefix = 0;
  };

  void Tell(bool aStored, std::uint64_t aPrefix, engine_time aNow);

  // Most recently used first.
  std::list<std::uint64_t> mPrefixes;
  // Numbers rise; some are missing.
  std::deque<cache_event> mEvents;
  std::uint64_t mNextNumber = 1;
};

struct load_sample
{
  engine_time mAt;
  unsigned mRunning = 0;
  std::size_t mQueued = 0;
};

// Remembers the load for long enough to report it late.
class load_history
{
public:
  void Add(load_sample aSample);

  // The load as it was at aTime.
  load_sample At(engine_time aTime) const;

private:
  // Oldest first.
  std::deque<load_sample> mSamples;
};

} // namespace sapphirespar::tools
