// The stand-in platform's store: versioned objects, conditional updates and
// the changes that watches wait for.
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
  explicit object_store(std::size_t aChangesKept)
    : mChangesKept(aChangesKept)
  {
  }

  // The version of the newest write; 0 before the first.
  object_version Version() const { return mVersion; }

  // Returns null if there is no such object.
  const stored_object* Find(const object_key& aKey) const;

  // Writes if the object's version is aExpected. Returns the object's version
  // after the call and whether it was written.
  object_answer Put(const object_key& aKey,
                    std::string aValue,
                    object_version aExpected);
  object_answer Delete(const object_key& aKey, object_version aExpected);

  std::vector<platform_object> List(const std::string& aKind) const;

  // Whether changes after aFrom are all still known.
  bool Remembers(object_version aFrom) const { return aFrom >= mForgotten; }

  // The objects of a kind that have changed after aFrom, each once, as they
  // are now.
  std::vector<platform_object> Changes(const std::string& aKind,
                                       object_version aFrom) const;

private:
  void Remember(const object_key& aKey);

  std::size_t mChangesKept;
  object_version mVersion = 0;
  // Changes up to this version may have been dropped from mChanges.
  object_version mForgotten = 0;
  std::map<object_key, stored_object> mObjects;
  // In order of version.
  std::deque<store_change> mChanges;
};

} // namespace sapphirespar::tools
