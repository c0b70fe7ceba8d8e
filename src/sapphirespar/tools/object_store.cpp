// Versioned objects in memory, with a bounded log of changes.
#include "object_store.hpp"

#include <algorithm>
#include <set>

namespace sapphirespar::tools {
namespace {

object_version
VersionOf(const stored_object* aObject)
{
  return aObject == nullptr ? kNoObject : aObject->mVersion;
}

} // namespace

const stored_object*
object_store::Find(const object_key& aKey) const
{
  const auto found = mObjects.find(aKey);
  return found == mObjects.end() ? nullptr : &found->second;
}

object_answer
object_store::Put(const object_key& aKey,
                  std::string aValue,
                  object_version aExpected)
{
  object_answer answer;
  answer.mObject.mKey = aKey;
  const auto current = VersionOf(Find(aKey));
  if (current != aExpected) {
    answer.mStatus = platform_status::Conflict;
    answer.mObject.mVersion = current;
    return answer;
  }
  answer.mStatus = platform_status::Ok;
  answer.mObject.mVersion = ++mVersion;
  mObjects[aKey] = stored_object{ std::move(aValue), mVersion };
  RecordChange(aKey);
  return answer;
}

object_answer
object_store::Delete(const object_key& aKey, object_version aExpected)
{
  object_answer answer;
  answer.mObject.mKey = aKey;
  const auto current = VersionOf(Find(aKey));
  if (current == kNoObject) {
    answer.mStatus = platform_status::NotFound;
    return answer;
  }
  if (current != aExpected) {
    answer.mStatus = platform_status::Conflict;
    answer.mObject.mVersion = current;
    return answer;
  }
  answer.mStatus = platform_status::Ok;
  answer.mObject.mVersion = ++mVersion;
  mObjects.erase(aKey);
  RecordChange(aKey);
  return answer;
}

std::vector<platform_object>
object_store::List(const std::string& aKind) const
{
  std::vector<platform_object> objects;
  for (const auto& [key, object] : mObjects) {
    if (key.mKind == aKind) {
      objects.push_back({ key, object.mVersion, object.mValue, false });
    }
  }
  return objects;
}

std::vector<platform_object>
object_store::Changes(const std::string& aKind, object_version aFrom) const
{
  std::vector<platform_object> changed;
  std::set<std::string> seen;
  const auto first = std::ranges::upper_bound(
    mChanges, aFrom, std::ranges::less{}, &store_change::mVersion);
  for (auto change = mChanges.end(); change != first;) {
    --change;
    if (change->mKey.mKind != aKind ||
        !seen.insert(change->mKey.mName).second) {
      continue;
    }
    const auto* object = Find(change->mKey);
    platform_object item{ change->mKey, change->mVersion, {}, true };
    if (object != nullptr) {
      item.mValue = object->mValue;
      item.mDeleted = false;
    }
    changed.push_back(std::move(item));
  }
  std::ranges::reverse(changed);
  return changed;
}

void
object_store::RecordChange(const object_key& aKey)
{
  mChanges.push_back({ mVersion, aKey });
  while (mChanges.size() > mMaxChanges) {
    mDroppedUpTo = mChanges.front().mVersion;
    mChanges.pop_front();
  }
}

} // namespace sapphirespar::tools
