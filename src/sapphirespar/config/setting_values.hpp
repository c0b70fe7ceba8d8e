// Parts that settings files of different programs have in common. Internal to
// config.
#pragma once

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/config/toml_reader.hpp"

namespace sapphirespar {

// Fails unless the required table aKey is there, then reads it.
void ReadRequiredTable(toml_table& aRoot,
                       std::string_view aKey,
                       const toml_table::visitor& aRead);

log_level ReadLogLevel(toml_table& aTable,
                       std::string_view aKey,
                       log_level aFallback);

} // namespace sapphirespar
