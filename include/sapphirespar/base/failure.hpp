// Failures as values. Synchronous code returns result<T> (Boost.LEAF) and the
// caller that reports to a person handles config_failure. Coroutines return
// outcome types of their own, because LEAF keeps error objects in thread-local
// contexts that interleaved coroutines would share.
#pragma once

#include <boost/leaf.hpp>

#include <ostream>
#include <string>

namespace sapphirespar {

namespace leaf = boost::leaf;

template<class T>
using result = leaf::result<T>;

// What is wrong with one key of a file that a person wrote.
struct config_failure
{
  std::string mFile;
  // One-based; zero when the place is not known.
  unsigned mLine = 0;
  // Dotted path of the key, such as "classes[2].tier".
  std::string mKey;
  // What was expected and what was found instead.
  std::string mProblem;
};

// Prints "file:line: key: problem".
std::ostream& operator<<(std::ostream& aOut, const config_failure& aFailure);

// Returns the printed form of aFailure.
std::string Describe(const config_failure& aFailure);

} // namespace sapphirespar
