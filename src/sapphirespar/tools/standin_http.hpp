// Code shared by the stand-ins: JSON bodies, timers, and the faults that every
// upstream stand-in can simulate.
#pragma once

#include "sapphirespar/wire/http_message.hpp"
#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar::tools {

namespace asio = boost::asio;
namespace json = boost::json;

// Returns the JSON object in aBody, or nothing if aBody contains anything else.
std::optional<json::object> ParseObject(std::string_view aBody);

// Each of these returns a member's value, or aDefault if the member is missing
// or has another type.
double NumberOr(const json::object& aObject,
                std::string_view aKey,
                double aDefault);
bool FlagOr(const json::object& aObject, std::string_view aKey, bool aDefault);
std::string TextOr(const json::object& aObject,
                   std::string_view aKey,
                   std::string_view aDefault);

wire::http_response JsonResponse(unsigned aStatus, const json::value& aBody);
wire::http_response ErrorResponse(unsigned aStatus, std::string_view aMessage);

// Starts a server that runs on aContext alone. Port 0 selects any free port.
std::unique_ptr<wire::http_server> StartServer(asio::io_context& aContext,
                                               std::string aAddress,
                                               std::uint16_t aPort,
                                               wire::http_handler aHandler);

// Returns the path's segments between slashes, without empty ones.
std::vector<std::string_view> SplitPath(std::string_view aPath);

// Returns the value of parameter aKey in a query string, or aDefault if the
// parameter is missing or does not begin with a number.
std::uint64_t QueryNumber(std::string_view aQuery,
                          std::string_view aKey,
                          std::uint64_t aDefault);

// Waits for aDuration; returns immediately if it is not positive.
asio::awaitable<void> Sleep(std::chrono::microseconds aDuration);

// Waits until aTimer is cancelled, but at most aTimeout.
asio::awaitable<void> WaitForWake(asio::steady_timer& aTimer,
                                  std::chrono::microseconds aTimeout);

// The faults that engines and services simulate.
struct upstream_faults
{
  // Drops connections without a response.
  bool mCrash = false;
  // Accepts requests but does not process them.
  bool mFreeze = false;
  // Multiplies the duration of work.
  double mSlowFactor = 1.0;
  // Age of the load that GET /v1/load reports.
  std::chrono::milliseconds mLoadLag{ 0 };
  // This many of the next calls run but get no response.
  unsigned mResponsesToDrop = 0;
};

// Sets the faults that aChange contains and leaves the others as they are.
void ChangeFaults(upstream_faults& aFaults, const json::object& aChange);
json::object ToJson(const upstream_faults& aFaults);

// Returns the response to GET or PUT /faults.
wire::http_response ServeFaults(upstream_faults& aFaults,
                                const wire::http_request& aRequest);

// Waits while the freeze fault is set. Returns false if the caller disconnects
// or the crash fault is set.
asio::awaitable<bool> WaitWhileFrozen(const upstream_faults& aFaults,
                                      wire::http_reply& aReply);

} // namespace sapphirespar::tools
