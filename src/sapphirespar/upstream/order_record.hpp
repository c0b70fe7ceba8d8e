// JSON values of the platform objects that orders use: one record for each
// upstream, and the slots of the weight store.
#pragma once

#include "sapphirespar/model/platform.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar::upstream {

// The latest order to an upstream.
struct order_record
{
  // Identifies one order of one process.
  std::string mOrder;
  // Whether the order may still be in progress.
  bool mOpen = false;
  // The store's era in which the record was written; zero if it told none.
  store_era mEra = 0;
};

// Returns an empty record for an empty value. A value that is not a record is
// read as an open order without a name, so that the next order waits for it.
order_record ReadOrderRecord(std::string_view aValue);
std::string WriteOrderRecord(const order_record& aRecord);

// Returns whether a record proves that its order was the latest one. Later ones
// may be missing in a record that is older than the store's last restore.
bool IsLatest(const order_record& aRecord, store_era aEra);

// Returns the orders that hold a slot of the weight store; none if aValue is
// malformed.
std::vector<std::string> ReadSlots(std::string_view aValue);
std::string WriteSlots(const std::vector<std::string>& aOrders);

} // namespace sapphirespar::upstream
