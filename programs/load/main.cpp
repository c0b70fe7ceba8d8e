// sapphirespar-load: runs a workload and reports its results, compares two
// reports, and plots a report.
#include "sapphirespar/tools/report.hpp"

#include <CLI/CLI.hpp>

#include <charconv>
#include <fstream>
#include <iostream>

namespace {

using namespace sapphirespar;
using namespace sapphirespar::tools;

constexpr int kFailed = 1;
constexpr int kUsageError = 2;

struct run_options
{
  std::string mFile;
  std::vector<std::string> mEntries;
  std::vector<std::string> mServices;
  std::vector<std::string> mEngines;
  std::vector<std::string> mStandins;
  std::string mJson;
  unsigned mThreads = 1;
  // The run fails if less than this share of a class is answered in time.
  double mMinAttainmentPercent = 0;
  bool mQuiet = false;
};

// Parses "address:port". Throws CLI::ValidationError.
wire::endpoint
ParseEndpoint(const std::string& aText)
{
  wire::endpoint endpoint;
  const auto colon = aText.rfind(':');
  if (colon != std::string::npos) {
    endpoint.mAddress = aText.substr(0, colon);
    std::from_chars(
      aText.data() + colon + 1, aText.data() + aText.size(), endpoint.mPort);
  }
  if (endpoint.mAddress.empty() || endpoint.mPort == 0) {
    throw CLI::ValidationError(aText, "expected address:port");
  }
  return endpoint;
}

std::vector<wire::endpoint>
ParseEndpoints(const std::vector<std::string>& aTexts)
{
  std::vector<wire::endpoint> endpoints;
  std::ranges::transform(aTexts, std::back_inserter(endpoints), ParseEndpoint);
  return endpoints;
}

// Parses "name=address:port". Throws CLI::ValidationError.
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

// Writes a file. On failure, prints an error and returns false.
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

// Returns whether every class attains aPercent, and prints those that do not.
bool
AllClassesAttain(const load_report& aReport, double aPercent)
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
    aOptions.mQuiet ? progress_callback() : progress_callback(PrintProgress);
  const auto report = MakeReport(work, RunLoad(work, targets, progress));
  std::cout << ToTable(report);
  if (!aOptions.mJson.empty() &&
      !WriteFile(aOptions.mJson, ToJsonText(report))) {
    return kFailed;
  }
  return report.KeptAllPromises() &&
             AllClassesAttain(report, aOptions.mMinAttainmentPercent)
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
Plot(const std::string& aReport, const std::string& aSvgPath)
{
  BOOST_LEAF_AUTO(report, ReadReport(aReport));
  return WriteFile(aSvgPath, ToSvg(report)) ? 0 : kFailed;
}

// Runs a command and returns its exit code. Prints failures.
int
RunCommand(const std::function<result<int>()>& aCommand)
{
  return leaf::try_handle_all(
    aCommand,
    [](const config_failure& aFailure) {
      std::cerr << "error: " << aFailure << '\n';
      return kUsageError;
    },
    [] {
      std::cerr << "error: unexpected failure\n";
      return kFailed;
    });
}

void
AddRun(CLI::App& aProgram, int& aCode)
{
  auto options = std::make_shared<run_options>();
  auto* command =
    aProgram.add_subcommand("run", "Run a workload and print its report");
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
                      "Stand-in whose faults the workload sets, "
                      "name=address:port; repeatable");
  command->add_option(
    "--json", options->mJson, "Write the report to this file as JSON");
  command->add_option("--threads", options->mThreads, "Sending threads")
    ->check(CLI::Range(1, 64));
  command
    ->add_option("--at-least",
                 options->mMinAttainmentPercent,
                 "Fail unless this percentage of the requests of every class "
                 "is answered in time")
    ->check(CLI::Range(0, 100));
  command->add_flag("--quiet", options->mQuiet, "Print no progress");
  command->callback(
    [options, &aCode] { aCode = RunCommand([&] { return Run(*options); }); });
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
    aCode = RunCommand([&] { return CompareFiles(*first, *second); });
  });
  auto* plot = aProgram.add_subcommand("plot", "Plot attainment over time");
  plot->add_option("report", *first, "Report in JSON")->required();
  plot->add_option("picture", *second, "SVG file to write")->required();
  plot->callback(
    [=, &aCode] { aCode = RunCommand([&] { return Plot(*first, *second); }); });
}

} // namespace

int
main(int aCount, char** aValues)
{
  CLI::App program("Runs workloads and compares their reports; exit code 1 if "
                   "the system broke a promise or a class attained less than "
                   "required");
  program.set_version_flag("--version", SAPPHIRESPAR_VERSION);
  program.require_subcommand(1);
  int code = 0;
  AddRun(program, code);
  AddCompareAndPlot(program, code);
  try {
    program.parse(aCount, aValues);
  } catch (const CLI::ParseError& problem) {
    return program.exit(problem) == 0 ? 0 : kUsageError;
  }
  return code;
}
