// Converts bundles to and from canonical JSON. Equal bundles have the same
// bytes, which are the bytes that are signed.
#pragma once

#include "sapphirespar/base/failure.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <string>
#include <string_view>

namespace sapphirespar {

// Writes keys in a fixed order, without white space, and omits members with
// default values.
std::string ToCanonicalJson(const bundle& aBundle);

// Parses the output of ToCanonicalJson. Unknown keys are ignored, because a
// newer writer may add them. Fails with config_failure.
result<bundle> ParseBundleJson(std::string_view aText);

} // namespace sapphirespar
