// sapphirespar-soak: runs real gateway processes under random faults and checks
// the guarantees given to callers.
#include "sapphirespar/soak/soak_harness.hpp"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

using namespace sapphirespar::soak;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// Runs a soak; returns whether all guarantees held and enough requests were
// served.
bool
RunSeed(const soak_options& aOptions)
{
  soak_harness harness(aOptions);
  harness.Run();
  const auto& totals = harness.Checker().Totals();
  std::cout << "seed=" << aOptions.mSeed << " faults=" << totals.mFaults
            << " requests=" << totals.mRequests << " served=" << totals.mServed
            << " refused=" << totals.mRefused << " lost=" << totals.mLost
            << " taken_up=" << totals.mTakenUp << " went_on=" << totals.mWentOn
            << " moved=" << totals.mMoved
            << " reports=" << harness.Duties().Reports()
            << " broken=" << harness.Checker().Violations().size() << std::endl;
  for (const auto& line : harness.Checker().Violations()) {
    std::cout << "  " << line << '\n';
  }
  // A soak in which few requests are served doesn't exercise the guarantees.
  const bool passed = harness.Checker().Violations().empty() &&
                      totals.mServed > totals.mRequests / 10;
  if (passed && !aOptions.mKeepLogs) {
    std::filesystem::remove_all(harness.Directory());
  } else {
    std::cout << "  logs: " << harness.Directory().string() << std::endl;
  }
  return passed;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App options{ "Runs gateways under random faults and checks the "
                    "guarantees given to callers." };
  soak_options soakOptions;
  std::uint64_t seeds = 1;
  unsigned seconds = 8;
  options.add_option("--seed", soakOptions.mSeed, "First seed");
  options.add_option("--seeds", seeds, "Number of seeds to run");
  options.add_option("--seconds", seconds, "Duration of each seed's run");
  options.add_option("--gateways", soakOptions.mGateways, "Gateway processes")
    ->check(CLI::Range(1, 200));
  options.add_option("--upstreams", soakOptions.mUpstreams, "Upstreams")
    ->check(CLI::Range(1, 200));
  options.add_option("--callers", soakOptions.mCallers, "Callers")
    ->check(CLI::Range(1, 5000));
  options.add_flag(
    "--keep-logs", soakOptions.mKeepLogs, "Keep the gateways' logs");
  options
    .add_option("--gateway", soakOptions.mGatewayProgram, "Gateway executable")
    ->required()
    ->check(CLI::ExistingFile);
  options
    .add_option("--other-gateway",
                soakOptions.mOtherProgram,
                "Gateway executable of another build, for every second gateway")
    ->check(CLI::ExistingFile);
  try {
    options.parse(aCount, aArguments);
  } catch (const CLI::ParseError& problem) {
    const int code = options.exit(problem);
    return code == 0 ? EXIT_SUCCESS : kExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  soakOptions.mDuration = std::chrono::seconds(seconds);
  bool passed = true;
  try {
    for (std::uint64_t count = 0; count < seeds; ++count) {
      passed = RunSeed(soakOptions) && passed;
      ++soakOptions.mSeed;
    }
  } catch (const std::exception& problem) {
    std::cerr << "sapphirespar-soak: " << problem.what() << '\n';
    return kExitFailed;
  }
  return passed ? EXIT_SUCCESS : kExitFailed;
}
