// Large texts packed by zlib into base64, so that they fit into JSON and into
// the platform's values.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sapphirespar {

std::string Pack(std::string_view aBytes);

// Returns the bytes, or nothing if aText is not packed bytes or they are more
// than any bundle's.
std::optional<std::string> Unpack(std::string_view aText);

} // namespace sapphirespar
