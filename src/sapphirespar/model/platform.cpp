// Names of platform statuses.
#include "sapphirespar/model/platform.hpp"

namespace sapphirespar {

std::string_view
ToText(platform_status aStatus)
{
  switch (aStatus) {
    case platform_status::Ok:
      return "ok";
    case platform_status::NotFound:
      return "not_found";
    case platform_status::Conflict:
      return "conflict";
    case platform_status::Throttled:
      return "throttled";
    case platform_status::Unavailable:
      return "unavailable";
    case platform_status::Unknown:
      return "unknown";
    case platform_status::TooLarge:
      return "too_large";
    case platform_status::Compacted:
      break;
  }
  return "compacted";
}

} // namespace sapphirespar
