// Hints about the prompt prefixes that engines hold in their caches. Engines
// publish cache events late and with gaps, so hints may be wrong, and expire
// unless they are renewed.
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

// An engine's answer to GET /v1/cache/events.
struct cache_report
{
  std::vector<cache_event> mEvents;
  // Event number from which the next request should start.
  std::uint64_t mNext = 0;
};

// Parses a report. Returns nothing if aBody is not a valid report.
std::optional<cache_report> ReadCacheReport(std::string_view aBody);

class prefix_hints
{
public:
  // Returns the event number from which to request aUpstream's next report.
  std::uint64_t NextEvent(const upstream_id& aUpstream) const;

  // Applies the events of a report. If mNext is lower than in the previous
  // report, the engine has restarted with an empty cache, and its earlier hints
  // are dropped.
  void Apply(const upstream_id& aUpstream,
             const cache_report& aReport,
             steady_time aNow);

  // Records that aUpstream has just answered a request with this prefix. A
  // prefix of zero is ignored.
  void Touch(const upstream_id& aUpstream,
             std::uint64_t aPrefix,
             steady_time aNow);

  // Drops all hints of an upstream.
  void Forget(const upstream_id& aUpstream);

  // Returns the prefixes with an unexpired hint, the most recent first.
  std::vector<std::uint64_t> Prefixes(const upstream_id& aUpstream,
                                      steady_time aNow) const;

private:
  struct engine_hints
  {
    std::uint64_t mNext = 0;
    // Time of each prefix's last event or request; at most kMaxHints entries.
    std::map<std::uint64_t, steady_time> mLastSeen;
  };

  static void RecordSeen(engine_hints& aHints,
                         std::uint64_t aPrefix,
                         steady_time aNow);

  std::map<upstream_id, engine_hints> mEngines;
};

} // namespace sapphirespar::upstream
