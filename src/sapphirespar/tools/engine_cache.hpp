// The stand-in engine's prefix cache and load history. Cache events are
// published late and with gaps, and load reports may lag.
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
  // Returns whether the prompt's prefix was cached, and marks it as the most
  // recently used one. A new prefix may evict the least recently used one.
  bool LookUpOrInsert(std::string_view aPrompt, engine_time aNow);

  // Returns the events with numbers from aFrom that are published by aNow.
  json::object Events(std::uint64_t aFrom, engine_time aNow) const;

private:
  struct cache_event
  {
    std::uint64_t mNumber = 0;
    engine_time mPublished;
    bool mStored = true;
    std::uint64_t mPrefix = 0;
  };

  void AddEvent(bool aStored, std::uint64_t aPrefix, engine_time aNow);

  // Most recently used first.
  std::list<std::uint64_t> mPrefixes;
  // In ascending order of number, with gaps.
  std::deque<cache_event> mEvents;
  std::uint64_t mNextNumber = 1;
};

struct load_sample
{
  engine_time mAt;
  unsigned mRunning = 0;
  std::size_t mQueued = 0;
};

// Keeps recent load samples, so that reports can lag.
class load_history
{
public:
  void Add(load_sample aSample);

  // Returns the newest sample that is not later than aTime, or zero load if
  // there is none.
  load_sample At(engine_time aTime) const;

private:
  // Oldest first.
  std::deque<load_sample> mSamples;
};

} // namespace sapphirespar::tools
