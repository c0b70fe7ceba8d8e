// Implements the shared readers of settings.
#include "setting_values.hpp"

#include <array>

namespace sapphirespar {

void
ReadRequiredTable(toml_table& aRoot,
                  std::string_view aKey,
                  const toml_table::visitor& aRead)
{
  if (!aRoot.Has(aKey)) {
    aRoot.Fail(aKey, "required table is missing");
  }
  aRoot.Table(aKey, aRead);
}

log_level
ReadLogLevel(toml_table& aTable, std::string_view aKey, log_level aFallback)
{
  constexpr std::array<text_choice<log_level>, 4> kLogLevels{ {
    { "debug", log_level::Debug },
    { "info", log_level::Info },
    { "warning", log_level::Warning },
    { "error", log_level::Error },
  } };
  return aTable.Choice<log_level>(aKey, kLogLevels, aFallback);
}

} // namespace sapphirespar
