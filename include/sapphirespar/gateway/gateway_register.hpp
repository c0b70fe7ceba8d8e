// Gateways in the platform's store: each writes where it is when it starts, so
// that one that has lost all it knew finds the others.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/peer_board.hpp"
#include "sapphirespar/model/platform.hpp"

#include <memory>

namespace sapphirespar::gateway {

// Kind of the objects; the name is the gateway's, the value its address.
inline constexpr std::string_view kGatewayKind = "sapphirespar-gateways";

class gateway_register
{
public:
  // All that is passed by reference outlives the register.
  gateway_register(platform_api& aPlatform,
                   timer_service& aTimers,
                   peer_board& aPeers,
                   peer_contact aSelf);
  ~gateway_register();
  gateway_register(const gateway_register&) = delete;
  gateway_register& operator=(const gateway_register&) = delete;

  // Writes this gateway's entry. Reads the others' soon, or, where another
  // gateway has told who they are, after a while, as that one may have missed a
  // gateway that started at the same time.
  void Start();

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::gateway
