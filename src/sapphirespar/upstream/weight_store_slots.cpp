// Acquires and releases slots by conditional updates of one platform object.
#include "weight_store_slots.hpp"

#include "order_record.hpp"
#include "sapphirespar/upstream/object_update.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::upstream {
namespace {

constexpr std::chrono::seconds kUpdateTimeout{ 20 };

} // namespace

weight_store_slots::weight_store_slots(platform_api& aPlatform,
                                       timer_service& aTimers,
                                       const order_settings& aSettings)
  : mPlatform(aPlatform)
  , mTimers(aTimers)
  , mSettings(aSettings)
{
}

object_key
weight_store_slots::Key() const
{
  return { std::string(kOrderKind), "weight-store" };
}

void
weight_store_slots::Acquire(const std::string& aOrder,
                            std::function<void(bool)> aDone)
{
  mWaiting.erase(aOrder);
  const auto decide = [this, aOrder](std::string_view aValue, store_era) {
    auto orders = ReadSlots(aValue);
    if (std::ranges::find(orders, aOrder) != orders.end()) {
      return object_change{ change_kind::Keep, {} };
    }
    RemoveExpired(orders);
    if (orders.size() >= mSettings.mWeightStoreSlots) {
      return object_change{ change_kind::Stop, {} };
    }
    orders.push_back(aOrder);
    return object_change{ change_kind::Write, WriteSlots(orders) };
  };
  const auto done = [this, aOrder, aDone](const update_result& aResult) {
    if (aResult.mStatus != update_status::Stopped) {
      aDone(aResult.mStatus == update_status::Ok);
      return;
    }
    mWaiting[aOrder] =
      mTimers.After(mSettings.mSlotRetryInterval,
                    [this, aOrder, aDone] { Acquire(aOrder, aDone); });
  };
  UpdateObject(
    mPlatform, mTimers, Key(), decide, kUpdateTimeout, weak_from_this(), done);
}

// Removes orders that have held a slot for longer than mSlotExpiry.
void
weight_store_slots::RemoveExpired(std::vector<std::string>& aOrders)
{
  const auto now = mTimers.Now();
  std::erase_if(mFirstSeen, [&](const auto& aItem) {
    return std::ranges::find(aOrders, aItem.first) == aOrders.end();
  });
  std::erase_if(aOrders, [&](const auto& aOrder) {
    const auto seen = mFirstSeen.try_emplace(aOrder, now).first->second;
    return now - seen > mSettings.mSlotExpiry;
  });
}

void
weight_store_slots::Release(const std::string& aOrder)
{
  const auto decide = [aOrder](std::string_view aValue, store_era) {
    auto orders = ReadSlots(aValue);
    if (std::erase(orders, aOrder) == 0) {
      return object_change{ change_kind::Keep, {} };
    }
    return object_change{ change_kind::Write, WriteSlots(orders) };
  };
  UpdateObject(mPlatform,
               mTimers,
               Key(),
               decide,
               kUpdateTimeout,
               weak_from_this(),
               [](const auto&) {});
}

} // namespace sapphirespar::upstream
