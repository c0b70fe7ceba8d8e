// Converts bundles to and from canonical JSON.
#include "sapphirespar/config/bundle_codec.hpp"

#include "bundle_fields.hpp"
#include "bundle_json.hpp"

namespace sapphirespar {

std::string_view
ToText(at_most_once_mode aMode)
{
  switch (aMode) {
    case at_most_once_mode::None:
      return "none";
    case at_most_once_mode::Token:
      return "token";
    case at_most_once_mode::Claim:
      break;
  }
  return "claim";
}

std::string_view
ToText(upstream_kind aKind)
{
  return aKind == upstream_kind::Engine ? "engine" : "service";
}

std::optional<at_most_once_mode>
ToOnceMode(std::string_view aText)
{
  for (const auto mode : { at_most_once_mode::None,
                           at_most_once_mode::Token,
                           at_most_once_mode::Claim }) {
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
  constexpr auto kSource = "bundle JSON";
  boost::json::error_code error;
  const auto document = boost::json::parse(
    boost::json::string_view(aText.data(), aText.size()), error);
  if (error || !document.is_object()) {
    return leaf::new_error(
      config_failure{ kSource, 0, "", "expected a JSON object" });
  }
  std::optional<std::string> wrongKey;
  json_reader reader(document.get_object(), "", wrongKey);
  bundle read;
  Fields(reader, read);
  if (wrongKey) {
    return leaf::new_error(
      config_failure{ kSource, 0, *wrongKey, "wrong type or value" });
  }
  return read;
}

} // namespace sapphirespar
