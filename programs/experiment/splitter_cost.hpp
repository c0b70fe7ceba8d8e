// Processor time of splitting event streams. Internal to the program.
#pragma once

#include <cstddef>
#include <string>

namespace sapphirespar::experiment {

// The cost of one stream, in microseconds of processor time.
struct splitter_cost
{
  std::string mStream;
  std::size_t mMegabytes = 0;
  double mMicroseconds = 0;
  // Of a splitter that searches an incomplete event again from its beginning
  // for each piece.
  double mRescanningMicroseconds = 0;
};

// Splits a stream of aMegabytes in pieces of a network read: one event if
// aEventBytes is zero, otherwise events of that size.
splitter_cost MeasureSplitterCost(std::size_t aMegabytes,
                                  std::size_t aEventBytes);

} // namespace sapphirespar::experiment
