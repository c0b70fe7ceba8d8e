// The slots of the weight store: so many loads at a time in the whole fleet.
#pragma once

#include "sapphirespar/upstream/order_controller.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sapphirespar::upstream {

// Exceeding the slots for a while does no harm, so a slot whose holder has
// gone may be taken over after a time; the time is the observer's own.
class weight_slots : public std::enable_shared_from_this<weight_slots>
{
public:
  weight_slots(platform_api& aPlatform,
               timer_service& aTimers,
               const order_settings& aSettings);

  // Waits for a slot as long as it takes; false if the platform stays away.
  void Take(const std::string& aOrder, std::function<void(bool)> aDone);
  void Give(const std::string& aOrder);

private:
  object_key Key() const;
  void Forget(std::vector<std::string>& aOrders);

  platform_api& mPlatform;
  timer_service& mTimers;
  const order_settings mSettings;
  // When each order was first seen to hold a slot.
  std::map<std::string, steady_time> mSeen;
  // Orders that wait for the next look.
  std::map<std::string, timer_subscription> mWaiting;
};

} // namespace sapphirespar::upstream
