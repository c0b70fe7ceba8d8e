// Responses of refusals.
#include "refusal_answer.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>

namespace sapphirespar::gateway {
namespace {

std::string
ToSeconds(std::chrono::milliseconds aTime)
{
  std::array<char, 32> text{};
  constexpr double kMsPerSecond = 1000;
  const int size =
    std::snprintf(text.data(),
                  text.size(),
                  "%.3f",
                  static_cast<double>(aTime.count()) / kMsPerSecond);
  return { text.data(), static_cast<std::size_t>(std::max(size, 0)) };
}

} // namespace

wire::http_response
ToResponse(const refusal_answer& aRefusal)
{
  wire::http_response response;
  response.mStatus = aRefusal.mStatus;
  response.mHeaders = { { "Content-Type", "text/plain" } };
  if (aRefusal.mRetryAfter > std::chrono::milliseconds::zero()) {
    response.mHeaders.push_back(
      { "Retry-After", ToSeconds(aRefusal.mRetryAfter) });
  }
  response.mBody = std::string(aRefusal.mReason) + "\n";
  return response;
}

} // namespace sapphirespar::gateway
