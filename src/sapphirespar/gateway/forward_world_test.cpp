// The small world of the forwarding tests.
#include "forward_world_test.hpp"

#include <boost/asio/co_spawn.hpp>

#include <array>
#include <charconv>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

unsigned
ToUnsigned(std::string_view aText)
{
  unsigned number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

request_facts
ReadFacts(const wire::http_headers& aHeaders)
{
  request_facts facts;
  facts.mId = wire::FindHeader(aHeaders, kTestId);
  facts.mKey = wire::FindHeader(aHeaders, kTestKey);
  const auto deadline = wire::FindHeader(aHeaders, kTestDeadline);
  if (!deadline.empty()) {
    facts.mDeadline = std::chrono::milliseconds(ToUnsigned(deadline));
  }
  facts.mPromptTokens = ToUnsigned(wire::FindHeader(aHeaders, kTestTokens));
  return facts;
}

wire::http_headers
AddFacts(const wire::http_headers& aFrom, const forward_facts& aFacts)
{
  auto headers = aFrom;
  std::erase_if(headers, [](const auto& aHeader) {
    return aHeader.mName == kTestKey || aHeader.mName == kTestDeadline ||
           aHeader.mName == "Connection" || aHeader.mName == "Content-Length";
  });
  headers.push_back(
    { std::string(kTestDeadline), std::to_string(aFacts.mDeadline.count()) });
  headers.push_back({ std::string(kTestExpected), aFacts.mExpected.mText });
  if (!aFacts.mLastEventId.empty()) {
    headers.push_back({ std::string(kTestResume), aFacts.mLastEventId });
  }
  return headers;
}

answer_facts
ReadAnswerFacts(unsigned, const wire::http_headers& aHeaders)
{
  answer_facts facts;
  facts.mRequestId = wire::FindHeader(aHeaders, kTestId);
  facts.mSigned = !wire::FindHeader(aHeaders, kTestSigned).empty();
  facts.mNotRun = !wire::FindHeader(aHeaders, kTestNotRun).empty();
  return facts;
}

wire::http_headers
DropFraming(const wire::http_headers& aFrom)
{
  auto headers = aFrom;
  std::erase_if(headers, [](const auto& aHeader) {
    return aHeader.mName == "Connection" || aHeader.mName == "Content-Length" ||
           aHeader.mName == "Transfer-Encoding";
  });
  return headers;
}

route
MakeRoute(std::string aPrefix)
{
  route made;
  made.mName = aPrefix;
  made.mHost = "h";
  made.mPathPrefix = std::move(aPrefix);
  made.mPools = { { "pool", 1 } };
  made.mTimeout = 5s;
  made.mTargetLatency = 100ms;
  made.mMaximumAttempts = 2;
  return made;
}

} // namespace

protocol
TestProtocol()
{
  protocol made;
  made.mReadRequest = ReadFacts;
  made.mForwardHeaders = AddFacts;
  made.mReadAnswer = ReadAnswerFacts;
  made.mAnswerHeaders = DropFraming;
  return made;
}

forward_world::forward_world()
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
                                        *mUpstreamClient,
                                        mMetrics,
                                        [] { return 1U; },
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

forward_world::~forward_world() = default;

void
forward_world::Publish(routing_version aVersion)
{
  routing_config config;
  config.mVersion = aVersion;
  config.mRoutes = mRoutes;
  upstream_pool pool;
  pool.mName = "pool";
  pool.mEngine = mEngine;
  config.mPools = { pool };
  config.mAccounts = { { { "anna" }, { "k1" }, {} } };
  mRouting.Apply(std::make_shared<policy::route_table>(std::move(config)),
                 BootNow());
}

void
forward_world::AddUpstream(const std::string& aId, upstream_script aScript)
{
  const std::array workers{ &mContext };
  mServers.push_back(std::make_unique<wire::http_server>(
    mContext,
    workers,
    wire::http_server_settings{},
    [this, aId, script = std::move(aScript)](const wire::http_request& aRequest,
                                             wire::http_reply& aReply) {
      ++mArrivals[aId];
      return script(aRequest, aReply);
    }));
  upstream_entry entry;
  entry.mId = { aId };
  entry.mPool = "pool";
  entry.mAddress = "127.0.0.1";
  entry.mPort = mServers.back()->Port();
  entry.mSlots = 4;
  mEntries.push_back(std::move(entry));
  mUpstreams.ApplyList(mEntries, list_trust::Whole);
}

wire::http_response
forward_world::SignedAnswer(const wire::http_request& aRequest,
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
forward_world::Ask(std::string aPath,
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
  const auto ask = [](forward_world* aSelf,
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
  Run(ask(this, std::move(request), answer));
  return answer;
}

void
forward_world::Run(asio::awaitable<void> aWork)
{
  mContext.restart();
  asio::co_spawn(mContext, std::move(aWork), [&](std::exception_ptr aError) {
    EXPECT_FALSE(aError);
    mContext.stop();
  });
  mContext.run();
}

wire::endpoint
forward_world::Gateway() const
{
  return { "127.0.0.1", mGateway->Port() };
}

} // namespace sapphirespar::gateway
