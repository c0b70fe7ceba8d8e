// Computes the differences between two bundles item by item: as a list for
// operators, and as a delta for routers, so that a change need not carry the
// full bundle.
#pragma once

#include "sapphirespar/base/failure.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar {

// One item that was added, removed or changed.
struct bundle_change
{
  // The list that contains the item, such as "classes".
  std::string mSection;
  std::string mId;
  // The item as JSON; empty if the item is absent.
  std::string mBefore;
  std::string mAfter;
};

// Returns the changes from aBefore to aAfter, by section and then in order of
// their identifiers.
std::vector<bundle_change> Diff(const bundle& aBefore, const bundle& aAfter);

struct removed_item
{
  std::string mSection;
  std::string mId;
};

struct bundle_delta
{
  // Version of the bundle to which the delta applies.
  bundle_version mBase;
  // The resulting version, with only the new and the changed items.
  bundle mSet;
  std::vector<removed_item> mRemoved;
};

bundle_delta MakeDelta(const bundle& aBefore, const bundle& aAfter);

// Applies a delta; the caller checks mBase. Changed items keep their position
// and new ones are appended, so the items may be in another order than in the
// bundle from which the delta was made. Only the signature shows whether the
// result is that bundle.
bundle ApplyDelta(const bundle& aBefore, const bundle_delta& aDelta);

std::string ToJson(const bundle_delta& aDelta);

// Fails with config_failure.
result<bundle_delta> ParseDelta(std::string_view aText);

} // namespace sapphirespar
