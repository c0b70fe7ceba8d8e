// Copies of the store between gateways.
#include "store_copy_codec.hpp"

#include <boost/json.hpp>

namespace sapphirespar::gateway {
namespace {

namespace json = boost::json;

json::object
ToJson(const platform_object& aObject)
{
  return { { "version", aObject.mVersion }, { "value", aObject.mValue } };
}

json::object
ToJson(const upstream_entry& aEntry)
{
  return { { "id", aEntry.mId.mText },
           { "pool", aEntry.mPool },
           { "address", aEntry.mAddress },
           { "port", aEntry.mPort },
           { "data_centre", aEntry.mDataCentre.mText },
           { "slots", aEntry.mSlots },
           { "draining", aEntry.mDraining },
           { "born", aEntry.mBorn } };
}

std::string
TextAt(const json::value& aValue, std::string_view aKey)
{
  return std::string(aValue.at(aKey).as_string());
}

platform_object
ReadObject(const json::value& aValue)
{
  platform_object object;
  object.mVersion = aValue.at("version").to_number<object_version>();
  object.mValue = TextAt(aValue, "value");
  return object;
}

upstream_entry
ReadEntry(const json::value& aValue)
{
  upstream_entry entry;
  entry.mId = { TextAt(aValue, "id") };
  entry.mPool = TextAt(aValue, "pool");
  entry.mAddress = TextAt(aValue, "address");
  entry.mPort = aValue.at("port").to_number<std::uint16_t>();
  entry.mDataCentre = { TextAt(aValue, "data_centre") };
  entry.mSlots = aValue.at("slots").to_number<unsigned>();
  entry.mDraining = aValue.at("draining").as_bool();
  entry.mBorn = aValue.at("born").to_number<std::int64_t>();
  return entry;
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
  for (const auto& entry : aCopy.mUpstreams) {
    upstreams.push_back(ToJson(entry));
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
    copy.mRouting = ReadObject(body.at("routing"));
    for (const auto& item : body.at("upstreams").as_array()) {
      copy.mUpstreams.push_back(ReadEntry(item));
    }
    copy.mRoutingAge = ReadAge(body, "routing_age_ms");
    copy.mUpstreamsAge = ReadAge(body, "upstreams_age_ms");
    return copy;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace sapphirespar::gateway
