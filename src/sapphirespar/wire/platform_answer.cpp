// Parses and writes the platform's JSON.
#include "platform_answer.hpp"

#include "json_salvage.hpp"

#include "sapphirespar/base/log.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <string>
#include <utility>

namespace sapphirespar::wire {
namespace {

namespace json = boost::json;

const json::array*
ArrayAt(const json::value& aDocument, std::string_view aKey)
{
  const auto* object = aDocument.if_object();
  const auto* member = object ? object->if_contains(aKey) : nullptr;
  return member ? member->if_array() : nullptr;
}

std::string
TextAt(const json::object& aObject, std::string_view aKey)
{
  const auto* member = aObject.if_contains(aKey);
  return member && member->is_string() ? std::string(member->get_string()) : "";
}

std::uint64_t
NumberAt(const json::object& aObject, std::string_view aKey)
{
  const auto* member = aObject.if_contains(aKey);
  json::error_code error;
  const auto number = member ? member->to_number<std::uint64_t>(error) : 0;
  return error ? 0 : number;
}

bool
FlagAt(const json::object& aObject, std::string_view aKey)
{
  const auto* member = aObject.if_contains(aKey);
  return member && member->is_bool() && member->get_bool();
}

std::optional<json::value>
ParseJson(std::string_view aText)
{
  json::error_code error;
  auto document =
    json::parse(json::string_view(aText.data(), aText.size()), error);
  return error ? std::nullopt : std::optional(std::move(document));
}

// The same, of a document that lists objects. What can't be read of an element
// must not hide the others.
std::optional<json::value>
ParseListing(std::string_view aText,
             std::string_view aKey,
             std::string_view aMetadataIn,
             bool aMustName)
{
  auto document = ParseJson(aText);
  if (!document) {
    const auto kept = SalvageElements(aText, aKey, aMetadataIn, aMustName);
    document = kept ? ParseJson(*kept) : std::nullopt;
  }
  return document;
}

const json::object*
ObjectAt(const json::object& aObject, std::string_view aKey)
{
  const auto* member = aObject.if_contains(aKey);
  return member ? member->if_object() : nullptr;
}

// Returns a string value unchanged, since sapphirespar stores its own values as
// JSON strings. Other writers store JSON of any type, which is returned as
// text.
std::string
ValueOf(const json::object& aItem)
{
  const auto* value = aItem.if_contains("spec");
  if (value == nullptr || value->is_null()) {
    return {};
  }
  return value->is_string() ? std::string(value->get_string())
                            : json::serialize(*value);
}

platform_object
ToObject(const json::object& aItem, std::string_view aKind)
{
  platform_object object;
  object.mKey.mKind = aKind;
  object.mValue = ValueOf(aItem);
  if (const auto* metadata = ObjectAt(aItem, "metadata")) {
    object.mKey.mName = TextAt(*metadata, "name");
    object.mVersion = NumberAt(*metadata, "revision");
  }
  return object;
}

// Returns the object of one watch event.
platform_object
ToEventObject(const json::object& aEvent, std::string_view aKind)
{
  const auto* item = ObjectAt(aEvent, "object");
  auto object = item ? ToObject(*item, aKind) : platform_object{};
  object.mDeleted = FlagAt(aEvent, "deleted");
  return object;
}

// Reads the objects in the array aKey of the document. Elements that are not
// JSON objects, or have no name, are skipped.
template<class Read>
list_answer
ReadItems(const json::value& aDocument, std::string_view aKey, Read aRead)
{
  list_answer answer;
  const auto* items = ArrayAt(aDocument, aKey);
  if (items == nullptr) {
    return answer;
  }
  answer.mStatus = platform_status::Ok;
  answer.mVersion = NumberAt(aDocument.get_object(), "at");
  for (const auto& item : *items) {
    const auto* object = item.if_object();
    auto read = object ? aRead(*object) : platform_object{};
    if (!read.mKey.mName.empty()) {
      answer.mObjects.push_back(std::move(read));
    }
  }
  return answer;
}

// Returns nothing if the number is no port.
std::optional<std::uint16_t>
PortAt(const json::object& aObject, std::string_view aKey)
{
  const auto number = NumberAt(aObject, aKey);
  return number <= std::numeric_limits<std::uint16_t>::max()
           ? std::optional(static_cast<std::uint16_t>(number))
           : std::nullopt;
}

// Returns nothing if a port is out of range.
std::optional<vm_listing>
ToListing(const json::value& aItem)
{
  vm_listing listing;
  if (const auto* item = aItem.if_object()) {
    const auto port = PortAt(*item, "port");
    const auto peerPort = PortAt(*item, "peer_port");
    listing.mVm = TextAt(*item, "vm");
    if (!port || !peerPort) {
      LogEvent(
        log_level::Warning, "vm_port_invalid", { { "vm", listing.mVm } });
      return std::nullopt;
    }
    listing.mDataCentre = TextAt(*item, "data_centre");
    listing.mAddress = TextAt(*item, "address");
    listing.mPort = *port;
    listing.mPeerPort = *peerPort;
    listing.mLeaving = FlagAt(*item, "leaving");
  }
  return listing;
}

} // namespace

list_page
ToListPage(call_result aResult, std::string_view aKind)
{
  list_page page;
  page.mAnswer.mStatus = aResult.mStatus;
  page.mAnswer.mEra = aResult.mEra;
  if (aResult.mStatus != platform_status::Ok) {
    return page;
  }
  page.mAnswer.mStatus = platform_status::Unavailable;
  constexpr bool kMustName = false;
  if (const auto document =
        ParseListing(aResult.mResponse.mBody, "entries", "", kMustName)) {
    page.mAnswer = ReadItems(*document, "entries", [&](const auto& aItem) {
      return ToObject(aItem, aKind);
    });
    page.mAnswer.mEra = aResult.mEra;
    page.mHasMore =
      document->is_object() && FlagAt(document->get_object(), "has_more");
  }
  return page;
}

list_answer
ToWatchAnswer(call_result aResult, std::string_view aKind)
{
  list_answer answer;
  answer.mStatus = aResult.mStatus;
  answer.mEra = aResult.mEra;
  if (aResult.mStatus != platform_status::Ok) {
    return answer;
  }
  answer.mStatus = platform_status::Unavailable;
  // A change of an unknown object can't be left out.
  constexpr bool kMustName = true;
  if (const auto document =
        ParseListing(aResult.mResponse.mBody, "events", "object", kMustName)) {
    answer = ReadItems(*document, "events", [&](const auto& aItem) {
      return ToEventObject(aItem, aKind);
    });
    answer.mEra = aResult.mEra;
  }
  return answer;
}

vm_list_answer
ToVmAnswer(call_result aResult)
{
  vm_list_answer answer{ aResult.mStatus, {} };
  if (aResult.mStatus != platform_status::Ok) {
    return answer;
  }
  const auto document = ParseJson(aResult.mResponse.mBody);
  const auto* vms = document ? ArrayAt(*document, "vms") : nullptr;
  if (!vms) {
    answer.mStatus = platform_status::Unavailable;
    return answer;
  }
  for (const auto& item : *vms) {
    if (auto listing = ToListing(item)) {
      answer.mVms.push_back(*std::move(listing));
    }
  }
  return answer;
}

object_answer
ToObjectAnswer(call_result aResult, object_key aKey)
{
  object_answer answer{ aResult.mStatus, {}, aResult.mEra };
  const auto document = ParseJson(aResult.mResponse.mBody);
  if (document && document->is_object()) {
    answer.mObject = ToObject(document->get_object(), aKey.mKind);
  }
  // An answer to an earlier call, which has come twice.
  const auto& name = answer.mObject.mKey.mName;
  if (!name.empty() && name != aKey.mName) {
    answer = { platform_status::Unknown, {}, 0 };
  }
  // Without a revision it is not known what was read or written.
  if (aResult.mStatus == platform_status::Ok &&
      answer.mObject.mVersion == kNoObject) {
    answer.mStatus = platform_status::Unknown;
  }
  answer.mObject.mKey = std::move(aKey);
  return answer;
}

object_answer
ToWriteAnswer(call_result aResult, object_key aKey, std::string_view aValue)
{
  auto answer = ToObjectAnswer(std::move(aResult), std::move(aKey));
  const auto& written = answer.mObject.mValue;
  if (answer.mStatus == platform_status::Ok && !written.empty() &&
      written != aValue) {
    // An answer to an earlier call for the same object.
    answer.mStatus = platform_status::Unknown;
    answer.mObject.mVersion = kNoObject;
    answer.mObject.mValue.clear();
  }
  return answer;
}

std::string
ObjectBody(std::string_view aName,
           std::string_view aValue,
           object_version aExpected)
{
  json::object metadata;
  metadata["name"] = aName;
  if (aExpected != kNoObject) {
    metadata["revision"] = aExpected;
  }
  json::object body;
  body["metadata"] = std::move(metadata);
  body["spec"] = aValue;
  return json::serialize(body);
}

} // namespace sapphirespar::wire
