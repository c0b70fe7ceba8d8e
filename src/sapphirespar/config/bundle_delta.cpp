// Differences between bundles, found in their canonical JSON.
#include "sapphirespar/config/bundle_delta.hpp"

#include "bundle_json.hpp"

#include <map>
#include <utility>

namespace sapphirespar {
namespace {

using item_texts = std::map<std::string, std::string>;

item_texts
ItemsOf(const boost::json::object& aBundle, std::string_view aSection)
{
  item_texts items;
  const auto* section = aBundle.if_contains(aSection);
  if (!section) {
    return items;
  }
  for (const auto& item : section->get_array()) {
    items.emplace(ItemId(item), boost::json::serialize(item));
  }
  return items;
}

void
AppendChanges(std::vector<bundle_change>& aChanges,
              std::string_view aSection,
              item_texts aBefore,
              const item_texts& aAfter)
{
  std::map<std::string, bundle_change> changes;
  for (const auto& [id, text] : aBefore) {
    changes[id] = { std::string(aSection), id, text, "" };
  }
  for (const auto& [id, text] : aAfter) {
    changes[id].mSection = aSection;
    changes[id].mId = id;
    changes[id].mAfter = text;
  }
  for (auto& [id, change] : changes) {
    if (change.mBefore != change.mAfter) {
      aChanges.push_back(std::move(change));
    }
  }
}

} // namespace

std::vector<bundle_change>
Diff(const bundle& aBefore, const bundle& aAfter)
{
  const auto before = ToJsonObject(aBefore);
  const auto after = ToJsonObject(aAfter);
  std::vector<bundle_change> changes;
  for (const auto section : kBundleSections) {
    AppendChanges(
      changes, section, ItemsOf(before, section), ItemsOf(after, section));
  }
  return changes;
}

} // namespace sapphirespar
