// The latest usage report as an object of the store, in JSON. Internal to
// duties.
#pragma once

#include "sapphirespar/duties/duty_calls.hpp"
#include "sapphirespar/model/platform.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirespar::duties {

struct usage_record
{
  usage_report mReport;
  // The store's era in which the record was written; zero if it told none. In
  // a later era, newer records may have been lost.
  store_era mEra = 0;
};

// Returns nothing if aValue is not a record.
std::optional<usage_record> ReadUsageRecord(std::string_view aValue);
std::string WriteUsageRecord(const usage_record& aRecord);

} // namespace sapphirespar::duties
