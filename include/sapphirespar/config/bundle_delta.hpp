// What differs between two bundles, item by item: for operators to read and
// for routers to apply, so that a change need not carry the whole bundle.
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
  // Such as "classes".
  std::string mSection;
  std::string mId;
  // The item as JSON; empty if it was not there.
  std::string mBefore;
  std::string mAfter;
};

// Returns the changes from aBefore to aAfter, by section and then in order of
// their identifiers.
std::vector<bundle_change> Diff(const bundle& aBefore, const bundle& aAfter);

// An item that is no longer there.
struct removed_item
{
  std::string mSection;
  std::string mId;
};

struct bundle_delta
{
  // The bundle that this is applied to.
  bundle_version mBase;
  // The version that it leads to, with all new and changed items.
  bundle mSet;
  std::vector<removed_item> mRemoved;
};

bundle_delta MakeDelta(const bundle& aBefore, const bundle& aAfter);

// Returns what the delta leads to. A change of an item keeps its place and a
// new one comes last, so the result may order items otherwise than the bundle
// that the delta was made from; only a signature tells whether it is the same.
bundle ApplyDelta(const bundle& aBefore, const bundle_delta& aDelta);

std::string ToJson(const bundle_delta& aDelta);

// Fails with config_failure.
result<bundle_delta> ParseDelta(std::string_view aText);

} // namespace sapphirespar
