// Copies of the store between gateways.
#include "store_copy_codec.hpp"

#include <boost/json.hpp>

namespace sapphirespar::gateway {
namespace {

namespace json = boost::json;

json::object
ToJson(const platform_object& aObject)
{
  return { { "name", aObject.mKey.mName },
           { "version", aObject.mVersion },
           { "value", aObject.mValue } };
}

platform_object
FromJson(const json::value& aValue)
{
  platform_object object;
  object.mKey.mName = aValue.at("name").as_string();
  object.mVersion = aValue.at("version").to_number<object_version>();
  object.mValue = aValue.at("value").as_string();
  return object;
}

std::chrono::milliseconds
ReadAge(const json::value& aValue, std::string_view aKey)
{
  const auto age = aValue.at(aKey).to_number<std::int64_t>();
  if (age < 0) {
    throw std::invalid_argument("negative age");
  }
  return std::chrono::milliseconds(age);
}

} // namespace

std::string
EncodeStoreCopy(const store_copy& aCopy)
{
  json::array upstreams;
  for (const auto& object : aCopy.mUpstreams) {
    upstreams.push_back(ToJson(object));
  }
  json::object body;
  body["routing"] = ToJson(aCopy.mRouting);
  body["upstreams"] = std::move(upstreams);
  body["routing_age_ms"] = aCopy.mRoutingAge.count();
  body["upstreams_age_ms"] = aCopy.mUpstreamsAge.count();
  return json::serialize(body);
}

std::optional<store_copy>
DecodeStoreCopy(std::string_view aText)
{
  try {
    const auto body =
      json::parse(json::string_view(aText.data(), aText.size()));
    store_copy copy;
    copy.mRouting = FromJson(body.at("routing"));
    for (const auto& item : body.at("upstreams").as_array()) {
      copy.mUpstreams.push_back(FromJson(item));
    }
    copy.mRoutingAge = ReadAge(body, "routing_age_ms");
    copy.mUpstreamsAge = ReadAge(body, "upstreams_age_ms");
    return copy;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace sapphirespar::gateway
