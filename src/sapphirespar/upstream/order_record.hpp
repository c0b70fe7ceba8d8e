// The objects behind orders: one record for each upstream, and the slots of
// the weight store.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar::upstream {

// Who last ordered something from an upstream.
struct order_record
{
  // Names one order of one process.
  std::string mOrder;
  // Whether the order may still be under way.
  bool mOpen = false;
};

// Text that is not a record reads as an open order of nobody, which is the
// careful reading.
order_record ReadOrderRecord(std::string_view aValue);
std::string WriteOrderRecord(const order_record& aRecord);

// The orders that hold a slot of the weight store.
std::vector<std::string> ReadSlots(std::string_view aValue);
std::string WriteSlots(const std::vector<std::string>& aOrders);

} // namespace sapphirespar::upstream
