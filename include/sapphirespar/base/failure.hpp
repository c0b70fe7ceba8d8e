// Errors as values, for synchronous code.
#pragma once

#include <boost/leaf.hpp>

#include <ostream>
#include <string>

namespace sapphirespar {

namespace leaf = boost::leaf;

// The result of synchronous code. Coroutines return other types, because LEAF
// keeps error objects in thread-local contexts, which interleaved coroutines
// would share.
template<class T>
using result = leaf::result<T>;

// An error in a file written by a user. Handled by the caller that reports it
// to the user.
struct config_failure
{
  std::string mFile;
  // One-based; zero if unknown.
  unsigned mLine = 0;
  // Dotted path of the key, such as "classes[2].tier"; may be empty.
  std::string mKey;
  // Describes what was expected and what was found instead.
  std::string mProblem;
};

// Prints "file:line: key: problem"; omits a line of zero and an empty key.
std::ostream& operator<<(std::ostream& aOut, const config_failure& aFailure);

// Returns the printed form of aFailure.
std::string Describe(const config_failure& aFailure);

} // namespace sapphirespar
