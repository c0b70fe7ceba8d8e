// Edits of a text, for tests that feed parsers with malformed input.
#pragma once

#include <cstddef>
#include <ostream>
#include <span>
#include <string>

namespace sapphirespar {

// Replaces mLength bytes at mOffset with mInsert. Offsets beyond the end of the
// text wrap around.
struct text_mutation
{
  std::size_t mOffset = 0;
  std::size_t mLength = 0;
  std::string mInsert;
};

std::ostream& operator<<(std::ostream& aOut, const text_mutation& aMutation);

// Returns aText after all mutations, applied in order.
std::string Mutate(std::string aText,
                   std::span<const text_mutation> aMutations);

} // namespace sapphirespar
