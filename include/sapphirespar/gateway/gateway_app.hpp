// A complete gateway on one thread. A VM has one core, so a second thread would
// only delay a request's events.
#pragma once

#include "sapphirespar/config/gateway_settings.hpp"
#include "sapphirespar/gateway/protocol.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace sapphirespar::gateway {

class gateway_app
{
public:
  // Starts serving. Runs on aContext's thread. Throws
  // boost::system::system_error if an address can't be bound.
  gateway_app(boost::asio::io_context& aContext,
              gateway_settings aSettings,
              protocol aProtocol);
  ~gateway_app();
  gateway_app(const gateway_app&) = delete;
  gateway_app& operator=(const gateway_app&) = delete;

  // Applies the settings that can change at run time: key freshness, drain
  // time, lifetime of entry answers, and the retry budget. Other settings need
  // a restart.
  void Reload(const gateway_settings& aSettings);

  // Starts the shutdown. Keeps serving until callers have dropped this
  // gateway's address and no request is in progress, or until the drain time is
  // over; then stops the context.
  void Leave();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace sapphirespar::gateway
