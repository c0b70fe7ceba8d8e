// A whole gateway in one object, on one thread: a VM has one core, and a
// request's events would only wait for a second one.
#pragma once

#include "sapphirespar/config/gateway_settings.hpp"
#include "sapphirespar/gateway/protocol.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace sapphirespar::gateway {

class gateway_app
{
public:
  // Throws boost::system::system_error if an address can't be bound, which a
  // program reports at its start. Does its work on aContext's thread.
  gateway_app(boost::asio::io_context& aContext,
              gateway_settings aSettings,
              protocol aProtocol);
  ~gateway_app();
  gateway_app(const gateway_app&) = delete;
  gateway_app& operator=(const gateway_app&) = delete;

  // Takes over settings that have changed, as far as that is possible while
  // the process runs.
  void Reload(const gateway_settings& aSettings);

  // Serves on while callers still know this gateway, then stops the context.
  void Leave();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace sapphirespar::gateway
