// The bundle as operators write it, in TOML under version control.
#pragma once

#include "sapphirespar/base/failure.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <string>
#include <string_view>

namespace sapphirespar {

// Reads and checks a bundle, with all references between its parts. Its
// version's number is zero unless the file gives one; signing sets it.
result<bundle> ParseBundle(std::string_view aText, std::string_view aFile);

result<bundle> LoadBundle(const std::string& aPath);

} // namespace sapphirespar
