// Finding event boundaries in a stream of server-sent events.
#include "sapphirespar/router/sse_splitter.hpp"

namespace sapphirespar::router {

sse_events
sse_splitter::Feed(std::string_view aPiece)
{
  constexpr std::string_view kBoundary = "\n\n";
  constexpr std::string_view kDone = "data: [DONE]";
  constexpr std::string_view kData = "data:";
  mPartial += aPiece;
  sse_events result;
  std::size_t start = 0;
  while (!result.mDone) {
    const auto end = mPartial.find(kBoundary, start);
    if (end == std::string::npos) {
      break;
    }
    const auto event = std::string_view(mPartial).substr(start, end - start);
    result.mDone = event == kDone;
    result.mCount += event.starts_with(kData) && !result.mDone ? 1 : 0;
    start = end + kBoundary.size();
  }
  result.mBytes = mPartial.substr(0, start);
  mPartial.erase(0, start);
  return result;
}

} // namespace sapphirespar::router
