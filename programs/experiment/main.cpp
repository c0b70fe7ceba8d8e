// sapphirespar-experiment: compares schedulers on fake engines under virtual
// time and prints attainment, goodput and wasted work.
#include "event_cost.hpp"
#include "sapphirespar/experiment/prompt_trial.hpp"
#include "sapphirespar/experiment/trial.hpp"
#include "splitter_cost.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <iostream>

namespace {

using namespace sapphirespar;

// Trials to run. An empty name selects all users, scenarios or schedulers.
struct selection
{
  std::string mUser;
  std::string mScenario;
  std::string mScheduler;
  std::uint64_t mSeed = 1;
  bool mNoPause = false;
  // Number of engines of each user; zero means the user's whole fleet.
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

// Prints each cost as a ratio to that of one megabyte in many events.
void
PrintSplitterCosts()
{
  constexpr std::size_t kEventBytes = 128;
  const auto unit = experiment::MeasureSplitterCost(1, kEventBytes);
  for (const std::size_t eventBytes : { std::size_t{ 0 }, kEventBytes }) {
    for (const std::size_t megabytes : { 1, 4, 16 }) {
      const auto cost = experiment::MeasureSplitterCost(megabytes, eventBytes);
      std::cout << cost.mStream << ' ' << cost.mMegabytes << " MB ratio "
                << cost.mMicroseconds / unit.mMicroseconds
                << " rescanning_ratio "
                << cost.mRescanningMicroseconds / unit.mMicroseconds << '\n';
    }
  }
}

void
RunPromptTrial(std::uint64_t aSeed)
{
  for (const bool bursts : { false, true }) {
    for (const auto& load : { experiment::DigestsAndQuestions(bursts),
                              experiment::SummariesAndQuestions(bursts) }) {
      std::cout << load.mName << (bursts ? " with bursts" : " calm") << " seed "
                << aSeed << '\n';
      experiment::Print(std::cout, experiment::RunPromptTrial(load, aSeed));
    }
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("Compares schedulers on fake engines under virtual time.");
  selection selected;
  app.add_option("--scenario", selected.mScenario, "Run only this scenario")
    ->check(CLI::IsMember({ "calm", "burst", "crash", "slow_engine" }));
  app.add_option("--user", selected.mUser, "Run only this user's load")
    ->check(CLI::IsMember({ "kalnozols", "lanka_seaboard" }));
  app.add_option("--scheduler", selected.mScheduler, "Run only this scheduler")
    ->check(CLI::IsMember({ "fifo", "least_outstanding", "tiered" }));
  app.add_option(
    "--seed", selected.mSeed, "Seed of arrivals and response lengths");
  app.add_flag("--no-pause",
               selected.mNoPause,
               "Simulate engines that can't pause requests");
  app.add_option("--engines",
                 selected.mEngines,
                 "Number of engines, with a proportional part of the load");
  bool costs = false;
  app.add_flag(
    "--event-costs", costs, "Only measure the CPU time of scheduling events");
  bool splitterCosts = false;
  app.add_flag("--splitter-costs",
               splitterCosts,
               "Only measure the CPU time of splitting event streams");
  bool prompts = false;
  app.add_flag("--prompts",
               prompts,
               "Only run the prompt trial: gateways that place prompts on many "
               "engines");
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
  if (splitterCosts) {
    PrintSplitterCosts();
    return 0;
  }
  if (prompts) {
    RunPromptTrial(selected.mSeed);
    return 0;
  }
  for (const auto& load :
       { experiment::KalnozolsLoad(), experiment::LankaSeaboardLoad() }) {
    if (selected.mUser.empty() || selected.mUser == load.mName) {
      RunUser(selected.mEngines == 0
                ? load
                : experiment::ScaleLoad(load, selected.mEngines),
              selected);
    }
  }
  return 0;
}
