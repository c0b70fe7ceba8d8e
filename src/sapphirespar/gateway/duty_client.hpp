// Sends one call to the platform's interface for duties. Internal to gateway.
#pragma once

#include "sapphirespar/duties/duty_calls.hpp"
#include "sapphirespar/wire/http_client.hpp"

#include <functional>

namespace sapphirespar::gateway {

namespace asio = boost::asio;

// A connection carries one call.
wire::http_client_settings DutyClientSettings();

// Sends the request if aMaySend allows it once there is a connection, and calls
// aDone with what aRead makes of the answer's status.
asio::awaitable<void> SendDutyCall(
  wire::http_client& aClient,
  wire::endpoint aEndpoint,
  wire::http_request aRequest,
  wire::send_check aMaySend,
  std::function<duties::duty_reply(unsigned aStatus)> aRead,
  duties::duty_callback aDone);

} // namespace sapphirespar::gateway
