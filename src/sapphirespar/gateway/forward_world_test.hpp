// A gateway's forwarding between a caller and small upstreams on loopback, for
// tests.
#pragma once

#include "sapphirespar/gateway/forward.hpp"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sapphirespar::gateway {

using upstream_script =
  std::function<asio::awaitable<void>(const wire::http_request&,
                                      wire::http_reply&)>;

// Headers of the protocol that the tests speak.
inline constexpr std::string_view kTestId = "Id";
inline constexpr std::string_view kTestKey = "Key";
inline constexpr std::string_view kTestSigned = "Signed";
inline constexpr std::string_view kTestNotRun = "Not-Run";
inline constexpr std::string_view kTestResume = "Resume";
inline constexpr std::string_view kTestDeadline = "Deadline";
inline constexpr std::string_view kTestExpected = "Expected";
inline constexpr std::string_view kTestTokens = "Tokens";

protocol TestProtocol();

class forward_world : public testing::Test
{
protected:
  forward_world();
  ~forward_world() override;

  // Puts the routing in force that mRoutes and the account "anna" with the key
  // "k1" make up.
  void Publish(routing_version aVersion = 1);

  // Adds an upstream of the pool that answers as the script says.
  void AddUpstream(const std::string& aId, upstream_script aScript);

  // A signed answer to a request.
  static wire::http_response SignedAnswer(const wire::http_request& aRequest,
                                          unsigned aStatus,
                                          std::string aBody);

  // Sends a request of the account and waits for its answer. A lost answer has
  // status 0 and what came of its body.
  wire::http_response Ask(std::string aPath,
                          wire::http_headers aMore = {},
                          std::string aMethod = "POST");

  // Runs until aWork is done.
  void Run(asio::awaitable<void> aWork);

  wire::endpoint Gateway() const;

  asio::io_context mContext;
  protocol mProtocol = TestProtocol();
  routing_state mRouting;
  upstream_directory mUpstreams;
  policy::fleet_retry_budget mRetries{ { 0, 1000, std::chrono::seconds(10) } };
  policy::prefill_meter mPrefill;
  policy::engine_split mSplit;
  metrics mMetrics;
  // Routes of the host "h"; "/stream/", "/resume/", "/once/" and "/safe/".
  std::vector<route> mRoutes;
  std::optional<engine_traits> mEngine;
  std::optional<std::chrono::milliseconds> mTimeToStop;
  std::chrono::milliseconds mKeyFreshness{ 5000 };
  std::vector<upstream_entry> mEntries;
  std::vector<std::unique_ptr<wire::http_server>> mServers;
  // Requests that reached each upstream.
  std::map<std::string, unsigned> mArrivals;
  std::unique_ptr<wire::http_client> mUpstreamClient;
  std::unique_ptr<wire::http_client> mCaller;
  std::unique_ptr<forward_services> mServices;
  std::unique_ptr<wire::http_server> mGateway;
};

} // namespace sapphirespar::gateway
