// Converts bundles to JSON documents, for code that works on single items.
#pragma once

#include "sapphirespar/model/bundle.hpp"

#include <boost/json.hpp>

#include <array>
#include <string>
#include <string_view>

namespace sapphirespar {

// The lists of a bundle in their canonical order.
inline constexpr std::array<std::string_view, 5> kBundleSections{ "classes",
                                                                  "accounts",
                                                                  "models",
                                                                  "upstreams",
                                                                  "signers" };

// Returns the document that ToCanonicalJson serializes.
boost::json::object ToJsonObject(const bundle& aBundle);

// Returns the identifier of a section's item. The identifier of a signer is its
// name.
std::string ItemId(const boost::json::value& aItem);

} // namespace sapphirespar
