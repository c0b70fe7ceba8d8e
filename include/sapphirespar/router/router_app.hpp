// A complete router process: the control thread, the traffic threads and the
// server for callers.
#pragma once

#include "sapphirespar/config/settings.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace sapphirespar::router {

struct router_options
{
  // A scheduler name that policy::MakeScheduler accepts.
  std::string mScheduler = "tiered";
  // How long a leaving router still accepts new connections, for callers that
  // have cached its address.
  std::chrono::milliseconds mDrainGrace{ 5000 };
};

class router_app
{
public:
  // Binds the ports and starts the threads. Throws boost::system::system_error
  // if a port can't be bound, and std::invalid_argument for an unknown
  // scheduler or an unusable TLS file.
  explicit router_app(router_settings aSettings, router_options aOptions = {});

  // Stops immediately and drops requests in progress. Call Drain and Wait first
  // for a graceful shutdown.
  ~router_app();
  router_app(const router_app&) = delete;
  router_app& operator=(const router_app&) = delete;

  std::uint16_t Port() const;
  std::uint16_t PeerPort() const;

  // Whether this router has a bundle in force.
  bool Ready() const;

  // Starts a graceful shutdown: announces it to peers and callers, stops
  // accepting connections after the grace period, and lets requests in progress
  // finish. May be called on any thread.
  void Drain();

  // Blocks until the drain has finished. Must be called at most once, after
  // Drain.
  void Wait();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace sapphirespar::router
