// Reads and writes reports.
#include "usage_record.hpp"

#include <boost/json.hpp>

namespace sapphirespar::duties {
namespace {

namespace json = boost::json;

} // namespace

std::optional<usage_record>
ReadUsageRecord(std::string_view aValue)
{
  try {
    const auto value =
      json::parse(json::string_view(aValue.data(), aValue.size()));
    usage_record record;
    record.mEra = value.at("era").to_number<store_era>();
    auto& report = record.mReport;
    report.mWindow = value.at("window").to_number<usage_window>();
    for (const auto& item : value.at("requests").as_object()) {
      report.mCounts.push_back({ { std::string(item.key()) },
                                 item.value().to_number<std::uint64_t>() });
    }
    return record;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string
WriteUsageRecord(const usage_record& aRecord)
{
  const auto& report = aRecord.mReport;
  json::object requests;
  for (const auto& count : report.mCounts) {
    requests[count.mAccount.mText] = count.mRequests;
  }
  return json::serialize(json::object{ { "window", report.mWindow },
                                       { "era", aRecord.mEra },
                                       { "requests", std::move(requests) } });
}

} // namespace sapphirespar::duties
