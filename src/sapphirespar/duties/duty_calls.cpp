// Names of replies.
#include "sapphirespar/duties/duty_calls.hpp"

namespace sapphirespar::duties {

std::string_view
ToText(duty_reply aReply)
{
  switch (aReply) {
    case duty_reply::Done:
      return "done";
    case duty_reply::Refused:
      return "refused";
    case duty_reply::Throttled:
      return "throttled";
    case duty_reply::Unknown:
      break;
  }
  return "unknown";
}

} // namespace sapphirespar::duties
