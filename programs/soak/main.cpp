// sapphirespar-soak: plays random faults to real gateway processes and checks
// what callers and upstreams see.
#include "sapphirespar/soak/world.hpp"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

using namespace sapphirespar::soak;

constexpr int kExitBroken = 1;
constexpr int kExitUsage = 2;

// Returns whether every promise was kept.
bool
PlaySeed(const soak_options& aOptions)
{
  world played(aOptions);
  played.Run();
  const auto& totals = played.Judge().Totals();
  std::cout << "seed=" << aOptions.mSeed << " faults=" << totals.mFaults
            << " requests=" << totals.mRequests << " served=" << totals.mServed
            << " refused=" << totals.mRefused << " lost=" << totals.mLost
            << " broken=" << played.Judge().Broken().size() << std::endl;
  for (const auto& line : played.Judge().Broken()) {
    std::cout << "  " << line << '\n';
  }
  // A soak in which nothing is served proves nothing.
  const bool kept =
    played.Judge().Broken().empty() && totals.mServed > totals.mRequests / 10;
  if (kept) {
    std::filesystem::remove_all(played.Directory());
  } else {
    std::cout << "  logs: " << played.Directory().string() << std::endl;
  }
  return kept;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App options{ "Soaks gateways in faults." };
  soak_options chosen;
  std::uint64_t seeds = 1;
  unsigned seconds = 8;
  options.add_option("--seed", chosen.mSeed, "First seed");
  options.add_option("--seeds", seeds, "How many seeds to play");
  options.add_option("--seconds", seconds, "Length of the play of each seed");
  options.add_option("--gateways", chosen.mGateways, "Gateway processes")
    ->check(CLI::Range(1, 200));
  options.add_option("--upstreams", chosen.mUpstreams, "Upstreams")
    ->check(CLI::Range(1, 200));
  options.add_option("--callers", chosen.mCallers, "Callers")
    ->check(CLI::Range(1, 5000));
  options
    .add_option("--gateway", chosen.mGatewayProgram, "The gateway's program")
    ->required()
    ->check(CLI::ExistingFile);
  try {
    options.parse(aCount, aArguments);
  } catch (const CLI::ParseError& problem) {
    const int code = options.exit(problem);
    return code == 0 ? EXIT_SUCCESS : kExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  chosen.mLength = std::chrono::seconds(seconds);
  bool kept = true;
  try {
    for (std::uint64_t count = 0; count < seeds; ++count) {
      kept = PlaySeed(chosen) && kept;
      ++chosen.mSeed;
    }
  } catch (const std::exception& problem) {
    std::cerr << "sapphirespar-soak: " << problem.what() << '\n';
    return kExitBroken;
  }
  return kept ? EXIT_SUCCESS : kExitBroken;
}
