// Reading of signers, which settings and bundles both name.
#pragma once

#include "sapphirespar/config/toml_reader.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <vector>

namespace sapphirespar {

// Reads [[aKey]] tables of name and public_key, checked for form and doubles.
std::vector<signer> ReadSigners(toml_table& aTable, std::string_view aKey);

} // namespace sapphirespar
