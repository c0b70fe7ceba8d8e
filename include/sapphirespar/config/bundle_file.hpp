// Reads bundles from the TOML files that operators write.
#pragma once

#include "sapphirespar/base/failure.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <string>
#include <string_view>

namespace sapphirespar {

// Parses a bundle and checks its values and the references between its parts.
// The version number is zero unless the file gives one; it is set when the
// bundle is signed. aFile is only named in failures. Fails with config_failure.
result<bundle> ParseBundle(std::string_view aText, std::string_view aFile);

// Reads a file and parses it. Fails with config_failure.
result<bundle> LoadBundle(const std::string& aPath);

} // namespace sapphirespar
