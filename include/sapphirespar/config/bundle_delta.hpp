// What differs between two bundles, item by item.
#pragma once

#include "sapphirespar/model/bundle.hpp"

#include <string>
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

} // namespace sapphirespar
