// Names of the states on the blackboard.
#include "sapphirespar/model/blackboard.hpp"

namespace sapphirespar {

std::string_view
ToText(member_state aState)
{
  switch (aState) {
    case member_state::Joining:
      return "joining";
    case member_state::Live:
      return "live";
    case member_state::Leaving:
      return "leaving";
    case member_state::Suspect:
      return "suspect";
    case member_state::Dead:
      break;
  }
  return "dead";
}

std::string_view
ToText(upstream_state aState)
{
  switch (aState) {
    case upstream_state::Healthy:
      return "healthy";
    case upstream_state::Slow:
      return "slow";
    case upstream_state::Ejected:
      return "ejected";
    case upstream_state::Probing:
      return "probing";
    case upstream_state::Leaving:
      break;
  }
  return "leaving";
}

} // namespace sapphirespar
