// The record of who holds the duties, as JSON. Internal to duties.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/model/platform.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace sapphirespar::duties {

struct lease_record
{
  // Without a name if the duties were given up.
  process_id mHolder;
  // The store's era in which the record was written; zero if it told none.
  store_era mEra = 0;
  // Counts the holder's writes. The store gives no new version to a write that
  // changes nothing.
  std::uint64_t mWrites = 0;

  bool operator==(const lease_record&) const = default;
};

// A value that is not a record names a holder that nobody is.
lease_record ReadLeaseRecord(std::string_view aValue);
std::string WriteLeaseRecord(const lease_record& aRecord);

} // namespace sapphirespar::duties
