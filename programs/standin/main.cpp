// sapphirespar-standin: the platform, an engine or a service for trials.
#include "sapphirespar/tools/standin_engine.hpp"
#include "sapphirespar/tools/standin_platform.hpp"
#include "sapphirespar/tools/standin_service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

using namespace sapphirespar::tools;

// Serves until a signal asks to stop.
template<class Standin, class Settings>
void
Serve(const Settings& aSettings)
{
  boost::asio::io_context context;
  const Standin standin(context, aSettings);
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait(
    [&](const boost::system::error_code&, int) { context.stop(); });
  std::cout << "event=ready port=" << standin.Port() << std::endl;
  context.run();
}

void
AddPlatform(CLI::App& aProgram)
{
  auto settings = std::make_shared<platform_settings>();
  auto* command = aProgram.add_subcommand(
    "platform", "Serve the object API and the list of vms");
  command->add_option("--address", settings->mAddress, "Address to bind");
  command->add_option("--port", settings->mPort, "Port; 0 takes any");
  command->add_option(
    "--reads-per-second", settings->mReadsPerSecond, "Read limit");
  command->add_option(
    "--writes-per-second", settings->mWritesPerSecond, "Write limit");
  command->callback([settings] { Serve<standin_platform>(*settings); });
}

void
AddEngine(CLI::App& aProgram)
{
  auto settings = std::make_shared<engine_settings>();
  auto firstToken = std::make_shared<double>(20);
  auto interval = std::make_shared<double>(4);
  auto* command = aProgram.add_subcommand("engine", "Serve as a model engine");
  command->add_option("--address", settings->mAddress, "Address to bind");
  command->add_option("--port", settings->mPort, "Port; 0 takes any");
  command->add_option("--slots", settings->mSlots, "Requests worked at once")
    ->check(CLI::PositiveNumber);
  command->add_option("--seed", settings->mSeed, "Decides answer lengths");
  command->add_option("--model", settings->mModels, "Model loaded; repeatable");
  command->add_option("--first-token-ms", *firstToken, "Time to first token")
    ->check(CLI::NonNegativeNumber);
  command->add_option("--interval-ms", *interval, "Time between tokens")
    ->check(CLI::NonNegativeNumber);
  command->add_option("--batch-slowdown",
                      settings->mBatchSlowdown,
                      "Growth of the interval per further request");
  command->add_flag("--checks-fencing",
                    settings->mChecksFencing,
                    "Refuse orders with an old fencing number");
  command->callback([=] {
    constexpr double kMicroseconds = 1000;
    settings->mFirstToken =
      std::chrono::microseconds(static_cast<long>(*firstToken * kMicroseconds));
    settings->mTokenInterval =
      std::chrono::microseconds(static_cast<long>(*interval * kMicroseconds));
    Serve<standin_engine>(*settings);
  });
}

void
AddService(CLI::App& aProgram)
{
  auto settings = std::make_shared<service_settings>();
  auto work = std::make_shared<double>(2);
  auto* command = aProgram.add_subcommand("service", "Serve as a service");
  command->add_option("--address", settings->mAddress, "Address to bind");
  command->add_option("--port", settings->mPort, "Port; 0 takes any");
  command->add_option("--name", settings->mName, "Name in its answers");
  command->add_option("--work-ms", *work, "Time that a call takes")
    ->check(CLI::NonNegativeNumber);
  command->callback([=] {
    constexpr double kMicroseconds = 1000;
    settings->mWork =
      std::chrono::microseconds(static_cast<long>(*work * kMicroseconds));
    Serve<standin_service>(*settings);
  });
}

} // namespace

int
main(int aCount, char** aValues)
{
  CLI::App program("Stand-ins for trials; faults are switched over HTTP");
  program.set_version_flag("--version", SAPPHIRESPAR_VERSION);
  program.require_subcommand(1);
  AddPlatform(program);
  AddEngine(program);
  AddService(program);
  try {
    program.parse(aCount, aValues);
  } catch (const CLI::ParseError& problem) {
    constexpr int kUsage = 2;
    return program.exit(problem) == 0 ? 0 : kUsage;
  } catch (const boost::system::system_error& problem) {
    std::cerr << "error: " << problem.what() << '\n';
    return 1;
  }
  return 0;
}
