// Parses the load reports of engines.
#include "sapphirespar/upstream/health_tracker.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace sapphirespar::upstream {
namespace {

namespace json = boost::json;

// Returns zero if the number is missing or out of range.
template<class Number>
Number
NumberAt(const json::object& aObject, std::string_view aKey)
{
  const auto* const value = aObject.if_contains(aKey);
  if (value == nullptr) {
    return 0;
  }
  json::error_code error;
  const auto number = value->to_number<Number>(error);
  return error ? 0 : number;
}

std::optional<std::vector<model_id>>
ModelsOf(const json::object& aObject)
{
  const auto* const value = aObject.if_contains("models");
  if (value == nullptr || !value->is_array()) {
    return std::nullopt;
  }
  std::vector<model_id> models;
  for (const auto& item : value->get_array()) {
    if (const auto* const name = item.if_string()) {
      models.push_back({ std::string(name->data(), name->size()) });
    }
  }
  return models;
}

} // namespace

std::optional<load_report>
ReadLoadReport(std::string_view aBody)
{
  json::error_code error;
  const auto value = json::parse(aBody, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  const auto& object = value.get_object();
  return load_report{ NumberAt<unsigned>(object, "running"),
                      NumberAt<unsigned>(object, "queued"),
                      NumberAt<unsigned>(object, "slots"),
                      ModelsOf(object),
                      NumberAt<std::uint64_t>(object, "fence") };
}

} // namespace sapphirespar::upstream
