// Counting semaphore that limits concurrent loads from the weight store in the
// whole fleet.
#pragma once

#include "sapphirespar/upstream/order_controller.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sapphirespar::upstream {

// Slots of crashed processes expire. Each process measures the expiry time on
// its own clock from when it first saw the slot taken. A slow holder may lose
// its slot this way; exceeding the limit for a while does no harm.
class weight_store_slots
  : public std::enable_shared_from_this<weight_store_slots>
{
public:
  weight_store_slots(platform_api& aPlatform,
                     timer_service& aTimers,
                     const order_settings& aSettings);

  // Acquires a slot for aOrder and calls aDone with true. Waits without a time
  // limit while all slots are taken. Calls aDone with false if an update of the
  // platform object times out.
  void Acquire(const std::string& aOrder, std::function<void(bool)> aDone);
  // Does nothing if aOrder holds no slot.
  void Release(const std::string& aOrder);

private:
  object_key Key() const;
  void RemoveExpired(std::vector<std::string>& aOrders);

  platform_api& mPlatform;
  timer_service& mTimers;
  const order_settings mSettings;
  // When each order was first seen to hold a slot.
  std::map<std::string, steady_time> mFirstSeen;
  // Retry timers of the orders that wait for a free slot.
  std::map<std::string, timer_subscription> mWaiting;
};

} // namespace sapphirespar::upstream
