// Two archives for JSON objects, so that the fields of a type are listed once
// for writing and reading. Fields with default values are omitted.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sapphirespar {

std::string_view ToText(at_most_once_mode aMode);
std::string_view ToText(upstream_kind aKind);
std::optional<at_most_once_mode> ToOnceMode(std::string_view aText);
std::optional<upstream_kind> ToUpstreamKind(std::string_view aText);

// Constrains the item of a Fields function, which lists the fields of a type
// and takes either a json_writer with a const item or a json_reader. Fields
// functions are found by argument-dependent lookup, so they can't be in an
// unnamed namespace.
template<class Item, class Type>
concept maybe_const = std::same_as<std::remove_const_t<Item>, Type>;

// Writes fields into one JSON object in the order of the calls.
class json_writer
{
public:
  template<class T>
  void Field(std::string_view aKey, const T& aValue, const T& aDefault)
  {
    if (!(aValue == aDefault)) {
      mObject.emplace(aKey, ToJson(aValue));
    }
  }

  // Writes a list of items, each by its type's Fields function. Omits an empty
  // list.
  template<class T>
  void List(std::string_view aKey, const std::vector<T>& aValues)
  {
    boost::json::array items;
    items.reserve(aValues.size());
    for (const auto& value : aValues) {
      json_writer item;
      Fields(item, value);
      items.push_back(std::move(item.mObject));
    }
    if (!items.empty()) {
      mObject.emplace(aKey, std::move(items));
    }
  }

  boost::json::object mObject;

private:
  template<class Number>
  requires std::is_arithmetic_v<Number>
  static boost::json::value ToJson(Number aValue) { return aValue; }
  static boost::json::value ToJson(const std::string& aValue)
  {
    return boost::json::string(aValue);
  }
  template<class Tag>
  static boost::json::value ToJson(const tagged_name<Tag>& aValue)
  {
    return boost::json::string(aValue.mText);
  }
  static boost::json::value ToJson(std::chrono::milliseconds aValue)
  {
    return aValue.count();
  }
  static boost::json::value ToJson(at_most_once_mode aValue)
  {
    return boost::json::string(ToText(aValue));
  }
  static boost::json::value ToJson(upstream_kind aValue)
  {
    return boost::json::string(ToText(aValue));
  }
  template<class T>
  static boost::json::value ToJson(const std::vector<T>& aValues)
  {
    boost::json::array items;
    for (const auto& value : aValues) {
      items.push_back(ToJson(value));
    }
    return items;
  }
};

// Reads fields from one JSON object. Absent fields get their defaults.
class json_reader
{
public:
  // aWrongKey receives the path of the first field with a wrong type or value.
  json_reader(const boost::json::object& aObject,
              std::string aPath,
              std::optional<std::string>& aWrongKey)
    : mObject(aObject)
    , mPath(std::move(aPath))
    , mWrongKey(aWrongKey)
  {
  }

  template<class T>
  void Field(std::string_view aKey, T& aValue, const T& aDefault)
  {
    const auto* value = mObject.if_contains(aKey);
    aValue = aDefault;
    if (value && !FromJson(*value, aValue)) {
      RecordWrongKey(aKey);
    }
  }

  template<class T>
  void List(std::string_view aKey, std::vector<T>& aValues)
  {
    const auto* value = mObject.if_contains(aKey);
    if (!value) {
      return;
    }
    if (!value->is_array()) {
      return RecordWrongKey(aKey);
    }
    for (const auto& item : value->get_array()) {
      if (!item.is_object()) {
        return RecordWrongKey(aKey);
      }
      json_reader reader(item.get_object(), PathOf(aKey), mWrongKey);
      Fields(reader, aValues.emplace_back());
    }
  }

private:
  std::string PathOf(std::string_view aKey) const
  {
    return mPath.empty() ? std::string(aKey) : mPath + "." + std::string(aKey);
  }
  void RecordWrongKey(std::string_view aKey)
  {
    if (!mWrongKey) {
      mWrongKey = PathOf(aKey);
    }
  }

  static bool FromJson(const boost::json::value& aJson, bool& aValue)
  {
    if (aJson.is_bool()) {
      aValue = aJson.get_bool();
    }
    return aJson.is_bool();
  }
  template<std::integral Number>
  static bool FromJson(const boost::json::value& aJson, Number& aValue)
  {
    boost::json::error_code error;
    aValue = aJson.to_number<Number>(error);
    return !error;
  }
  static bool FromJson(const boost::json::value& aJson, double& aValue)
  {
    boost::json::error_code error;
    aValue = aJson.to_number<double>(error);
    return !error;
  }
  static bool FromJson(const boost::json::value& aJson, std::string& aValue)
  {
    if (aJson.is_string()) {
      aValue = std::string(aJson.get_string());
    }
    return aJson.is_string();
  }
  template<class Tag>
  static bool FromJson(const boost::json::value& aJson,
                       tagged_name<Tag>& aValue)
  {
    return FromJson(aJson, aValue.mText);
  }
  static bool FromJson(const boost::json::value& aJson,
                       std::chrono::milliseconds& aValue)
  {
    std::int64_t count = 0;
    const bool good = FromJson(aJson, count);
    aValue = std::chrono::milliseconds(count);
    return good;
  }
  static bool FromJson(const boost::json::value& aJson,
                       at_most_once_mode& aValue)
  {
    std::string text;
    const auto mode = FromJson(aJson, text) ? ToOnceMode(text) : std::nullopt;
    aValue = mode.value_or(aValue);
    return mode.has_value();
  }
  static bool FromJson(const boost::json::value& aJson, upstream_kind& aValue)
  {
    std::string text;
    const auto kind =
      FromJson(aJson, text) ? ToUpstreamKind(text) : std::nullopt;
    aValue = kind.value_or(aValue);
    return kind.has_value();
  }
  template<class T>
  static bool FromJson(const boost::json::value& aJson, std::vector<T>& aValue)
  {
    if (!aJson.is_array()) {
      return false;
    }
    aValue.clear();
    for (const auto& item : aJson.get_array()) {
      if (!FromJson(item, aValue.emplace_back())) {
        return false;
      }
    }
    return true;
  }

  const boost::json::object& mObject;
  std::string mPath;
  std::optional<std::string>& mWrongKey;
};

} // namespace sapphirespar
