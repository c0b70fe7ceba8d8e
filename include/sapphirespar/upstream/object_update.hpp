// Updates one platform object by optimistic concurrency: read, decide, write on
// the condition that the version is unchanged, and retry after a conflict.
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
  // The object already has the wanted state, for example because an earlier
  // write took effect although its answer was lost.
  Keep,
  // The change is not wanted any more; the update ends as Stopped.
  Stop,
};

struct object_change
{
  change_kind mKind = change_kind::Stop;
  std::string mValue;
};

// Returns the change to make, given the object's current value and the store's
// era in which it was read. The value is empty if the object does not exist.
using change_decision =
  std::function<object_change(std::string_view aValue, store_era aEra)>;

enum class update_status
{
  Ok,
  // The decision was change_kind::Stop.
  Stopped,
  // The timeout expired; a write may or may not have taken effect.
  TimedOut,
};

struct update_result
{
  update_status mStatus = update_status::TimedOut;
  // After Ok, the version of the object with the change.
  object_version mVersion = kNoObject;
  // After Ok and Stopped, the era of the answer that decided.
  store_era mEra = 0;
};

using update_callback = std::function<void(update_result)>;

// Reads the object, calls aDecide and writes the change with the read version
// as its condition. After a conflict, a failure or a lost answer the object is
// read again, until the update ends or aTimeout expires. The same is done if
// the store was restored between the read and the write, because its versions
// are given out again. Nothing is called once aOwner has expired.
void UpdateObject(platform_api& aPlatform,
                  timer_service& aTimers,
                  object_key aKey,
                  change_decision aDecide,
                  steady_duration aTimeout,
                  std::weak_ptr<void> aOwner,
                  update_callback aDone);

} // namespace sapphirespar::upstream
