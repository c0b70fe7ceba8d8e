// Prints errors.
#include "sapphirespar/base/failure.hpp"

#include <sstream>

namespace sapphirespar {

std::ostream&
operator<<(std::ostream& aOut, const config_failure& aFailure)
{
  aOut << aFailure.mFile;
  if (aFailure.mLine != 0) {
    aOut << ':' << aFailure.mLine;
  }
  aOut << ": ";
  if (!aFailure.mKey.empty()) {
    aOut << aFailure.mKey << ": ";
  }
  return aOut << aFailure.mProblem;
}

std::string
Describe(const config_failure& aFailure)
{
  std::ostringstream text;
  text << aFailure;
  return text.str();
}

} // namespace sapphirespar
