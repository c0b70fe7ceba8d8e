// Reads signer tables, which settings files and bundles both contain.
#pragma once

#include "sapphirespar/config/toml_reader.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <vector>

namespace sapphirespar {

// Reads the tables [[aKey]] with the keys name and public_key. Fails for a
// malformed key or a repeated name.
std::vector<signer> ReadSigners(toml_table& aTable, std::string_view aKey);

} // namespace sapphirespar
