// Routes and upstreams of the forwarding tests.
#include "forward_fixture_test.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

// Answers one request on each connection of aAcceptor.
asio::awaitable<void>
ServeRaw(asio::ip::tcp::acceptor aAcceptor,
         std::function<void()> aOnRequest,
         std::function<std::string(const std::string&)> aScript,
         connection_end aEnd)
{
  while (true) {
    auto socket = co_await aAcceptor.async_accept(asio::use_awaitable);
    std::string head;
    co_await asio::async_read_until(
      socket, asio::dynamic_buffer(head), "\r\n\r\n", asio::use_awaitable);
    aOnRequest();
    const auto bytes = aScript(head);
    co_await asio::async_write(
      socket, asio::buffer(bytes), asio::use_awaitable);
    if (aEnd == connection_end::Reset) {
      // Lets the bytes arrive, as a reset discards what has not been read.
      asio::steady_timer pause(socket.get_executor(), 50ms);
      co_await pause.async_wait(asio::use_awaitable);
      socket.set_option(asio::socket_base::linger(true, 0));
    }
    socket.close();
  }
}

route
MakeRoute(std::string aPrefix)
{
  route result;
  result.mName = aPrefix;
  result.mHost = "h";
  result.mPathPrefix = std::move(aPrefix);
  result.mPools = { { "pool", 1 } };
  result.mTimeout = 5s;
  result.mTargetLatency = 100ms;
  result.mMaximumAttempts = 2;
  return result;
}

} // namespace

wire::http_headers
EventHeaders(const wire::http_request& aRequest)
{
  return { { "Content-Type", "text/event-stream" },
           { std::string(kTestId), std::string(aRequest.Header(kTestId)) },
           { std::string(kTestSigned), "yes" } };
}

