// A stand-in for a model engine. It processes a fixed number of requests at
// once, queues the rest by priority, and answers with text that can be checked.
//
//   POST /v1/chat/completions   POST /v1/completions
//   POST /v1/requests/{id}/pause|resume|cancel|continue?from=TOKEN
//   GET /v1/load   GET /v1/cache/events?from=N   POST /v1/orders
//   GET|PUT /faults   GET /audit
#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sapphirespar::wire {
class http_server;
} // namespace sapphirespar::wire

namespace sapphirespar::tools {

struct engine_settings
{
  std::string mAddress = "127.0.0.1";
  // Zero selects any free port.
  std::uint16_t mPort = 0;
  // Requests that are processed at once.
  unsigned mSlots = 8;
  // Determines the lengths of answers. Engines that stand in for replicas of
  // one model have the same seed.
  std::uint64_t mSeed = 1;
  // Models loaded at the start. If none is loaded, requests for every model are
  // accepted.
  std::vector<std::string> mModels;
  // The delay before token generation begins, and the time per token, including
  // the first one, while no other request runs. With both zero, the engine
  // answers immediately and starts no timers for them.
  std::chrono::microseconds mFirstToken{ 20000 };
  std::chrono::microseconds mTokenInterval{ 4000 };
  // The share of mTokenInterval by which the interval grows for each further
  // request in the batch.
  double mBatchSlowdown = 0.05;
  // Whether an order is refused if its fencing number is lower than the highest
  // one received so far.
  bool mChecksFencing = false;
};

class standin_engine
{
public:
  // Throws boost::system::system_error if the address can't be bound. Serves
  // while aContext runs.
  standin_engine(boost::asio::io_context& aContext, engine_settings aSettings);
  ~standin_engine();
  standin_engine(const standin_engine&) = delete;
  standin_engine& operator=(const standin_engine&) = delete;

  std::uint16_t Port() const;

private:
  std::unique_ptr<wire::http_server> mServer;
};

} // namespace sapphirespar::tools
