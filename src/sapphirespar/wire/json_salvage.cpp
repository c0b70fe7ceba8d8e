// Splits objects and arrays by their brackets, commas and quotes alone.
#include "json_salvage.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <functional>

namespace sapphirespar::wire {
namespace {

namespace json = boost::json;

bool
IsJson(std::string_view aText)
{
  json::error_code error;
  json::parse(json::string_view(aText.data(), aText.size()), error);
  return !error;
}

// Reads from the start of a text. All functions return nothing, or false, if
// the text is not split as JSON is.
class splitter
{
public:
  explicit splitter(std::string_view aText)
    : mText(aText)
  {
  }

  // Calls aVisit with the text of each element. Stops if it returns false.
  bool EachElement(const std::function<bool(std::string_view)>& aVisit)
  {
    return EachItem('[', ']', [&] {
      const auto element = Value();
      return element && aVisit(*element);
    });
  }

  // The same with each key, without quotes, and the text of its value.
  bool EachMember(
    const std::function<bool(std::string_view, std::string_view)>& aVisit)
  {
    return EachItem('{', '}', [&] {
      const auto key = Value();
      if (!key || key->size() < 2 || key->front() != '"' || !Skip(':')) {
        return false;
      }
      const auto value = Value();
      return value && aVisit(key->substr(1, key->size() - 2), *value);
    });
  }

private:
  bool EachItem(char aBegin, char aEnd, const std::function<bool()>& aItem)
  {
    if (!Skip(aBegin)) {
      return false;
    }
    if (Skip(aEnd)) {
      return true;
    }
    do {
      if (!aItem()) {
        return false;
      }
    } while (Skip(','));
    return Skip(aEnd);
  }

  void SkipSpace()
  {
    mAt = std::min(mText.find_first_not_of(" \t\r\n", mAt), mText.size());
  }

  bool Skip(char aExpected)
  {
    SkipSpace();
    const bool found = mAt < mText.size() && mText[mAt] == aExpected;
    mAt += found ? 1 : 0;
    return found;
  }

  // Moves behind the quote that ends a string.
  bool SkipString()
  {
    for (++mAt; mAt < mText.size(); ++mAt) {
      if (mText[mAt] == '\\') {
        ++mAt;
      } else if (mText[mAt] == '"') {
        ++mAt;
        return true;
      }
    }
    return false;
  }

  // Moves behind the bracket that ends an object or array.
  bool SkipNested()
  {
    std::size_t depth = 0;
    while (mAt < mText.size()) {
      const char next = mText[mAt];
      if (next == '"') {
        if (!SkipString()) {
          return false;
        }
        continue;
      }
      ++mAt;
      depth += next == '{' || next == '[' ? 1 : 0;
      depth -= next == '}' || next == ']' ? 1 : 0;
      if (depth == 0) {
        return true;
      }
    }
    return false;
  }

  std::optional<std::string_view> Value()
  {
    SkipSpace();
    const auto begin = mAt;
    if (begin >= mText.size()) {
      return std::nullopt;
    }
    const char first = mText[begin];
    bool whole = true;
    if (first == '"') {
      whole = SkipString();
    } else if (first == '{' || first == '[') {
      whole = SkipNested();
    } else {
      mAt = std::min(mText.find_first_of(",]} \t\r\n", mAt), mText.size());
    }
    if (!whole || mAt == begin) {
      return std::nullopt;
    }
    return mText.substr(begin, mAt - begin);
  }

  std::string_view mText;
  std::size_t mAt = 0;
};

std::string_view
MemberOf(std::string_view aObject, std::string_view aKey)
{
  std::string_view found;
  splitter(aObject).EachMember(
    [&](std::string_view aName, std::string_view aValue) {
      found = aName == aKey ? aValue : found;
      return true;
    });
  return found;
}

// Returns an object with an element's metadata; empty if they can't be read.
std::string
WithoutValue(std::string_view aElement, std::string_view aMetadataIn)
{
  const bool nested = !aMetadataIn.empty();
  const auto holder = nested ? MemberOf(aElement, aMetadataIn) : aElement;
  const auto metadata = MemberOf(holder, "metadata");
  if (metadata.empty() || !IsJson(metadata)) {
    return {};
  }
  auto object = "{\"metadata\":" + std::string(metadata) + "}";
  if (nested) {
    object = "{\"" + std::string(aMetadataIn) + "\":" + object + "}";
  }
  return object;
}

} // namespace

std::optional<std::string>
SalvageElements(std::string_view aDocument,
                std::string_view aKey,
                std::string_view aMetadataIn,
                bool aMustName)
{
  std::string kept;
  const auto add = [](std::string& aTo, std::string_view aItem) {
    aTo += aTo.empty() ? "" : ",";
    aTo += aItem;
  };
  const auto keep = [&](std::string_view aElement) {
    if (IsJson(aElement)) {
      add(kept, aElement);
      return true;
    }
    const auto named = WithoutValue(aElement, aMetadataIn);
    if (!named.empty()) {
      add(kept, named);
    }
    return !named.empty() || !aMustName;
  };
  std::string members;
  bool found = false;
  const bool whole = splitter(aDocument).EachMember(
    [&](std::string_view aName, std::string_view aValue) {
      if (aName != aKey || found) {
        add(members, "\"" + std::string(aName) + "\":" + std::string(aValue));
        return true;
      }
      found = true;
      return splitter(aValue).EachElement(keep);
    });
  if (!whole || !found) {
    return std::nullopt;
  }
  add(members, "\"" + std::string(aKey) + "\":[" + kept + "]");
  return "{" + members + "}";
}

} // namespace sapphirespar::wire
