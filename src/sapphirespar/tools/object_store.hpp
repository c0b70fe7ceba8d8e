// The stand-in platform's object store: versioned objects, conditional updates,
// and a log of changes for watches.
#pragma once

#include "sapphirespar/model/platform.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sapphirespar::tools {

struct stored_object
{
  std::string mValue;
  object_version mVersion = kNoObject;
};

struct store_change
{
  object_version mVersion = kNoObject;
  object_key mKey;
};

class object_store
{
public:
  explicit object_store(std::size_t aMaxChanges)
    : mMaxChanges(aMaxChanges)
  {
  }

  // Returns the version of the newest write; 0 before the first one.
  object_version Version() const { return mVersion; }

  // Returns null if the object does not exist.
  const stored_object* Find(const object_key& aKey) const;

  // Writes or deletes the object if its version is aExpected, kNoObject for an
  // object that does not exist. On a conflict, the answer contains the current
  // version. Delete returns NotFound if the object does not exist.
  object_answer Put(const object_key& aKey,
                    std::string aValue,
                    object_version aExpected);
  object_answer Delete(const object_key& aKey, object_version aExpected);

  std::vector<platform_object> List(const std::string& aKind) const;

  // Whether the log still has all changes after version aFrom.
  // and has that version at all.
  bool HasChangesAfter(object_version aFrom) const
  {
    return aFrom >= mDroppedUpTo && aFrom <= mVersion;
  }

  // Returns the objects of a kind that changed after version aFrom, each once,
  // in their current state.
  std::vector<platform_object> Changes(const std::string& aKind,
                                       object_version aFrom) const;

private:
  void RecordChange(const object_key& aKey);

  std::size_t mMaxChanges;
  object_version mVersion = 0;
  // Changes up to this version have been dropped from mChanges.
  object_version mDroppedUpTo = 0;
  std::map<object_key, stored_object> mObjects;
  // Ordered by version; at most mMaxChanges.
  std::deque<store_change> mChanges;
};

} // namespace sapphirespar::tools
