// The bundle to canonical JSON and back.
#include "sapphirespar/config/bundle_codec.hpp"

#include "bundle_json.hpp"
#include "json_archive.hpp"

namespace sapphirespar {

std::string_view
ToText(once_mode aMode)
{
  switch (aMode) {
    case once_mode::None:
      return "none";
    case once_mode::Token:
      return "token";
    case once_mode::Claim:
      break;
  }
  return "claim";
}

std::string_view
ToText(upstream_kind aKind)
{
  return aKind == upstream_kind::Engine ? "engine" : "service";
}

std::optional<once_mode>
ToOnceMode(std::string_view aText)
{
  for (const auto mode :
       { once_mode::None, once_mode::Token, once_mode::Claim }) {
    if (ToText(mode) == aText) {
      return mode;
    }
  }
  return std::nullopt;
}

std::optional<upstream_kind>
ToUpstreamKind(std::string_view aText)
{
  for (const auto kind : { upstream_kind::Engine, upstream_kind::Service }) {
    if (ToText(kind) == aText) {
      return kind;
    }
  }
  return std::nullopt;
}

template<some<request_class> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  static const request_class sDefault;
  aArchive.Field("id", aItem.mId, sDefault.mId);
  aArchive.Field("tier", aItem.mTier, sDefault.mTier);
  aArchive.Field("kind", aItem.mKind, sDefault.mKind);
  aArchive.Field("idempotent", aItem.mIdempotent, sDefault.mIdempotent);
  aArchive.Field("once", aItem.mOnce, sDefault.mOnce);
  aArchive.Field(
    "first_token_ms", aItem.mFirstTokenTarget, sDefault.mFirstTokenTarget);
  aArchive.Field("answer_ms", aItem.mAnswerTarget, sDefault.mAnswerTarget);
  aArchive.Field("minimum_share_percent",
                 aItem.mMinimumSharePercent,
                 sDefault.mMinimumSharePercent);
  aArchive.Field("queue_limit", aItem.mQueueLimit, sDefault.mQueueLimit);
  aArchive.Field("weight", aItem.mWeight, sDefault.mWeight);
}

template<some<client_account> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  static const client_account sDefault;
  aArchive.Field("id", aItem.mId, sDefault.mId);
  aArchive.Field("key_hash", aItem.mKeyHash, sDefault.mKeyHash);
  aArchive.Field("classes", aItem.mClasses, sDefault.mClasses);
  aArchive.Field("requests_per_second",
                 aItem.mRequestsPerSecond,
                 sDefault.mRequestsPerSecond);
  aArchive.Field("concurrency", aItem.mConcurrency, sDefault.mConcurrency);
}

template<some<model_spec> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  static const model_spec sDefault;
  aArchive.Field("id", aItem.mId, sDefault.mId);
  aArchive.Field(
    "minimum_replicas", aItem.mMinimumReplicas, sDefault.mMinimumReplicas);
  aArchive.Field(
    "maximum_replicas", aItem.mMaximumReplicas, sDefault.mMaximumReplicas);
}

template<some<upstream_spec> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  static const upstream_spec sDefault;
  aArchive.Field("id", aItem.mId, sDefault.mId);
  aArchive.Field("kind", aItem.mKind, sDefault.mKind);
  aArchive.Field("data_centre", aItem.mDataCentre, sDefault.mDataCentre);
  aArchive.Field("address", aItem.mAddress, sDefault.mAddress);
  aArchive.Field("port", aItem.mPort, sDefault.mPort);
  aArchive.Field("slots", aItem.mSlots, sDefault.mSlots);
  aArchive.Field("models", aItem.mModels, sDefault.mModels);
  aArchive.Field("service", aItem.mService, sDefault.mService);
  aArchive.Field(
    "checks_fencing", aItem.mChecksFencing, sDefault.mChecksFencing);
  aArchive.Field("leaving", aItem.mLeaving, sDefault.mLeaving);
}

template<some<bundle> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  static const bundle sDefault;
  aArchive.Field("epoch", aItem.mVersion.mEpoch, sDefault.mVersion.mEpoch);
  aArchive.Field("number", aItem.mVersion.mNumber, sDefault.mVersion.mNumber);
  aArchive.List("classes", aItem.mClasses);
  aArchive.List("accounts", aItem.mAccounts);
  aArchive.List("models", aItem.mModels);
  aArchive.List("upstreams", aItem.mUpstreams);
  aArchive.List("signers", aItem.mSigners);
}

boost::json::object
ToJsonObject(const bundle& aBundle)
{
  json_writer writer;
  Fields(writer, aBundle);
  return std::move(writer.mObject);
}

std::string
ItemId(const boost::json::value& aItem)
{
  const auto& item = aItem.get_object();
  const auto* id = item.if_contains("id");
  const auto* name = id ? id : item.if_contains("name");
  return name && name->is_string() ? std::string(name->get_string()) : "";
}

std::string
ToCanonicalJson(const bundle& aBundle)
{
  return boost::json::serialize(ToJsonObject(aBundle));
}

result<bundle>
ParseBundleJson(std::string_view aText)
{
  constexpr auto kPlace = "bundle JSON";
  boost::json::error_code error;
  const auto document = boost::json::parse(
    boost::json::string_view(aText.data(), aText.size()), error);
  if (error || !document.is_object()) {
    return leaf::new_error(
      config_failure{ kPlace, 0, "", "expected a JSON object" });
  }
  std::optional<std::string> wrongKey;
  json_reader reader(document.get_object(), "", wrongKey);
  bundle read;
  Fields(reader, read);
  if (wrongKey) {
    return leaf::new_error(
      config_failure{ kPlace, 0, *wrongKey, "wrong type or value" });
  }
  return read;
}

} // namespace sapphirespar
