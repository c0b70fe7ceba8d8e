// Which prompt prefixes engines are believed to hold in their caches. Engines
// publish cache events late and with gaps, so this is a hint that fades, never
// a fact.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace sapphirespar::upstream {

struct cache_event
{
  std::uint64_t mNumber = 0;
  // False when the prefix was evicted.
  bool mStored = true;
  std::uint64_t mPrefix = 0;
};

// What an engine answers to GET /v1/cache/events.
struct cache_report
{
  std::vector<cache_event> mEvents;
  // Number to ask from next time.
  std::uint64_t mNext = 0;
};

// Reads a report; nothing if the body is not one.
std::optional<cache_report> ReadCacheReport(std::string_view aBody);

class prefix_hints
{
public:
  // Number to ask aUpstream's events from.
  std::uint64_t NextEvent(const upstream_id& aUpstream) const;

  // Takes over a report. One that counts from an earlier number than was asked
  // for comes from a restarted engine, whose cache is empty.
  void Apply(const upstream_id& aUpstream,
             const cache_report& aReport,
             steady_time aNow);

  // A request with this prefix has just been answered by aUpstream.
  void Touch(const upstream_id& aUpstream,
             std::uint64_t aPrefix,
             steady_time aNow);

  // Drops all hints of an upstream.
  void Forget(const upstream_id& aUpstream);

  // The prefixes believed cached, the most recently heard of first.
  std::vector<std::uint64_t> Prefixes(const upstream_id& aUpstream,
                                      steady_time aNow) const;

private:
  struct engine_hints
  {
    std::uint64_t mNext = 0;
    // When each prefix was last heard of; at most kHintsKept.
    std::map<std::uint64_t, steady_time> mHeard;
  };

  static void Hear(engine_hints& aHints,
                   std::uint64_t aPrefix,
                   steady_time aNow);

  std::map<upstream_id, engine_hints> mEngines;
};

} // namespace sapphirespar::upstream
