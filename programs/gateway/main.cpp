// sapphirespar-gateway: forwards requests on the platform's entry VMs.
#include "platform/protocol.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/config/gateway_settings.hpp"
#include "sapphirespar/gateway/gateway_app.hpp"
#include "sapphirespar/wire/asio_timer_service.hpp"

#include <CLI/CLI.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <functional>
#include <iostream>
#include <optional>
#include <string>

namespace {

using namespace sapphirespar;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// How often the settings file is checked for changes, which may come without a
// SIGHUP.
constexpr std::chrono::seconds kSettingsCheckInterval{ 1 };

// Loads the settings; on failure calls aReportProblem with the cause and
// returns nothing.
std::optional<gateway_settings>
LoadOrReport(const std::string& aPath,
             const std::function<void(const std::string&)>& aReportProblem)
{
  return leaf::try_handle_all(
    [&]() -> result<std::optional<gateway_settings>> {
      BOOST_LEAF_AUTO(settings, LoadGatewaySettings(aPath));
      return std::optional(settings);
    },
    [&](const config_failure& aFailure) -> std::optional<gateway_settings> {
      aReportProblem(Describe(aFailure));
      return std::nullopt;
    },
    [&]() -> std::optional<gateway_settings> {
      aReportProblem("the settings could not be read");
      return std::nullopt;
    });
}

// Applies changes of the settings file to the running gateway.
class settings_watcher
{
public:
  settings_watcher(std::string aPath, gateway::gateway_app& aApp, vm_id aVm)
    : mPath(std::move(aPath))
    , mApp(aApp)
    , mVm(std::move(aVm))
    , mLastWriteTime(LastWriteTime())
  {
  }

  // Reloads the settings if the file has changed since the last load.
  void ReloadIfChanged()
  {
    if (LastWriteTime() != mLastWriteTime) {
      Reload("file_changed");
    }
  }

  void Reload(std::string_view aCause)
  {
    mLastWriteTime = LastWriteTime();
    const auto settings = LoadOrReport(mPath, [&](const std::string& aProblem) {
      LogEvent(log_level::Error,
               "settings_refused",
               { { "cause", aCause }, { "problem", aProblem } });
    });
    if (!settings) {
      return;
    }
    StartLog(settings->mLogLevel, mVm.mText, log_target::StandardOutput);
    mApp.Reload(*settings);
    LogEvent(log_level::Info, "settings_reloaded", { { "cause", aCause } });
  }

private:
  std::filesystem::file_time_type LastWriteTime() const
  {
    std::error_code error;
    return std::filesystem::last_write_time(mPath, error);
  }

  std::string mPath;
  gateway::gateway_app& mApp;
  vm_id mVm;
  std::filesystem::file_time_type mLastWriteTime;
};

// Runs the gateway until SIGTERM or SIGINT, then shuts it down gracefully.
void
Run(const gateway_settings& aSettings, const std::string& aPath)
{
  StartLog(
    aSettings.mLogLevel, aSettings.mVm.mText, log_target::StandardOutput);
  LogEvent(log_level::Info,
           "starting",
           { { "version", SAPPHIRESPAR_VERSION },
             { "data_centre", aSettings.mDataCentre.mText },
             { "callers", aSettings.mCallers.mAddress },
             { "port", aSettings.mCallers.mPort },
             { "key_freshness_ms", aSettings.mKeyFreshness.count() },
             { "drain_ms", aSettings.mDrainTime.count() } });
  boost::asio::io_context context{ 1 };
  gateway::gateway_app app(context, aSettings, platform::MakeProtocol());
  settings_watcher watcher(aPath, app, aSettings.mVm);
  boost::asio::signal_set shutdownSignals(context, SIGTERM, SIGINT);
  shutdownSignals.async_wait([&](const auto& aError, int) {
    if (!aError) {
      app.Leave();
    }
  });
  boost::asio::signal_set reloadSignals(context, SIGHUP);
  std::function<void()> awaitReload = [&] {
    reloadSignals.async_wait([&](const auto& aError, int) {
      if (!aError) {
        watcher.Reload("signal");
        awaitReload();
      }
    });
  };
  awaitReload();
  wire::asio_timer_service timers(context.get_executor());
  const auto settingsCheck =
    timers.Every(kSettingsCheckInterval, [&] { watcher.ReloadIfChanged(); });
  context.run();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App options{ "Forwards requests to upstreams according to the routing "
                    "table in the platform's store." };
  std::string path;
  options.set_version_flag("--version", SAPPHIRESPAR_VERSION);
  options.add_option("--settings", path, "TOML file with this VM's settings")
    ->required();
  bool check = false;
  options.add_flag("--check", check, "Check the settings and exit");
  try {
    options.parse(aCount, aArguments);
  } catch (const CLI::ParseError& problem) {
    const int code = options.exit(problem);
    return code == 0 ? EXIT_SUCCESS : kExitUsage;
  }
  const auto settings = LoadOrReport(
    path, [](const std::string& aProblem) { std::cerr << aProblem << '\n'; });
  if (!settings) {
    return kExitUsage;
  }
  if (check) {
    return EXIT_SUCCESS;
  }
  try {
    Run(*settings, path);
  } catch (const std::exception& problem) {
    std::cerr << "sapphirespar-gateway: " << problem.what() << '\n';
    return kExitFailed;
  }
  return EXIT_SUCCESS;
}
