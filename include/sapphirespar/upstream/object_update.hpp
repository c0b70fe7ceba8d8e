// Changes one object at the platform, whatever others do to it meanwhile.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/platform.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sapphirespar::upstream {

enum class change_kind
{
  Write,
  Remove,
  // The object is as wanted: an earlier write has taken effect.
  Keep,
  // The change is not wanted any more.
  Stop,
};

struct object_change
{
  change_kind mKind = change_kind::Stop;
  std::string mValue;
};

// Decides by the current value, which is empty if there is no object.
using change_decision = std::function<object_change(std::string_view aValue)>;

enum class update_status
{
  Ok,
  Stopped,
  // Nothing certain is known: the write may or may not have taken effect.
  GivenUp,
};

struct update_result
{
  update_status mStatus = update_status::GivenUp;
  // After Ok, the version with the change.
  object_version mVersion = kNoObject;
};

using update_callback = std::function<void(update_result)>;

// Reads, decides, writes on condition, and reads again when the write's fate
// is not known, until it is done or aPatience is over. The callback is dropped
// once aOwner is gone.
void UpdateObject(platform_api& aPlatform,
                  timer_service& aTimers,
                  object_key aKey,
                  change_decision aDecide,
                  steady_duration aPatience,
                  std::weak_ptr<void> aOwner,
                  update_callback aDone);

} // namespace sapphirespar::upstream
