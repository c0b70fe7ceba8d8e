// sapphirespar-router: the router process; each entry VM runs one.
#include "sapphirespar/base/log.hpp"
#include "sapphirespar/config/settings.hpp"
#include "sapphirespar/router/router_app.hpp"

#include <CLI/CLI.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <string>

namespace {

using namespace sapphirespar;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// Loads the settings, or prints the error and returns nothing.
std::optional<router_settings>
LoadOrPrint(const std::string& aPath)
{
  return leaf::try_handle_all(
    [&]() -> result<std::optional<router_settings>> {
      BOOST_LEAF_AUTO(settings, LoadSettings(aPath));
      return std::optional(settings);
    },
    [](const config_failure& aFailure) -> std::optional<router_settings> {
      std::cerr << aFailure << '\n';
      return std::nullopt;
    },
    []() -> std::optional<router_settings> {
      std::cerr << "the settings could not be read\n";
      return std::nullopt;
    });
}

// Runs the router until SIGTERM or SIGINT, then shuts it down gracefully.
void
Run(router_settings aSettings, router::router_options aOptions)
{
  const auto vm = aSettings.mVm.mText;
  StartLog(aSettings.mLogLevel, vm);
  router::router_app app(std::move(aSettings), std::move(aOptions));
  std::cout << "event=ready port=" << app.Port()
            << " peer_port=" << app.PeerPort() << std::endl;
  LogEvent(log_level::Info,
           "ready",
           { { "port", app.Port() }, { "peer_port", app.PeerPort() } });
  boost::asio::io_context context;
  boost::asio::signal_set shutdownSignals(context, SIGTERM, SIGINT);
  shutdownSignals.async_wait([&](const auto&, int) { app.Drain(); });
  context.run();
  app.Wait();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App options{ "Routes language-model traffic with service levels and "
                    "priorities." };
  std::string path;
  router::router_options routerOptions;
  unsigned graceMs = static_cast<unsigned>(routerOptions.mDrainGrace.count());
  options.set_version_flag("--version", SAPPHIRESPAR_VERSION);
  options.add_option("--settings", path, "TOML file with this VM's settings")
    ->required();
  options
    .add_option("--scheduler", routerOptions.mScheduler, "Scheduling policy")
    ->check(CLI::IsMember({ "tiered", "fifo", "least_outstanding" }));
  options.add_option("--drain-grace-ms",
                     graceMs,
                     "How long new connections are accepted during shutdown");
  try {
    options.parse(aCount, aArguments);
  } catch (const CLI::ParseError& problem) {
    const int code = options.exit(problem);
    return code == 0 ? EXIT_SUCCESS : kExitUsage;
  }
  routerOptions.mDrainGrace = std::chrono::milliseconds(graceMs);
  const auto settings = LoadOrPrint(path);
  if (!settings) {
    return kExitUsage;
  }
  try {
    Run(*settings, routerOptions);
  } catch (const std::exception& problem) {
    std::cerr << "sapphirespar-router: " << problem.what() << '\n';
    return kExitFailed;
  }
  return EXIT_SUCCESS;
}
