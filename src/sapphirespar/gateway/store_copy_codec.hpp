// One gateway's copy of the store as JSON, for another gateway. Internal to
// gateway.
#pragma once

#include "sapphirespar/gateway/store_reader.hpp"

#include <string>
#include <string_view>

namespace sapphirespar::gateway {

inline constexpr std::string_view kStoreCopyPath = "/v1/store-copy";

// The target at which another gateway is asked for what is new to this one, and
// what that one reads of its query; numbers that can't be read count as nothing
// known.
std::string CopyTarget(const store_known& aKnown);
store_known ReadKnown(std::string_view aQuery);

std::string EncodeStoreCopy(const store_copy& aCopy);

// Returns nothing for text that is no copy.
std::optional<store_copy> DecodeStoreCopy(std::string_view aText);

} // namespace sapphirespar::gateway
