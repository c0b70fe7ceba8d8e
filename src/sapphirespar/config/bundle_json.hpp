// The bundle as a JSON document, for code that works on its items.
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

// The document that ToCanonicalJson prints.
boost::json::object ToJsonObject(const bundle& aBundle);

// Returns the identifier of an item of a section; of a signer, the name.
std::string ItemId(const boost::json::value& aItem);

} // namespace sapphirespar
