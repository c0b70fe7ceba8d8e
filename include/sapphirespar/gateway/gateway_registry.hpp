// Registry of gateways in the platform's store. Each gateway writes its address
// there at its start, so that a gateway without any peers can find the others.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/peer_table.hpp"
#include "sapphirespar/model/platform.hpp"

#include <functional>
#include <memory>

namespace sapphirespar::gateway {

// Kind of the store objects. An object's name is the gateway's VM and its value
// the gateway's address.
inline constexpr std::string_view kGatewayKind = "sapphirespar-gateways";

struct registry_hooks
{
  // Adds the list of gateways that a reader has to the peer table, and tells
  // whether one has sent it.
  std::function<void(std::function<void(bool aReceived)>)> mFetchContacts;
};

class gateway_registry
{
public:
  // All references must outlive the registry. aDraw, a random number between 0
  // and 1, spreads the calls of gateways that start together.
  gateway_registry(platform_api& aPlatform,
                   timer_service& aTimers,
                   peer_table& aPeers,
                   peer_contact aSelf,
                   registry_hooks aHooks,
                   double aDraw);
  ~gateway_registry();
  gateway_registry(const gateway_registry&) = delete;
  gateway_registry& operator=(const gateway_registry&) = delete;

  // Schedules the write of this gateway's entry and the first read of all
  // entries. Once the gateways that started together have found each other,
  // only the first reader of the store and a gateway without peers read them;
  // the others copy the list of a reader.
  void Start();

  // Writes the entry again, at a random time within a second, after the store
  // may have lost it.
  void WriteAgain();

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::gateway