asio::awaitable<void>
Sleep(std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

forward_fixture::forward_fixture()
{
  mRoutes = { MakeRoute("/stream/"),
              MakeRoute("/resume/"),
              MakeRoute("/once/"),
              MakeRoute("/safe/") };
  mRoutes[0].mStreams = true;
  mRoutes[1].mStreams = true;
  mRoutes[1].mResumable = true;
  mRoutes[1].mIdempotent = true;
  mRoutes[3].mIdempotent = true;
  mUpstreamClient = std::make_unique<wire::http_client>(
    mContext.get_executor(), wire::http_client_settings{});
  mCaller = std::make_unique<wire::http_client>(mContext.get_executor(),
                                                wire::http_client_settings{});
  mServices.reset(new forward_services{ mProtocol,
                                        mRouting,
                                        mUpstreams,
                                        mRetries,
                                        mPrefill,
                                        mSplit,
                                        mModels,
                                        mKinds,
                                        mCrashGuard,
                                        mRateGuard,
                                        mBrittleGuard,
                                        mStreams,
                                        mReach,
                                        *mUpstreamClient,
                                        mMetrics,
                                        [this] { mRefreshLoads(); },
                                        [] { return 1U; },
                                        [this] { return mHelpers; },
                                        [] { return 0.5; },
                                        [this] { return mTimeToStop; },
                                        {},
                                        mKeyFreshness });
  const std::array workers{ &mContext };
  mGateway = std::make_unique<wire::http_server>(
    mContext,
    workers,
    wire::http_server_settings{},
    [this](const wire::http_request& aRequest, wire::http_reply& aReply) {
      return ServeForward(*mServices, aRequest, aReply);
    });
}

forward_fixture::~forward_fixture() = default;

void
forward_fixture::Publish(routing_version aVersion)
{
  routing_config config;
  config.mVersion = aVersion;
  config.mRoutes = mRoutes;
  upstream_pool pool;
  pool.mName = "pool";
  pool.mEngine = mEngine;
  config.mPools = { pool };
  config.mAccounts = { { { "anna" }, { "k1" }, {} } };
  config.mUsesKeys = mUsesKeys;
  mRouting.Apply(std::make_shared<policy::route_table>(std::move(config)),
                 BootNow());
}

void
forward_fixture::AddUpstream(const std::string& aId, upstream_handler aHandler)
{
  const std::array workers{ &mContext };
  mServers.push_back(std::make_unique<wire::http_server>(
    mContext,
    workers,
    wire::http_server_settings{},
    [this, aId, handler = std::move(aHandler)](
      const wire::http_request& aRequest, wire::http_reply& aReply) {
      ++mArrivals[aId];
      return handler(aRequest, aReply);
    }));
  AddEntry(aId, mServers.back()->Port());
}

void
forward_fixture::AddRawUpstream(
  const std::string& aId,
  std::function<std::string(const std::string&)> aScript,
  connection_end aEnd)
{
  const auto loopback = asio::ip::make_address("127.0.0.1");
  asio::ip::tcp::acceptor acceptor(mContext, { loopback, 0 });
  AddEntry(aId, acceptor.local_endpoint().port());
  const auto count = [this, aId] { ++mArrivals[aId]; };
  asio::co_spawn(mContext,
                 ServeRaw(std::move(acceptor), count, std::move(aScript), aEnd),
                 asio::detached);
}

void
forward_fixture::AddEntry(const std::string& aId, std::uint16_t aPort)
{
  upstream_entry entry;
  entry.mId = { aId };
  entry.mPool = "pool";
  entry.mAddress = "127.0.0.1";
  entry.mPort = aPort;
  entry.mSlots = 4;
  mEntries.push_back(std::move(entry));
  mUpstreams.ApplyList(mEntries, list_completeness::Complete);
}

void
forward_fixture::SetSoftware(const std::string& aId, std::string aSoftware)
{
  const auto found = std::ranges::find(
    mEntries, aId, [](const auto& aEntry) { return aEntry.mId.mText; });
  found->mSoftware = std::move(aSoftware);
  mUpstreams.ApplyList(mEntries, list_completeness::Complete);
}

void
forward_fixture::Reclaim(const std::string& aId)
{
  const auto found = std::ranges::find(
    mEntries, aId, [](const auto& aEntry) { return aEntry.mId.mText; });
  found->mPreemptible = true;
  found->mDraining = true;
  mUpstreams.ApplyList(mEntries, list_completeness::Complete);
}

void
forward_fixture::RemoveEntry(const std::string& aId)
{
  std::erase_if(mEntries,
                [&](const auto& aEntry) { return aEntry.mId.mText == aId; });
  mUpstreams.ApplyList(mEntries, list_completeness::Complete);
}

wire::http_response
forward_fixture::SignedAnswer(const wire::http_request& aRequest,
                              unsigned aStatus,
                              std::string aBody)
{
  wire::http_response response;
  response.mStatus = aStatus;
  response.mHeaders = { { std::string(kTestId),
                          std::string(aRequest.Header(kTestId)) },
                        { std::string(kTestSigned), "yes" } };
  response.mBody = std::move(aBody);
  return response;
}

wire::http_response
forward_fixture::SendRequest(std::string aPath,
                             wire::http_headers aMore,
                             std::string aMethod)
{
  wire::http_request request;
  request.mMethod = std::move(aMethod);
  request.mTarget = std::move(aPath);
  request.mHeaders = std::move(aMore);
  request.mHeaders.push_back({ "Host", "h" });
  if (request.Header(kTestKey).empty()) {
    request.mHeaders.push_back({ std::string(kTestKey), "k1" });
  }
  request.mHeaders.push_back({ std::string(kTestId), "r1" });
  wire::http_response answer;
  const auto fetch = [](forward_fixture* aSelf,
                        wire::http_request aRequest,
                        wire::http_response& aInto) -> asio::awaitable<void> {
    aInto.mStatus = 0;
    const auto opened =
      co_await aSelf->mCaller->Open(aSelf->Gateway(), std::move(aRequest), 10s);
    if (!opened) {
      co_return;
    }
    auto& stream = *opened.value();
    auto answer = stream.Head();
    while (true) {
      auto piece = co_await stream.Read(10s);
      if (!piece) {
        aInto.mBody = answer.mBody;
        co_return;
      }
      if (piece.value().empty()) {
        break;
      }
      answer.mBody += piece.value();
    }
    aInto = std::move(answer);
  };
  Run(fetch(this, std::move(request), answer));
  return answer;
}

void
forward_fixture::Pause(std::chrono::milliseconds aTime)
{
  const auto wait =
    [](asio::io_context& aContext,
       std::chrono::milliseconds aDelay) -> asio::awaitable<void> {
    asio::steady_timer timer(aContext, aDelay);
    co_await timer.async_wait(asio::use_awaitable);
  };
  Run(wait(mContext, aTime));
}

void
forward_fixture::Run(asio::awaitable<void> aWork)
{
  mContext.restart();
  asio::co_spawn(mContext, std::move(aWork), [&](std::exception_ptr aError) {
    EXPECT_FALSE(aError);
    mContext.stop();
  });
  mContext.run();
}

wire::endpoint
forward_fixture::Gateway() const
{
  return { "127.0.0.1", mGateway->Port() };
}

} // namespace sapphirespar::gateway
