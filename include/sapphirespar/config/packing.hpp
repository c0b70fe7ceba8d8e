// Compresses large texts and encodes them in base64, so that they fit into JSON
// and into the platform's objects.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sapphirespar {

std::string Pack(std::string_view aBytes);

// Returns the unpacked bytes, or nothing if aText is malformed or the bytes are
// larger than any bundle.
std::optional<std::string> Unpack(std::string_view aText);

} // namespace sapphirespar
