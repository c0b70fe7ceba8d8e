// Entry point of sapphirespar-ctl, the operators' command-line program. It
// manages signing keys, bundles, drains and models, and shows router status.
#pragma once

#include <ostream>

namespace sapphirespar::cli {

// Exit code of the process.
enum class exit_code
{
  Ok = 0,
  // The command failed, or its outcome is unknown.
  Failed = 1,
  // The command line is wrong.
  Usage = 2,
  // The command was rejected: invalid input, an invalid signature, a conflict
  // with another operator's change, an object that does not exist, or a key
  // file that already exists.
  Refused = 3,
};

// Runs one command; writes results to aOut and errors to aError.
exit_code RunCtl(int aCount,
                 const char* const* aArguments,
                 std::ostream& aOut,
                 std::ostream& aError);

} // namespace sapphirespar::cli
