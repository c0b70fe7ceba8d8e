// sapphirespar-experiment: runs the schedulers side by side on fake engines
// under virtual time and prints attainment, goodput and wasted work.
#include "event_cost.hpp"
#include "sapphirespar/experiment/trial.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <iostream>

namespace {

using namespace sapphirespar;

void
RunUser(const experiment::user_load& aLoad,
        std::string_view aScenario,
        std::string_view aScheduler,
        std::uint64_t aSeed)
{
  for (const auto scenario : experiment::kScenarios) {
    if (!aScenario.empty() && aScenario != experiment::ToText(scenario)) {
      continue;
    }
    for (const auto* name : { "fifo", "least_outstanding", "tiered" }) {
      if (!aScheduler.empty() && aScheduler != name) {
        continue;
      }
      const auto scheduler = policy::MakeScheduler(name);
      std::cout << aLoad.mName << ' ' << experiment::ToText(scenario) << ' '
                << name << " seed " << aSeed << '\n';
      experiment::Print(
        std::cout,
        experiment::RunTrial({ aLoad, scenario, aSeed }, *scheduler));
    }
  }
}

void
PrintEventCosts()
{
  for (const std::size_t queued : { 0, 100, 1000, 10000, 100000 }) {
    const auto cost = experiment::MeasureEventCost(queued);
    std::cout << "queued " << cost.mQueued << " submit_us "
              << cost.mSubmitMicroseconds << " finish_us "
              << cost.mFinishMicroseconds << " tick_us "
              << cost.mTickMicroseconds << '\n';
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("Compares schedulers on fake engines under virtual time.");
  std::string scenario;
  std::string user;
  std::uint64_t seed = 1;
  app.add_option("--scenario", scenario, "Only this one")
    ->check(CLI::IsMember({ "calm", "burst", "crash", "slow_engine" }));
  app.add_option("--user", user, "Only this one")
    ->check(CLI::IsMember({ "kalnozols", "lanka_seaboard" }));
  std::string scheduler;
  app.add_option("--scheduler", scheduler, "Only this one")
    ->check(CLI::IsMember({ "fifo", "least_outstanding", "tiered" }));
  app.add_option("--seed", seed, "Seed of arrivals and lengths");
  bool costs = false;
  app.add_flag(
    "--event-costs", costs, "Only the processor time of scheduling events");
  app.set_version_flag("--version", SAPPHIRESPAR_VERSION);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    constexpr int kUsage = 2;
    return app.exit(error) == 0 ? 0 : kUsage;
  }
  if (costs) {
    PrintEventCosts();
    return 0;
  }
  for (const auto& load :
       { experiment::KalnozolsLoad(), experiment::LankaSeaboardLoad() }) {
    if (user.empty() || user == load.mName) {
      RunUser(load, scenario, scheduler, seed);
    }
  }
  return 0;
}
