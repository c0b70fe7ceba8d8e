// Damage to a text, for tests that feed readers with bad input.
#pragma once

#include <cstddef>
#include <ostream>
#include <span>
#include <string>

namespace sapphirespar {

// Replaces some bytes by others. Places beyond the end wrap around.
struct text_mutation
{
  std::size_t mPlace = 0;
  std::size_t mLength = 0;
  std::string mInsert;
};

std::ostream& operator<<(std::ostream& aOut, const text_mutation& aMutation);

std::string Mutate(std::string aText, std::span<const text_mutation> aBy);

} // namespace sapphirespar
