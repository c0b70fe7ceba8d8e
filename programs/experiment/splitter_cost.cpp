// Measures the CPU time of splitting event streams, also with a splitter that
// rescans incomplete events.
#include "splitter_cost.hpp"

#include "processor_time.hpp"

#include "sapphirespar/wire/sse_splitter.hpp"

#include <algorithm>
#include <string_view>

namespace sapphirespar::experiment {

namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kPieceBytes = 8 * 1024;

// Searches an incomplete event from its beginning for each piece.
class rescanning_splitter
{
public:
  std::string Feed(std::string_view aPiece)
  {
    mPartial += aPiece;
    std::size_t start = 0;
    while (const auto end = FindEventEnd(start)) {
      start = end;
    }
    auto events = mPartial.substr(0, start);
    mPartial.erase(0, start);
    return events;
  }

private:
  // Returns the offset after the event at aStart; zero if it is incomplete.
  std::size_t FindEventEnd(std::size_t aStart) const
  {
    const std::string_view text = mPartial;
    bool inEvent = false;
    auto position = aStart;
    while (true) {
      const auto end = text.find_first_of("\r\n", position);
      if (end == std::string_view::npos) {
        return 0;
      }
      const bool blank = end == position;
      position = end + (text.substr(end, 2) == "\r\n" ? 2 : 1);
      if (inEvent && blank) {
        return position;
      }
      inEvent = inEvent || !blank;
    }
  }

  std::string mPartial;
};

// Returns the processor time in microseconds.
template<class Splitter>
double
SplittingTime(std::string_view aStream)
{
  Splitter splitter;
  const auto begin = ProcessorMicroseconds();
  while (!aStream.empty()) {
    const auto piece = aStream.substr(0, kPieceBytes);
    splitter.Feed(piece);
    aStream.remove_prefix(piece.size());
  }
  return ProcessorMicroseconds() - begin;
}

} // namespace

splitter_cost
MeasureSplitterCost(std::size_t aMegabytes, std::size_t aEventBytes)
{
  constexpr std::string_view kStart = "data: ";
  constexpr std::string_view kEnd = "\n\n";
  const auto bytes = aMegabytes * kMegabyte;
  const auto eventBytes = aEventBytes == 0 ? bytes : aEventBytes;
  const auto text = eventBytes - kStart.size() - kEnd.size();
  const auto event =
    std::string(kStart) + std::string(text, 'x') + std::string(kEnd);
  std::string stream;
  while (stream.size() < bytes) {
    stream += event;
  }
  splitter_cost cost;
  cost.mStream = aEventBytes == 0 ? "one event" : "many events";
  cost.mMegabytes = aMegabytes;
  cost.mMicroseconds = SplittingTime<wire::sse_splitter>(stream);
  cost.mRescanningMicroseconds = SplittingTime<rescanning_splitter>(stream);
  return cost;
}

} // namespace sapphirespar::experiment
