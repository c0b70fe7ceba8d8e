// Learns from the platform which upstreams operators drain: an object of kind
// "drain" for each, named like the upstream, for as long as it is drained.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/platform.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string_view>

namespace sapphirespar::upstream {

inline constexpr std::string_view kDrainKind = "drain";

using drain_callback = std::function<void(const std::set<upstream_id>&)>;

// Watches for as long as it lives. While the platform is away the last known
// set stays in force.
class drain_watcher
{
public:
  drain_watcher(platform_api& aPlatform,
                timer_service& aTimers,
                drain_callback aOnChange);
  ~drain_watcher();
  drain_watcher(const drain_watcher&) = delete;
  drain_watcher& operator=(const drain_watcher&) = delete;

private:
  class state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::upstream
