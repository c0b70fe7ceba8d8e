// sapphirespar-experiment: runs the schedulers side by side on fake engines
// under virtual time and prints attainment, goodput and wasted work.
#include "event_cost.hpp"
#include "sapphirespar/experiment/prompt_trial.hpp"
#include "sapphirespar/experiment/trial.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <iostream>

namespace {

using namespace sapphirespar;

// Empty names stand for all.
struct selection
{
  std::string mUser;
  std::string mScenario;
  std::string mScheduler;
  std::uint64_t mSeed = 1;
  bool mNoPause = false;
  // Zero leaves each user its whole fleet.
  unsigned mEngines = 0;
};

void
RunUser(const experiment::user_load& aLoad, const selection& aSelected)
{
  for (const auto scenario : experiment::kScenarios) {
    if (!aSelected.mScenario.empty() &&
        aSelected.mScenario != experiment::ToText(scenario)) {
      continue;
    }
    for (const auto* name : { "fifo", "least_outstanding", "tiered" }) {
      if (!aSelected.mScheduler.empty() && aSelected.mScheduler != name) {
        continue;
      }
      const auto scheduler = policy::MakeScheduler(name);
      std::cout << aLoad.mName << ' ' << experiment::ToText(scenario) << ' '
                << name << " seed " << aSelected.mSeed << '\n';
      experiment::Print(
        std::cout,
        experiment::RunTrial(
          { aLoad, scenario, aSelected.mSeed, !aSelected.mNoPause },
          *scheduler));
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

void
PlayPrompts(std::uint64_t aSeed)
{
  for (const bool bursts : { false, true }) {
    const auto load = experiment::DigestsAndQuestions(bursts);
    std::cout << load.mName << (bursts ? " with bursts" : " calm") << " seed "
              << aSeed << '\n';
    experiment::Print(std::cout, experiment::PlayPrompts(load, aSeed));
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("Compares schedulers on fake engines under virtual time.");
  selection selected;
  app.add_option("--scenario", selected.mScenario, "Only this one")
    ->check(CLI::IsMember({ "calm", "burst", "crash", "slow_engine" }));
  app.add_option("--user", selected.mUser, "Only this one")
    ->check(CLI::IsMember({ "kalnozols", "lanka_seaboard" }));
  app.add_option("--scheduler", selected.mScheduler, "Only this one")
    ->check(CLI::IsMember({ "fifo", "least_outstanding", "tiered" }));
  app.add_option("--seed", selected.mSeed, "Seed of arrivals and lengths");
  app.add_flag(
    "--no-pause", selected.mNoPause, "Engines that can't pause a request");
  app.add_option("--engines",
                 selected.mEngines,
                 "Engines of one home, with their part of the load");
  bool costs = false;
  app.add_flag(
    "--event-costs", costs, "Only the processor time of scheduling events");
  bool prompts = false;
  app.add_flag("--prompts",
               prompts,
               "Only gateways that place prompts at many engines, by --seed");
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
  if (prompts) {
    PlayPrompts(selected.mSeed);
    return 0;
  }
  for (const auto& load :
       { experiment::KalnozolsLoad(), experiment::LankaSeaboardLoad() }) {
    if (selected.mUser.empty() || selected.mUser == load.mName) {
      RunUser(selected.mEngines == 0
                ? load
                : experiment::ScaledTo(load, selected.mEngines),
              selected);
    }
  }
  return 0;
}
