// An in-memory network between routers, for tests under virtual time.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/peer_message.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace sapphirespar {

// Carries messages between attached processes. The order between two
// processes is kept.
class fake_network
{
public:
  explicit fake_network(timer_service& aTimers);
  ~fake_network();

  // Attaches a process and replaces an earlier process of the same VM. The
  // process is detached when the returned object is destroyed. aReceive is
  // called through aTimers, so that a paused process receives late.
  std::unique_ptr<peer_network> Attach(const process_id& aSelf,
                                       timer_service& aTimers,
                                       peer_receiver aReceive);

  // Drops all messages from one VM to another, or delivers them again.
  void Block(const vm_id& aFrom, const vm_id& aTo);
  void Unblock(const vm_id& aFrom, const vm_id& aTo);

  // Returns the delay of a message, or nothing to drop it.
  using delivery_rule =
    std::function<std::optional<steady_duration>(const peer_message&)>;
  void SetDeliveryRule(delivery_rule aRule);

private:
  class link;
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar
