// JSON fields of a store snapshot.
#include "store_snapshot_codec.hpp"

#include "sapphirespar/config/packing.hpp"
#include "sapphirespar/wire/http_message.hpp"

#include <boost/json.hpp>

#include <charconv>
#include <span>

namespace sapphirespar::gateway {
namespace {

namespace json = boost::json;

// Smaller texts gain too little from packing.
constexpr std::size_t kPackedFromBytes = 2048;

json::object
RoutingToJson(const store_snapshot& aSnapshot, routing_packer& aPacker)
{
  const auto version = aSnapshot.mRoutingVersion;
  if (aSnapshot.mRouting.size() < kPackedFromBytes) {
    return { { "version", version }, { "value", aSnapshot.mRouting } };
  }
  return { { "version", version },
           { "packed", aPacker.Pack(aSnapshot.mRouting, version) } };
}

json::object
ToJson(const upstream_entry& aEntry)
{
  json::object entry{ { "id", aEntry.mId.mText },
                      { "pool", aEntry.mPool },
                      { "address", aEntry.mAddress },
                      { "port", aEntry.mPort },
                      { "data_centre", aEntry.mDataCentre.mText },
                      { "slots", aEntry.mSlots },
                      { "draining", aEntry.mDraining },
                      { "born", aEntry.mStartedAtMs },
                      { "software", aEntry.mSoftware } };
  if (aEntry.mPreemptible) {
    entry["preemptible"] = true;
  }
  if (aEntry.mMissing) {
    entry["missing"] = true;
  }
  return entry;
}

json::object
ToJson(const peer_contact& aContact)
{
  return { { "vm", aContact.mVm.mText }, { "address", aContact.mAddress } };
}

std::string
TextAt(const json::value& aValue, std::string_view aKey)
{
  return std::string(aValue.at(aKey).as_string());
}

// Throws if the text can't be unpacked.
std::string
Unpacked(const json::value& aText)
{
  const auto text = aText.as_string();
  auto unpacked = Unpack(std::string_view(text.data(), text.size()));
  if (!unpacked) {
    throw std::invalid_argument("malformed packed text");
  }
  return *std::move(unpacked);
}

std::string
ReadRouting(const json::value& aValue)
{
  const auto* packed = aValue.as_object().if_contains("packed");
  return packed ? Unpacked(*packed) : TextAt(aValue, "value");
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
  entry.mStartedAtMs = aValue.at("born").to_number<std::int64_t>();
  entry.mSoftware = TextAt(aValue, "software");
  entry.mPreemptible = aValue.as_object().contains("preemptible");
  entry.mMissing = aValue.as_object().contains("missing");
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

json::array
ToJson(std::span<const upstream_entry> aEntries)
{
  json::array entries;
  for (const auto& entry : aEntries) {
    entries.push_back(ToJson(entry));
  }
  return entries;
}

// An array or, if it is long, its packed text.
json::value
ToPackedJson(std::span<const upstream_entry> aEntries)
{
  auto entries = ToJson(aEntries);
  auto text = json::serialize(entries);
  if (text.size() < kPackedFromBytes) {
    return entries;
  }
  return json::value(Pack(text));
}

json::value
ToJson(const std::optional<upstream_delta>& aDelta)
{
  if (!aDelta) {
    return nullptr;
  }
  json::array removed;
  for (const auto& id : aDelta->mRemoved) {
    removed.emplace_back(id.mText);
  }
  return { { "base", aDelta->mBase },
           { "changed", ToJson(aDelta->mChanged) },
           { "removed", std::move(removed) } };
}

std::vector<upstream_entry>
ReadEntries(const json::value& aValue)
{
  if (aValue.is_string()) {
    return ReadEntries(json::parse(Unpacked(aValue)));
  }
  std::vector<upstream_entry> entries;
  for (const auto& item : aValue.as_array()) {
    entries.push_back(ReadEntry(item));
  }
  return entries;
}

std::optional<upstream_delta>
ReadDelta(const json::value& aValue)
{
  if (aValue.is_null()) {
    return std::nullopt;
  }
  upstream_delta delta;
  delta.mBase = aValue.at("base").to_number<std::uint64_t>();
  delta.mChanged = ReadEntries(aValue.at("changed"));
  for (const auto& item : aValue.at("removed").as_array()) {
    delta.mRemoved.push_back({ std::string(item.as_string()) });
  }
  return delta;
}

} // namespace

std::string
SnapshotTarget(const known_versions& aKnown)
{
  return std::string(kStoreSnapshotPath) +
         "?version=" + std::to_string(aKnown.mRoutingVersion) +
         "&upstreams=" + std::to_string(aKnown.mUpstreamsDigest) +
         (aKnown.mWantsGateways ? "&gateways=1" : "");
}

known_versions
ParseKnownVersions(std::string_view aQuery)
{
  const auto number = [&](std::string_view aKey) {
    const auto text = wire::QueryValue(aQuery, aKey);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
  };
  return { number("version"), number("upstreams"), number("gateways") != 0 };
}

const std::string&
routing_packer::Pack(const std::string& aRouting, routing_version aVersion)
{
  if (mVersion != aVersion || mText.empty()) {
    mVersion = aVersion;
    mText = sapphirespar::Pack(aRouting);
  }
  return mText;
}

std::string
EncodeStoreSnapshot(const store_snapshot& aSnapshot, routing_packer& aPacker)
{
  json::array gateways;
  for (const auto& contact : aSnapshot.mGateways) {
    gateways.push_back(ToJson(contact));
  }
  json::object body;
  body["era"] = aSnapshot.mEra;
  if (aSnapshot.mRestoreAge) {
    body["restore_age_ms"] = aSnapshot.mRestoreAge->count();
  }
  if (!aSnapshot.mFormer.empty()) {
    body["former"] =
      json::array(aSnapshot.mFormer.begin(), aSnapshot.mFormer.end());
  }
  body["routing"] = RoutingToJson(aSnapshot, aPacker);
  body["upstreams"] = ToPackedJson(aSnapshot.mUpstreams);
  body["delta"] = ToJson(aSnapshot.mDelta);
  body["upstreams_digest"] = aSnapshot.mUpstreamsDigest;
  body["gateways"] = std::move(gateways);
  body["routing_age_ms"] = aSnapshot.mRoutingAge.count();
  body["upstreams_age_ms"] = aSnapshot.mUpstreamsAge.count();
  return json::serialize(body);
}

std::optional<store_snapshot>
DecodeStoreSnapshot(std::string_view aText)
{
  try {
    const auto body =
      json::parse(json::string_view(aText.data(), aText.size()));
    store_snapshot snapshot;
    snapshot.mEra = body.at("era").to_number<store_era>();
    if (body.as_object().contains("restore_age_ms")) {
      snapshot.mRestoreAge = ReadAge(body, "restore_age_ms");
    }
    if (const auto* former = body.as_object().if_contains("former")) {
      for (const auto& key : former->as_array()) {
        snapshot.mFormer.push_back(key.to_number<std::uint64_t>());
      }
    }
    const auto& routing = body.at("routing");
    snapshot.mRoutingVersion =
      routing.at("version").to_number<routing_version>();
    snapshot.mRouting = ReadRouting(routing);
    snapshot.mUpstreams = ReadEntries(body.at("upstreams"));
    snapshot.mDelta = ReadDelta(body.at("delta"));
    snapshot.mUpstreamsDigest =
      body.at("upstreams_digest").to_number<std::uint64_t>();
    for (const auto& item : body.at("gateways").as_array()) {
      snapshot.mGateways.push_back(
        { { TextAt(item, "vm") }, TextAt(item, "address") });
    }
    snapshot.mRoutingAge = ReadAge(body, "routing_age_ms");
    snapshot.mUpstreamsAge = ReadAge(body, "upstreams_age_ms");
    return snapshot;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace sapphirespar::gateway
