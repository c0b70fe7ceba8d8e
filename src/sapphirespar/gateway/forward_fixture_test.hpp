// Test fixture: a gateway's forwarding between a caller and test upstreams on
// loopback.
#pragma once

#include "sapphirespar/gateway/forward.hpp"
#include "sapphirespar/wire/asio_timer_service.hpp"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sapphirespar::gateway {

using upstream_handler =
  std::function<asio::awaitable<void>(const wire::http_request&,
                                      wire::http_reply&)>;

// How an upstream ends a connection.
enum class connection_end
{
  Close,
  Reset,
};

// Headers of the protocol used in the tests.
inline constexpr std::string_view kTestId = "Id";
inline constexpr std::string_view kTestKey = "Key";
inline constexpr std::string_view kTestSigned = "Signed";
inline constexpr std::string_view kTestNotRun = "Not-Run";
inline constexpr std::string_view kTestResume = "Resume";
// Id of the request that brought the first event of a resumed stream.
inline constexpr std::string_view kTestResumedId = "Resumed-Id";
inline constexpr std::string_view kTestFromGateway = "From-Gateway";
inline constexpr std::string_view kTestDeadline = "Deadline";
inline constexpr std::string_view kTestExpected = "Expected";
inline constexpr std::string_view kTestTokens = "Tokens";
inline constexpr std::string_view kTestOutputTokens = "Output-Tokens";
// Identifiers of the prompt's parts, in decimal, with commas.
inline constexpr std::string_view kTestParts = "Parts";
inline constexpr std::string_view kTestLeaving = "Leaving";
// In milliseconds.
inline constexpr std::string_view kTestRetryAfter = "Come-Back";
// In requests per second, an integer.
inline constexpr std::string_view kTestRate = "Rate";

// Names the copy from which a run goes on, as "ADDRESS:PORT/HANDLE".
inline constexpr std::string_view kTestCopy = "Copy";
// Path of the question when an engine is taken away, whose answer is the time
// left in milliseconds.
inline constexpr std::string_view kTestStatePath = "/state";
// Path and header of the calls that move runs, whose replies have the handle as
// their body; and the path of those that free a copy, without its handle.
inline constexpr std::string_view kTestMovePath = "/move";
inline constexpr std::string_view kTestStops = "Stops";
inline constexpr std::string_view kTestFreePath = "/free/";

// In requests per second, an integer.
inline constexpr std::string_view kTestBrittle = "Brittle";

protocol TestProtocol();

// The events of a stream.
inline const std::string kFirstEvent = "id: 1\ndata: a\n\n";
inline const std::string kSecondEvent = "id: 2\ndata: b\n\n";

// The headers of a signed answer to a request that is a stream.
wire::http_headers EventHeaders(const wire::http_request& aRequest);

asio::awaitable<void> Sleep(std::chrono::milliseconds aTime);

class forward_fixture : public testing::Test
{
protected:
  forward_fixture();
  ~forward_fixture() override;

  // Activates a routing with mRoutes and the account "anna", whose key is "k1".
  void Publish(routing_version aVersion = 1);

  // Adds an upstream to the pool that answers by calling aHandler.
  void AddUpstream(const std::string& aId, upstream_handler aHandler);

  // Adds an upstream that reads the head of a request, sends the bytes that
  // aScript makes of it and ends the connection.
  void AddRawUpstream(const std::string& aId,
                      std::function<std::string(const std::string&)> aScript,
                      connection_end aEnd);

  // Adds the upstream to the pool at a port on loopback.
  void AddEntry(const std::string& aId, std::uint16_t aPort);

  // Changes the software version that an upstream names.
  void SetSoftware(const std::string& aId, std::string aSoftware);

  // Lists an upstream as one that the platform has called back.
  void Reclaim(const std::string& aId);

  // Removes an upstream from the pool.
  void RemoveEntry(const std::string& aId);

  // Makes a signed answer to a request.
  static wire::http_response SignedAnswer(const wire::http_request& aRequest,
                                          unsigned aStatus,
                                          std::string aBody);

  // Sends a request with the account's key and waits for the answer. If the
  // answer is incomplete, returns status 0 and the part of the body received.
  wire::http_response SendRequest(std::string aPath,
                                  wire::http_headers aMore = {},
                                  std::string aMethod = "POST");

  // Lets everything run for a while.
  void Pause(std::chrono::milliseconds aTime);

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
  policy::engine_models mModels;
  policy::prompt_kinds mKinds;
  metrics mMetrics;
  wire::asio_timer_service mTimers{ mContext.get_executor() };
  crash_guard mCrashGuard{ mTimers,
                           mMetrics,
                           { [](const prompt_part&) { return true; }, [] {} } };
  rate_guard mRateGuard{ mTimers,
                         mMetrics,
                         { "self" },
                         { [] { return std::vector<vm_id>{ { "self" } }; },
                           [this](std::uint64_t aKey) {
                             return mUpstreams.NameOf(aKey);
                           },
                           [] {} } };
  brittle_guard mBrittleGuard{
    mTimers,
    { [this](std::uint64_t aKey) { return mUpstreams.Find(aKey); },
      [this] { return mBrittleDraw(); },
      [] {},
      [] { return 1U; },
      [] { return std::chrono::milliseconds(0); } }
  };
  std::function<double()> mBrittleDraw = [] { return 0.5; };
  // Other gateways that keep records of streams; they answer by the hook.
  std::vector<std::string> mKeepers;
  std::function<void(const std::string&, const stream_message&)> mSendStreams =
    [](const std::string&, const stream_message&) {};
  stream_versions mStreams{
    mTimers,
    { [this](std::uint64_t, std::size_t) { return mKeepers; },
      [this](const std::string& aTo, const stream_message& aMessage) {
        mSendStreams(aTo, aMessage);
      },
      [this] { return ListedSoftware(mUpstreams); },
      [] { return std::chrono::milliseconds(0); } }
  };
  reach_monitor mReach{ mTimers,
                        mMetrics,
                        { MakeConnectHook(mContext.get_executor()),
                          [this] { return mUpstreams.Members(); },
                          [] {} } };
  // Other gateways that reach the upstreams.
  std::vector<entry_point> mHelpers;
  // Called before each choice of an upstream.
  std::function<void()> mRefreshLoads = [] {};
  // Routes of the host "h" with the prefixes "/stream/", "/resume/" (resumable
  // stream), "/once/" (not idempotent) and "/safe/" (idempotent).
  std::vector<route> mRoutes;
  bool mUsesKeys = true;
  std::optional<engine_traits> mEngine;
  std::optional<std::chrono::milliseconds> mTimeToStop;
  std::chrono::milliseconds mKeyFreshness{ 5000 };
  std::vector<upstream_entry> mEntries;
  std::vector<std::unique_ptr<wire::http_server>> mServers;
  // Number of requests that reached each upstream.
  std::map<std::string, unsigned> mArrivals;
  std::unique_ptr<wire::http_client> mUpstreamClient;
  std::unique_ptr<wire::http_client> mCaller;
  std::unique_ptr<forward_services> mServices;
  std::unique_ptr<wire::http_server> mGateway;
};

} // namespace sapphirespar::gateway
