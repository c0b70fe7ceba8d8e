// A whole router in one object: the control thread, the traffic threads and
// the caller-facing server.
#pragma once

#include "sapphirespar/config/settings.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace sapphirespar::router {

struct router_options
{
  // A name that policy::MakeScheduler knows.
  std::string mScheduler = "tiered";
  // How long a leaving router still takes new connections, for callers that
  // have kept its address.
  std::chrono::milliseconds mDrainGrace{ 5000 };
};

class router_app
{
public:
  // Binds its ports and starts its threads. Throws
  // boost::system::system_error if a port can't be bound, and
  // std::invalid_argument for a scheduler that does not exist.
  explicit router_app(router_settings aSettings, router_options aOptions = {});

  // Stops at once; use Drain and Wait to leave in order.
  ~router_app();
  router_app(const router_app&) = delete;
  router_app& operator=(const router_app&) = delete;

  std::uint16_t Port() const;
  std::uint16_t PeerPort() const;

  // Whether a bundle is in force here.
  bool Ready() const;

  // Begins to leave: tells peers and callers, takes no new connections after
  // the grace period, finishes what is in progress. Safe on any thread.
  void Drain();

  // Waits until a drain has ended.
  void Wait();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace sapphirespar::router
