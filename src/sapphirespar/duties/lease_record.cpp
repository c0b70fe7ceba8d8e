// Reads and writes the record of the holder.
#include "lease_record.hpp"

#include <boost/json.hpp>

namespace sapphirespar::duties {
namespace {

namespace json = boost::json;

// Not a name that a VM can have.
constexpr auto kUnreadable = "?";

} // namespace

lease_record
ReadLeaseRecord(std::string_view aValue)
{
  try {
    const auto value =
      json::parse(json::string_view(aValue.data(), aValue.size()));
    const auto& holder = value.at("holder").as_string();
    return { { { std::string(holder.data(), holder.size()) },
               value.at("incarnation").to_number<incarnation_number>() },
             value.at("era").to_number<store_era>(),
             value.at("writes").to_number<std::uint64_t>() };
  } catch (const std::exception&) {
    return { { { kUnreadable }, 0 }, 0, 0 };
  }
}

std::string
WriteLeaseRecord(const lease_record& aRecord)
{
  return json::serialize(
    json::object{ { "holder", aRecord.mHolder.mVm.mText },
                  { "incarnation", aRecord.mHolder.mIncarnation },
                  { "era", aRecord.mEra },
                  { "writes", aRecord.mWrites } });
}

} // namespace sapphirespar::duties
