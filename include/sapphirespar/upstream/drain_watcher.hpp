// Follows the set of drained upstreams at the platform. While operators drain
// an upstream, the platform holds an object of kind "drain" that is named after
// the upstream.
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

// Watches the platform from construction to destruction and calls aOnChange
// with each new set. While the platform is unavailable, the last known set
// stays valid.
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
