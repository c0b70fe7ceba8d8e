// Finds the differences between bundles in their canonical JSON, and applies
// deltas.
#include "sapphirespar/config/bundle_delta.hpp"

#include "bundle_fields.hpp"
#include "bundle_json.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace sapphirespar {

template<maybe_const<removed_item> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  aArchive.Field("section", aItem.mSection, std::string());
  aArchive.Field("id", aItem.mId, std::string());
}

template<maybe_const<bundle_delta> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  aArchive.Field("base_epoch", aItem.mBase.mEpoch, std::uint64_t{ 0 });
  aArchive.Field("base_number", aItem.mBase.mNumber, std::uint64_t{ 0 });
  Fields(aArchive, aItem.mSet);
  aArchive.List("removed", aItem.mRemoved);
}

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
              const item_texts& aBefore,
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

const std::string&
IdOf(const signer& aItem)
{
  return aItem.mName;
}

template<class Item>
const std::string&
IdOf(const Item& aItem)
{
  return aItem.mId.mText;
}

// Calls aCall with the name of each section and the section's list in each of
// the two bundles.
template<class Call>
void
ForEachSection(const bundle& aFrom, bundle& aInto, const Call& aCall)
{
  aCall("classes", aFrom.mClasses, aInto.mClasses);
  aCall("accounts", aFrom.mAccounts, aInto.mAccounts);
  aCall("models", aFrom.mModels, aInto.mModels);
  aCall("upstreams", aFrom.mUpstreams, aInto.mUpstreams);
  aCall("signers", aFrom.mSigners, aInto.mSigners);
}

using id_set = std::set<std::string_view>;

// Identifiers of one section's changed and removed items.
struct section_ids
{
  // New and changed items.
  id_set mSet;
  id_set mRemoved;
};

std::map<std::string_view, section_ids>
GroupChanges(const std::vector<bundle_change>& aChanges)
{
  std::map<std::string_view, section_ids> groups;
  for (const auto& change : aChanges) {
    auto& group = groups[change.mSection];
    (change.mAfter.empty() ? group.mRemoved : group.mSet).insert(change.mId);
  }
  return groups;
}

// Replaces changed items at their positions and appends new ones.
template<class Item>
void
SetItems(std::vector<Item>& aInto, const std::vector<Item>& aSet)
{
  std::map<std::string_view, const Item*> remaining;
  for (const auto& item : aSet) {
    remaining[IdOf(item)] = &item;
  }
  for (auto& item : aInto) {
    const auto found = remaining.find(IdOf(item));
    if (found != remaining.end()) {
      item = *found->second;
      remaining.erase(found);
    }
  }
  std::ranges::copy_if(aSet, std::back_inserter(aInto), [&](const Item& aItem) {
    return remaining.contains(IdOf(aItem));
  });
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

bundle_delta
MakeDelta(const bundle& aBefore, const bundle& aAfter)
{
  const auto changes = Diff(aBefore, aAfter);
  auto groups = GroupChanges(changes);
  bundle_delta delta;
  delta.mBase = aBefore.mVersion;
  delta.mSet.mVersion = aAfter.mVersion;
  ForEachSection(
    aAfter,
    delta.mSet,
    [&](std::string_view aSection, const auto& aFrom, auto& aInto) {
      const auto& ids = groups[aSection];
      std::ranges::copy_if(
        aFrom, std::back_inserter(aInto), [&](const auto& aItem) {
          return ids.mSet.contains(IdOf(aItem));
        });
      for (const auto id : ids.mRemoved) {
        delta.mRemoved.push_back({ std::string(aSection), std::string(id) });
      }
    });
  return delta;
}

bundle
ApplyDelta(const bundle& aBefore, const bundle_delta& aDelta)
{
  std::map<std::string_view, id_set> removed;
  for (const auto& item : aDelta.mRemoved) {
    removed[item.mSection].insert(item.mId);
  }
  auto after = aBefore;
  after.mVersion = aDelta.mSet.mVersion;
  ForEachSection(aDelta.mSet,
                 after,
                 [&](std::string_view aSection, const auto& aSet, auto& aInto) {
                   const auto& removedIds = removed[aSection];
                   std::erase_if(aInto, [&](const auto& aItem) {
                     return removedIds.contains(IdOf(aItem));
                   });
                   SetItems(aInto, aSet);
                 });
  return after;
}

std::string
ToJson(const bundle_delta& aDelta)
{
  json_writer writer;
  Fields(writer, aDelta);
  return boost::json::serialize(writer.mObject);
}

result<bundle_delta>
ParseDelta(std::string_view aText)
{
  constexpr auto kSource = "bundle delta";
  boost::json::error_code error;
  const auto document = boost::json::parse(
    boost::json::string_view(aText.data(), aText.size()), error);
  if (error || !document.is_object()) {
    return leaf::new_error(
      config_failure{ kSource, 0, "", "expected a JSON object" });
  }
  std::optional<std::string> wrongKey;
  json_reader reader(document.get_object(), "", wrongKey);
  bundle_delta delta;
  Fields(reader, delta);
  if (wrongKey) {
    return leaf::new_error(
      config_failure{ kSource, 0, *wrongKey, "wrong type or value" });
  }
  return delta;
}

} // namespace sapphirespar
