// sapphirespar-ctl: the operators' command-line program.
#include "sapphirespar/cli/ctl.hpp"

#include <iostream>

int
main(int aCount, char** aArguments)
{
  return static_cast<int>(
    sapphirespar::cli::RunCtl(aCount, aArguments, std::cout, std::cerr));
}
