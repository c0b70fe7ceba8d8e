// Helpers for headers, responses and request targets.
#include "sapphirespar/wire/http_message.hpp"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>

namespace sapphirespar::wire {

std::string_view
FindHeader(const http_headers& aHeaders, std::string_view aName)
{
  const auto found = std::ranges::find_if(aHeaders, [&](const auto& aHeader) {
    return boost::algorithm::iequals(aHeader.mName, aName);
  });
  return found == aHeaders.end() ? std::string_view{}
                                 : std::string_view(found->mValue);
}

http_response
JsonResponse(unsigned aStatus, std::string aBody)
{
  return { aStatus,
           { { "Content-Type", "application/json" } },
           std::move(aBody) };
}

http_target
SplitTarget(std::string_view aTarget)
{
  const auto mark = aTarget.find('?');
  if (mark == std::string_view::npos) {
    return { aTarget, {} };
  }
  return { aTarget.substr(0, mark), aTarget.substr(mark + 1) };
}

std::string_view
QueryValue(std::string_view aQuery, std::string_view aKey)
{
  while (!aQuery.empty()) {
    const auto pair = aQuery.substr(0, aQuery.find('&'));
    aQuery.remove_prefix(std::min(aQuery.size(), pair.size() + 1));
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == aKey) {
      return equals == std::string_view::npos ? std::string_view{}
                                              : pair.substr(equals + 1);
    }
  }
  return {};
}

} // namespace sapphirespar::wire
