// What the stand-ins share: JSON bodies, timers, and the faults that every
// upstream can show.
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

// Returns the object in aBody, or nothing if it is not a JSON object.
std::optional<json::object> ParseObject(std::string_view aBody);

// Each returns a member's value, or aDefault if it is missing or of another
// type.
double NumberOr(const json::object& aObject,
                std::string_view aKey,
                double aDefault);
bool FlagOr(const json::object& aObject, std::string_view aKey, bool aDefault);
std::string TextOr(const json::object& aObject,
                   std::string_view aKey,
                   std::string_view aDefault);

wire::http_response JsonAnswer(unsigned aStatus, const json::value& aBody);
wire::http_response ErrorAnswer(unsigned aStatus, std::string_view aMessage);

// Serves on one context. A zero port takes any free one.
std::unique_ptr<wire::http_server> ServeOn(asio::io_context& aContext,
                                           std::string aAddress,
                                           std::uint16_t aPort,
                                           wire::http_handler aHandler);

// Returns the parts of a path between its slashes.
std::vector<std::string_view> PathParts(std::string_view aPath);

// Returns the number in a query, or aDefault.
std::uint64_t QueryNumber(std::string_view aQuery,
                          std::string_view aKey,
                          std::uint64_t aDefault);

// Waits; returns at once when aTime is not positive.
asio::awaitable<void> Sleep(std::chrono::microseconds aTime);

// Waits for aTimer to be cancelled, at most aLongest.
asio::awaitable<void> WaitForSignal(asio::steady_timer& aTimer,
                                    std::chrono::microseconds aLongest);

// Faults that engines and services show.
struct upstream_faults
{
  // Drops connections without an answer.
  bool mCrash = false;
  // Accepts requests but does not work on them.
  bool mFreeze = false;
  double mSlowFactor = 1.0;
  // Age of the load that GET /v1/load reports.
  std::chrono::milliseconds mLoadLag{ 0 };
  // Next calls that run but get no answer.
  unsigned mLoseAnswers = 0;
};

// Takes over the members that aChange names.
void ChangeFaults(upstream_faults& aFaults, const json::object& aChange);
json::object ToJson(const upstream_faults& aFaults);

// Answers GET and PUT /faults.
wire::http_response ServeFaults(upstream_faults& aFaults,
                                const wire::http_request& aRequest);

// Returns once aFaults no longer says freeze, or false when the caller has
// gone or the upstream has crashed by then.
asio::awaitable<bool> OutlastFreeze(const upstream_faults& aFaults,
                                    wire::http_reply& aReply);

} // namespace sapphirespar::tools
