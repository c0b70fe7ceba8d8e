// Sends a small workload directly to a stand-in engine and prints the report.
#include "sapphirespar/tools/report.hpp"
#include "sapphirespar/tools/standin_engine.hpp"

#include <boost/asio/io_context.hpp>

#include <iostream>
#include <thread>

int
main()
{
  using namespace sapphirespar;
  const auto work = tools::ParseWorkload(R"(
    name = "direct"
    duration_ms = 300
    [[classes]]
    class = "price"
    model = "m"
    bearer = "none"
    rate_per_second = 100
    maximum_tokens = 20
  )",
                                         "direct_load");
  if (!work) {
    return 1;
  }
  boost::asio::io_context context;
  tools::engine_settings settings;
  settings.mFirstToken = std::chrono::microseconds(0);
  settings.mTokenInterval = std::chrono::microseconds(0);
  const tools::standin_engine engine(context, settings);
  std::jthread thread([&] { context.run(); });
  tools::load_targets targets;
  targets.mEntries = { { "127.0.0.1", engine.Port() } };
  targets.mEngines = targets.mEntries;
  const auto report = tools::MakeReport(*work, tools::RunLoad(*work, targets));
  context.stop();
  std::cout << tools::ToTable(report);
  return report.KeptAllPromises() ? 0 : 1;
}
