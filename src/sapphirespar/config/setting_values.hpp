// Readers for the parts that the settings files of routers and gateways share.
#pragma once

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/config/toml_reader.hpp"

namespace sapphirespar {

// Reads the table under aKey. Fails if it is absent.
void ReadRequiredTable(toml_table& aRoot,
                       std::string_view aKey,
                       const toml_table::visitor& aRead);

log_level ReadLogLevel(toml_table& aTable,
                       std::string_view aKey,
                       log_level aFallback);

} // namespace sapphirespar
