// Applies mutations to a text.
#include "sapphirespar/base/mutation.hpp"

#include <algorithm>

namespace sapphirespar {

std::ostream&
operator<<(std::ostream& aOut, const text_mutation& aMutation)
{
  return aOut << aMutation.mOffset << '+' << aMutation.mLength << ":\""
              << aMutation.mInsert << '"';
}

std::string
Mutate(std::string aText, std::span<const text_mutation> aMutations)
{
  std::ranges::for_each(aMutations, [&](const auto& aMutation) {
    const auto offset = aMutation.mOffset % (aText.size() + 1);
    aText.replace(offset, aMutation.mLength, aMutation.mInsert);
  });
  return aText;
}

} // namespace sapphirespar
