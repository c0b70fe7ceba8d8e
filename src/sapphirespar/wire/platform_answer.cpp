// Reading of the platform's JSON.
#include "platform_answer.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <optional>
#include <string>
#include <utility>

namespace sapphirespar::wire {
namespace {

namespace json = boost::json;

object_version
ToVersion(std::string_view aText)
{
  object_version version = kNoObject;
  std::from_chars(aText.data(), aText.data() + aText.size(), version);
  return version;
}

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

platform_object
ToObject(const json::value& aItem, std::string_view aKind)
{
  platform_object object;
  if (const auto* item = aItem.if_object()) {
    object.mKey = { std::string(aKind), TextAt(*item, "name") };
    object.mVersion = NumberAt(*item, "version");
    object.mValue = TextAt(*item, "value");
    object.mDeleted = FlagAt(*item, "deleted");
  }
  return object;
}

vm_listing
ToListing(const json::value& aItem)
{
  vm_listing listing;
  if (const auto* item = aItem.if_object()) {
    listing.mVm = TextAt(*item, "vm");
    listing.mDataCentre = TextAt(*item, "data_centre");
    listing.mAddress = TextAt(*item, "address");
    listing.mPort = static_cast<std::uint16_t>(NumberAt(*item, "port"));
    listing.mPeerPort =
      static_cast<std::uint16_t>(NumberAt(*item, "peer_port"));
    listing.mLeaving = FlagAt(*item, "leaving");
  }
  return listing;
}

} // namespace

list_answer
ToListAnswer(call_result aResult, std::string_view aKind)
{
  list_answer answer{ aResult.mStatus, {}, kNoObject };
  if (aResult.mStatus != platform_status::Ok) {
    return answer;
  }
  const auto document = ParseJson(aResult.mResponse.mBody);
  const auto* objects = document ? ArrayAt(*document, "objects") : nullptr;
  if (!objects) {
    answer.mStatus = platform_status::Unavailable;
    return answer;
  }
  answer.mVersion = NumberAt(document->get_object(), "version");
  std::ranges::transform(
    *objects, std::back_inserter(answer.mObjects), [&](const auto& aItem) {
      return ToObject(aItem, aKind);
    });
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
  std::ranges::transform(*vms, std::back_inserter(answer.mVms), ToListing);
  return answer;
}

object_answer
ToObjectAnswer(call_result aResult, object_key aKey)
{
  object_answer answer{ aResult.mStatus, {} };
  answer.mObject.mKey = std::move(aKey);
  answer.mObject.mVersion =
    ToVersion(aResult.mResponse.Header("X-Object-Version"));
  return answer;
}

} // namespace sapphirespar::wire
