// The commands that show a router's status and its handling of requests.
#include "commands.hpp"

#include <boost/json.hpp>

#include <array>
#include <iomanip>
#include <iterator>
#include <span>
#include <vector>

namespace sapphirespar::cli {
namespace {

namespace json = boost::json;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;

// A table of the status output: the page's list and the keys shown as columns.
struct status_table
{
  std::string_view mList;
  std::vector<std::string_view> mKeys;
};

std::string
CellText(const json::object& aRow, std::string_view aKey)
{
  const auto* cell = aRow.if_contains(aKey);
  if (!cell) {
    return "-";
  }
  if (const auto* version = cell->if_object();
      version && version->contains("epoch") && version->contains("number")) {
    return json::serialize(version->at("epoch")) + "." +
           json::serialize(version->at("number"));
  }
  return cell->is_string() ? std::string(cell->get_string())
                           : json::serialize(*cell);
}

using table_row = std::vector<std::string>;

table_row
RowOf(const json::value& aItem, std::span<const std::string_view> aKeys)
{
  table_row row;
  const json::object empty;
  const auto& object = aItem.is_object() ? aItem.get_object() : empty;
  std::ranges::transform(
    aKeys, std::back_inserter(row), [&](std::string_view aKey) {
      return CellText(object, aKey);
    });
  return row;
}

void
PrintRows(std::ostream& aOut, const std::vector<table_row>& aRows)
{
  std::vector<std::size_t> widths(aRows.front().size());
  for (const auto& row : aRows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : aRows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      aOut << std::left << std::setw(static_cast<int>(widths[i]) + 2) << row[i];
    }
    aOut << '\n';
  }
}

void
PrintTable(std::ostream& aOut,
           const json::object& aStatus,
           const status_table& aTable)
{
  const auto* list = aStatus.if_contains(aTable.mList);
  if (!list || !list->is_array() || list->get_array().empty()) {
    return;
  }
  std::vector<table_row> rows{ table_row(aTable.mKeys.begin(),
                                         aTable.mKeys.end()) };
  std::ranges::transform(
    list->get_array(), std::back_inserter(rows), [&](const auto& aItem) {
      return RowOf(aItem, aTable.mKeys);
    });
  aOut << '\n' << aTable.mList << '\n';
  PrintRows(aOut, rows);
}

void
PrintStatus(std::ostream& aOut, const json::object& aStatus)
{
  constexpr std::array<std::string_view, 6> kHead{
    "vm", "incarnation", "data_centre", "leaving", "bundle", "platform_up"
  };
  for (const auto key : kHead) {
    aOut << key << ": " << CellText(aStatus, key) << '\n';
  }
  const std::array<status_table, 3> tables{ {
    { "members",
      { "vm", "data_centre", "state", "bundle", "address", "heard_ms_ago" } },
    { "upstreams",
      { "upstream",
        "state",
        "relative_speed",
        "reported_running",
        "reported_queued" } },
    { "queues", { "pool", "slots", "outstanding", "queued" } },
  } };
  for (const auto& table : tables) {
    PrintTable(aOut, aStatus, table);
  }
}

// Fetches a page and prints its body with aPrint, or prints an error.
template<class Print>
exit_code
ShowPage(const ctl_options& aOptions,
         ctl_streams aStreams,
         const std::string& aTarget,
         const Print& aPrint)
{
  const auto page = FetchPage(aOptions.mConnection, aTarget);
  if (!page) {
    aStreams.mError << "sapphirespar-ctl: " << aOptions.mConnection.mRouter
                    << ": " << page.error().mProblem << '\n';
    return exit_code::Failed;
  }
  const auto& response = page.value();
  if (response.mStatus != kOk) {
    aStreams.mError << "sapphirespar-ctl: " << aOptions.mConnection.mRouter
                    << ": status " << response.mStatus << ": " << response.mBody
                    << '\n';
    return response.mStatus == kNotFound ? exit_code::Refused
                                         : exit_code::Failed;
  }
  return aPrint(response.mBody);
}

} // namespace

exit_code
ShowStatus(const ctl_options& aOptions, ctl_streams aStreams)
{
  return ShowPage(
    aOptions, aStreams, "/v1/status", [&](const std::string& aBody) {
      if (aOptions.mJson) {
        aStreams.mOut << aBody << '\n';
        return exit_code::Ok;
      }
      json::error_code error;
      const auto status = json::parse(aBody, error);
      if (error || !status.is_object()) {
        aStreams.mError
          << "sapphirespar-ctl: the router's status is not a JSON object\n";
        return exit_code::Failed;
      }
      PrintStatus(aStreams.mOut, status.get_object());
      return exit_code::Ok;
    });
}

exit_code
Explain(const ctl_options& aOptions, ctl_streams aStreams)
{
  const auto target = aOptions.mRequest.empty()
                        ? "/v1/explain?class=" + aOptions.mClass
                        : "/v1/explain?request=" + aOptions.mRequest;
  return ShowPage(aOptions, aStreams, target, [&](const std::string& aBody) {
    aStreams.mOut << aBody << '\n';
    return exit_code::Ok;
  });
}

} // namespace sapphirespar::cli
