// HTTP messages as plain values, so that only the wire module depends on Beast.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar::wire {

struct http_header
{
  std::string mName;
  std::string mValue;
};

using http_headers = std::vector<http_header>;

// Returns the value of the first header named aName, compared without regard to
// case, or an empty view.
std::string_view FindHeader(const http_headers& aHeaders,
                            std::string_view aName);

struct http_request
{
  std::string mMethod = "GET";
  // Path and query as sent, without decoding.
  std::string mTarget = "/";
  http_headers mHeaders;
  std::string mBody;

  std::string_view Header(std::string_view aName) const
  {
    return FindHeader(mHeaders, aName);
  }
};

struct http_response
{
  unsigned mStatus = 200;
  http_headers mHeaders;
  std::string mBody;

  std::string_view Header(std::string_view aName) const
  {
    return FindHeader(mHeaders, aName);
  }
};

// Returns a response with a JSON body.
http_response JsonResponse(unsigned aStatus, std::string aBody);

// A request target split at its first question mark.
struct http_target
{
  std::string_view mPath;
  std::string_view mQuery;
};
http_target SplitTarget(std::string_view aTarget);

// Returns the value of aKey in a query such as "a=1&b=2", or an empty view.
std::string_view QueryValue(std::string_view aQuery, std::string_view aKey);

} // namespace sapphirespar::wire
