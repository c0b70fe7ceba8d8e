// One gateway's copy of the store as JSON, for another gateway. Internal to
// gateway.
#pragma once

#include "sapphirespar/gateway/store_reader.hpp"

#include <string>
#include <string_view>

namespace sapphirespar::gateway {

std::string EncodeStoreCopy(const store_copy& aCopy);

// Returns nothing for text that is no copy.
std::optional<store_copy> DecodeStoreCopy(std::string_view aText);

} // namespace sapphirespar::gateway
