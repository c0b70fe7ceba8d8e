// sapphirespar-load: sends a workload, reports what became of it, and compares
// and draws reports.
#include "sapphirespar/tools/report.hpp"

#include <CLI/CLI.hpp>

#include <charconv>
#include <fstream>
#include <iostream>

namespace {

using namespace sapphirespar;
using namespace sapphirespar::tools;

constexpr int kFailed = 1;
constexpr int kUsage = 2;

struct run_options
{
  std::string mFile;
  std::vector<std::string> mEntries;
  std::vector<std::string> mServices;
  std::vector<std::string> mEngines;
  std::vector<std::string> mStandins;
  std::string mJson;
  unsigned mThreads = 1;
  // Every class must attain this share, in percent.
  double mAtLeast = 0;
  bool mQuiet = false;
};

// Reads "address:port".
wire::endpoint
ParseEndpoint(const std::string& aText)
{
  wire::endpoint place;
  const auto colon = aText.rfind(':');
  if (colon != std::string::npos) {
    place.mAddress = aText.substr(0, colon);
    std::from_chars(
      aText.data() + colon + 1, aText.data() + aText.size(), place.mPort);
  }
  if (place.mAddress.empty() || place.mPort == 0) {
    throw CLI::ValidationError(aText, "expected address:port");
  }
  return place;
}

std::vector<wire::endpoint>
ParseEndpoints(const std::vector<std::string>& aTexts)
{
  std::vector<wire::endpoint> places;
  std::ranges::transform(aTexts, std::back_inserter(places), ParseEndpoint);
  return places;
}

// Reads "name=address:port".
std::vector<named_standin>
ParseStandins(const std::vector<std::string>& aTexts)
{
  std::vector<named_standin> standins;
  for (const auto& text : aTexts) {
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
      throw CLI::ValidationError(text, "expected name=address:port");
    }
    standins.push_back(
      { text.substr(0, equals), ParseEndpoint(text.substr(equals + 1)) });
  }
  return standins;
}

void
PrintProgress(const load_progress& aProgress)
{
  std::cerr << "event=progress elapsed_ms=" << aProgress.mElapsed.count()
            << " sent=" << aProgress.mSent << " ended=" << aProgress.mEnded
            << " answered=" << aProgress.mAnswered << '\n';
}

// Writes a file whole; returns false and says why if that fails.
bool
WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream file(aPath);
  file << aText;
  file.close();
  if (!file) {
    std::cerr << "error: " << aPath << ": could not be written\n";
  }
  return static_cast<bool>(file);
}

// Whether every class attains aPercent; names those that do not.
bool
Attains(const load_report& aReport, double aPercent)
{
  constexpr double kPercent = 100;
  bool all = true;
  for (const auto& item : aReport.mClasses) {
    if (item.Attainment() * kPercent < aPercent) {
      std::cout << "MISSED  " << item.mClass << ": attained less than "
                << aPercent << " %\n";
      all = false;
    }
  }
  return all;
}

result<int>
Run(const run_options& aOptions)
{
  BOOST_LEAF_AUTO(work, LoadWorkload(aOptions.mFile));
  load_targets targets;
  targets.mEntries = ParseEndpoints(aOptions.mEntries);
  targets.mServices = ParseEndpoints(aOptions.mServices);
  targets.mEngines = ParseEndpoints(aOptions.mEngines);
  targets.mStandins = ParseStandins(aOptions.mStandins);
  targets.mThreads = aOptions.mThreads;
  const auto progress =
    aOptions.mQuiet ? progress_hook() : progress_hook(PrintProgress);
  const auto report = MakeReport(work, RunLoad(work, targets, progress));
  std::cout << ToTable(report);
  if (!aOptions.mJson.empty() &&
      !WriteFile(aOptions.mJson, ToJsonText(report))) {
    return kFailed;
  }
  return report.KeptAllPromises() && Attains(report, aOptions.mAtLeast)
           ? 0
           : kFailed;
}

result<int>
CompareFiles(const std::string& aFirst, const std::string& aSecond)
{
  BOOST_LEAF_AUTO(first, ReadReport(aFirst));
  BOOST_LEAF_AUTO(second, ReadReport(aSecond));
  std::cout << Compare(first, second);
  return 0;
}

result<int>
Plot(const std::string& aReport, const std::string& aPicture)
{
  BOOST_LEAF_AUTO(report, ReadReport(aReport));
  return WriteFile(aPicture, ToSvg(report)) ? 0 : kFailed;
}

// Turns a failure into its message and exit code.
int
Finish(const std::function<result<int>()>& aCommand)
{
  return leaf::try_handle_all(
    aCommand,
    [](const config_failure& aFailure) {
      std::cerr << "error: " << aFailure << '\n';
      return kUsage;
    },
    [] {
      std::cerr << "error: failed\n";
      return kFailed;
    });
}

void
AddRun(CLI::App& aProgram, int& aCode)
{
  auto options = std::make_shared<run_options>();
  auto* command = aProgram.add_subcommand("run", "Send a workload");
  command->add_option("file", options->mFile, "Workload in TOML")->required();
  command
    ->add_option(
      "--entry", options->mEntries, "Router, address:port; repeatable")
    ->required();
  command->add_option("--service",
                      options->mServices,
                      "Service stand-in to audit, address:port; repeatable");
  command->add_option("--engine",
                      options->mEngines,
                      "Engine stand-in to audit, address:port; repeatable");
  command->add_option("--standin",
                      options->mStandins,
                      "Stand-in for faults, name=address:port; repeatable");
  command->add_option("--json", options->mJson, "Write the report here");
  command->add_option("--threads", options->mThreads, "Threads that send")
    ->check(CLI::Range(1, 64));
  command
    ->add_option("--at-least",
                 options->mAtLeast,
                 "Fail unless every class attains this many percent")
    ->check(CLI::Range(0, 100));
  command->add_flag("--quiet", options->mQuiet, "Print no progress");
  command->callback(
    [options, &aCode] { aCode = Finish([&] { return Run(*options); }); });
}

void
AddCompareAndPlot(CLI::App& aProgram, int& aCode)
{
  auto first = std::make_shared<std::string>();
  auto second = std::make_shared<std::string>();
  auto* compare =
    aProgram.add_subcommand("compare", "Show two reports side by side");
  compare->add_option("first", *first, "Report A")->required();
  compare->add_option("second", *second, "Report B")->required();
  compare->callback([=, &aCode] {
    aCode = Finish([&] { return CompareFiles(*first, *second); });
  });
  auto* plot = aProgram.add_subcommand("plot", "Draw attainment over time");
  plot->add_option("report", *first, "Report in JSON")->required();
  plot->add_option("picture", *second, "SVG to write")->required();
  plot->callback(
    [=, &aCode] { aCode = Finish([&] { return Plot(*first, *second); }); });
}

} // namespace

int
main(int aCount, char** aValues)
{
  CLI::App program("Load and experiment tool; exit code 1 if a promise of the "
                   "system was broken");
  program.set_version_flag("--version", SAPPHIRESPAR_VERSION);
  program.require_subcommand(1);
  int code = 0;
  AddRun(program, code);
  AddCompareAndPlot(program, code);
  try {
    program.parse(aCount, aValues);
  } catch (const CLI::ParseError& problem) {
    return program.exit(problem) == 0 ? 0 : kUsage;
  }
  return code;
}
