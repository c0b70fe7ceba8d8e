// A stand-in for a model engine: works on a number of requests at once, queues
// the rest by priority, and answers text that can be checked.
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
  // Zero takes any free port.
  std::uint16_t mPort = 0;
  unsigned mSlots = 8;
  // Decides the lengths of answers; the same at engines that stand in for
  // replicas of one model.
  std::uint64_t mSeed = 1;
  std::vector<std::string> mModels;
  // Zero for both of these answers at once, without timers.
  std::chrono::microseconds mFirstToken{ 20000 };
  std::chrono::microseconds mTokenInterval{ 4000 };
  // Growth of the token interval for each further request in the batch.
  double mBatchSlowdown = 0.05;
  // Whether an order with an old fencing number is refused.
  bool mChecksFencing = false;
};

class standin_engine
{
public:
  // Throws boost::system::system_error if the address can't be bound.
  standin_engine(boost::asio::io_context& aContext, engine_settings aSettings);
  ~standin_engine();
  standin_engine(const standin_engine&) = delete;
  standin_engine& operator=(const standin_engine&) = delete;

  std::uint16_t Port() const;

private:
  std::unique_ptr<wire::http_server> mServer;
};

} // namespace sapphirespar::tools
