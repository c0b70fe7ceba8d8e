// The operators' program: keys, bundles, status and explanations.
#pragma once

#include <ostream>

namespace sapphirespar::cli {

// What a command's process exits with.
enum class exit_code
{
  Ok = 0,
  // It could not be done, or it is not known whether it was.
  Failed = 1,
  // The command line is wrong.
  Usage = 2,
  // It must not be done: a check, a signature or another operator forbids it.
  Refused = 3,
};

// Runs one command; answers go to aOut, complaints to aError.
exit_code RunCtl(int aCount,
                 const char* const* aArguments,
                 std::ostream& aOut,
                 std::ostream& aError);

} // namespace sapphirespar::cli
