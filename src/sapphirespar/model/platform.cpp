// Names of platform statuses, and fencing numbers.
#include "sapphirespar/model/platform.hpp"

#include <algorithm>

namespace sapphirespar {

std::uint64_t
FencingNumber(store_era aEra, object_version aVersion)
{
  constexpr unsigned kVersionBits = 40;
  constexpr store_era kMaxEra = (store_era{ 1 } << 23) - 1;
  return (std::min(aEra, kMaxEra) << kVersionBits) + aVersion;
}

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
