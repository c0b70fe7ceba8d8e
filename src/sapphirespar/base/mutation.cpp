// Applying mutations one after the other.
#include "sapphirespar/base/mutation.hpp"

#include <algorithm>

namespace sapphirespar {

std::ostream&
operator<<(std::ostream& aOut, const text_mutation& aMutation)
{
  return aOut << aMutation.mPlace << '+' << aMutation.mLength << ":\""
              << aMutation.mInsert << '"';
}

std::string
Mutate(std::string aText, std::span<const text_mutation> aBy)
{
  std::ranges::for_each(aBy, [&](const auto& aMutation) {
    const auto place = aMutation.mPlace % (aText.size() + 1);
    aText.replace(place, aMutation.mLength, aMutation.mInsert);
  });
  return aText;
}

} // namespace sapphirespar
