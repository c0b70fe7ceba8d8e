// Reads and writes order records and slots as JSON.
#include "order_record.hpp"

#include <boost/json.hpp>

namespace sapphirespar::upstream {
namespace {

namespace json = boost::json;

json::object
ReadObject(std::string_view aValue)
{
  json::error_code error;
  auto value = json::parse(aValue, error);
  return error || !value.is_object() ? json::object()
                                     : std::move(value.get_object());
}

} // namespace

order_record
ReadOrderRecord(std::string_view aValue)
{
  if (aValue.empty()) {
    return {};
  }
  const auto object = ReadObject(aValue);
  const auto* const order = object.if_contains("order");
  const auto* const open = object.if_contains("open");
  if (order == nullptr || !order->is_string() || open == nullptr ||
      !open->is_bool()) {
    return { "", true };
  }
  const auto& name = order->get_string();
  const auto* const era = object.if_contains("era");
  json::error_code error;
  const auto number = era ? era->to_number<store_era>(error) : 0;
  return { std::string(name.data(), name.size()),
           open->get_bool(),
           error ? 0 : number };
}

std::string
WriteOrderRecord(const order_record& aRecord)
{
  json::object object{ { "order", aRecord.mOrder }, { "open", aRecord.mOpen } };
  if (aRecord.mEra != 0) {
    object["era"] = aRecord.mEra;
  }
  return json::serialize(object);
}

bool
IsLatest(const order_record& aRecord, store_era aEra)
{
  return aEra == 0 || aRecord.mEra == aEra;
}

std::vector<std::string>
ReadSlots(std::string_view aValue)
{
  std::vector<std::string> orders;
  const auto object = ReadObject(aValue);
  const auto* const slots = object.if_contains("slots");
  if (slots == nullptr || !slots->is_array()) {
    return orders;
  }
  for (const auto& slot : slots->get_array()) {
    if (const auto* const order = slot.if_string()) {
      orders.emplace_back(order->data(), order->size());
    }
  }
  return orders;
}

std::string
WriteSlots(const std::vector<std::string>& aOrders)
{
  json::array slots(aOrders.begin(), aOrders.end());
  return json::serialize(json::object{ { "slots", std::move(slots) } });
}

} // namespace sapphirespar::upstream
