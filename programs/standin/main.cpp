// sapphirespar-standin: runs a stand-in for the platform, an engine or a
// service, for tests and trials.
#include "sapphirespar/tools/standin_engine.hpp"
#include "sapphirespar/tools/standin_platform.hpp"
#include "sapphirespar/tools/standin_service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

using namespace sapphirespar::tools;

// Serves until SIGINT or SIGTERM arrives.
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
    "platform", "Serve the object API and the list of VMs");
  command->add_option("--address", settings->mAddress, "Address to bind");
  command->add_option("--port", settings->mPort, "Port; 0 selects a free one");
  command->add_option("--reads-per-second",
                      settings->mReadsPerSecond,
                      "Reads above this rate are answered with 429");
  command->add_option("--writes-per-second",
                      settings->mWritesPerSecond,
                      "Writes above this rate are answered with 429");
  command->callback([settings] { Serve<standin_platform>(*settings); });
}

void
AddEngine(CLI::App& aProgram)
{
  auto settings = std::make_shared<engine_settings>();
  auto firstTokenMs = std::make_shared<double>(20);
  auto intervalMs = std::make_shared<double>(4);
  auto* command = aProgram.add_subcommand("engine", "Serve as a model engine");
  command->add_option("--address", settings->mAddress, "Address to bind");
  command->add_option("--port", settings->mPort, "Port; 0 selects a free one");
  command->add_option("--slots", settings->mSlots, "Requests processed at once")
    ->check(CLI::PositiveNumber);
  command->add_option("--seed", settings->mSeed, "Determines answer lengths");
  command->add_option(
    "--model", settings->mModels, "Model loaded at the start; repeatable");
  command
    ->add_option(
      "--first-token-ms", *firstTokenMs, "Delay before token generation begins")
    ->check(CLI::NonNegativeNumber);
  command->add_option("--interval-ms", *intervalMs, "Time per token")
    ->check(CLI::NonNegativeNumber);
  command->add_option("--batch-slowdown",
                      settings->mBatchSlowdown,
                      "Share by which each further request in the batch "
                      "lengthens the interval");
  command->add_flag("--checks-fencing",
                    settings->mChecksFencing,
                    "Refuse orders with a fencing number lower than the "
                    "highest one received");
  command->callback([=] {
    constexpr double kMicrosecondsPerMillisecond = 1000;
    settings->mFirstToken = std::chrono::microseconds(
      static_cast<long>(*firstTokenMs * kMicrosecondsPerMillisecond));
    settings->mTokenInterval = std::chrono::microseconds(
      static_cast<long>(*intervalMs * kMicrosecondsPerMillisecond));
    Serve<standin_engine>(*settings);
  });
}

void
AddService(CLI::App& aProgram)
{
  auto settings = std::make_shared<service_settings>();
  auto callMs = std::make_shared<double>(2);
  auto* command =
    aProgram.add_subcommand("service", "Serve as a service such as a ledger");
  command->add_option("--address", settings->mAddress, "Address to bind");
  command->add_option("--port", settings->mPort, "Port; 0 selects a free one");
  command->add_option(
    "--name", settings->mName, "Service name in the responses");
  command->add_option("--work-ms", *callMs, "Duration of a call")
    ->check(CLI::NonNegativeNumber);
  command->callback([=] {
    constexpr double kMicrosecondsPerMillisecond = 1000;
    settings->mCallDuration = std::chrono::microseconds(
      static_cast<long>(*callMs * kMicrosecondsPerMillisecond));
    Serve<standin_service>(*settings);
  });
}

} // namespace

int
main(int aCount, char** aValues)
{
  CLI::App program("Stand-ins for tests and trials; faults are set over HTTP");
  program.set_version_flag("--version", SAPPHIRESPAR_VERSION);
  program.require_subcommand(1);
  AddPlatform(program);
  AddEngine(program);
  AddService(program);
  try {
    program.parse(aCount, aValues);
  } catch (const CLI::ParseError& problem) {
    constexpr int kUsageError = 2;
    return program.exit(problem) == 0 ? 0 : kUsageError;
  } catch (const boost::system::system_error& problem) {
    std::cerr << "error: " << problem.what() << '\n';
    return 1;
  }
  return 0;
}
