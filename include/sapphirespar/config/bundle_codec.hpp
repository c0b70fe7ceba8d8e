// The bundle as JSON, in one canonical form: the same bundle always gives the
// same bytes, which is what gets signed.
#pragma once

#include "sapphirespar/base/failure.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <string>
#include <string_view>

namespace sapphirespar {

// Keys in fixed order, no white space, members at their defaults left out.
std::string ToCanonicalJson(const bundle& aBundle);

// Reads what ToCanonicalJson wrote. Unknown keys, which a newer writer may
// add, are ignored. Fails with config_failure.
result<bundle> ParseBundleJson(std::string_view aText);

} // namespace sapphirespar
