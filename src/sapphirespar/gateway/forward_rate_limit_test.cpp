// Tests of upstreams that name the request rate they accept: on no leg do more
// requests reach them, and none is lost that another upstream can take.
#include "forward_fixture_test.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

constexpr unsigned kRate = 2;

// What an upstream gets in 4 s at most: one and a half times its rate, and 5.
constexpr unsigned kAllowed = kRate * 4 * 3 / 2 + 5;

class forward_rate_limit_test : public forward_fixture
{
protected:
  // Adds an upstream that accepts kRate and handles its requests by aThen.
  void AddLimited(const std::string& aId, upstream_handler aThen)
  {
    AddUpstream(aId,
                [this, aId, then = std::move(aThen)](
                  const wire::http_request& aRequest,
                  wire::http_reply& aReply) -> asio::awaitable<void> {
                  // Requests that came before the gateway was told don't count.
                  if (mFirst.contains(aId) &&
                      steady_clock::now() - mFirst[aId] > 500ms) {
                    ++mLate[aId];
                  }
                  mFirst.try_emplace(aId, steady_clock::now());
                  co_await then(aRequest, aReply);
                });
  }

  // Answers with this status and, while mNamesRate, the accepted rate.
  upstream_handler Answers(unsigned aStatus)
  {
    return [this, aStatus](const wire::http_request& aRequest,
                           wire::http_reply& aReply) -> asio::awaitable<void> {
      auto answer = SignedAnswer(aRequest, aStatus, "body");
      AddRate(answer.mHeaders);
      co_await aReply.Send(std::move(answer));
    };
  }

  void AddRate(wire::http_headers& aHeaders) const
  {
    if (mNamesRate) {
      aHeaders.push_back({ std::string(kTestRate), std::to_string(kRate) });
    }
  }

  static upstream_handler Succeeds()
  {
    return [](const wire::http_request& aRequest,
              wire::http_reply& aReply) -> asio::awaitable<void> {
      co_await aReply.Send(SignedAnswer(aRequest, 200, "body"));
    };
  }

  // Lets callers send one request after the other for this long. Returns the
  // number of answers with success.
  unsigned SendFor(std::chrono::milliseconds aTime,
                   const std::string& aPath,
                   wire::http_headers aMore = {},
                   unsigned aCallers = 8)
  {
    unsigned count = 0;
    const auto end = steady_clock::now() + aTime;
    for (unsigned caller = 0; caller < aCallers; ++caller) {
      asio::co_spawn(mContext,
                     SendUntil(end, MakeRequest(aPath, aMore), count),
                     [](auto) {});
    }
    Pause(aTime + 200ms);
    return count;
  }

  asio::awaitable<void> SendUntil(steady_time aEnd,
                                  wire::http_request aRequest,
                                  unsigned& aCount)
  {
    while (steady_clock::now() < aEnd) {
      auto request = aRequest;
      const auto answer =
        co_await mCaller->Fetch(Gateway(), std::move(request), 10s);
      aCount += answer && answer.value().mStatus == 200 ? 1 : 0;
    }
  }

  static wire::http_request MakeRequest(const std::string& aPath,
                                        const wire::http_headers& aMore)
  {
    wire::http_request request;
    request.mMethod = "POST";
    request.mTarget = aPath;
    request.mHeaders = aMore;
    request.mHeaders.push_back({ "Host", "h" });
    request.mHeaders.push_back({ std::string(kTestKey), "k1" });
    request.mHeaders.push_back({ std::string(kTestId), "r1" });
    return request;
  }

  // Requests that count, and when the first one came.
  std::map<std::string, unsigned> mLate;
  std::map<std::string, steady_time> mFirst;
  bool mNamesRate = true;
};

TEST_F(forward_rate_limit_test, AnUpstreamGetsNoMoreThanTheRateItNames)
{
  Publish();
  AddLimited("a", Answers(200));
  AddUpstream("b", Succeeds());
  EXPECT_GT(SendFor(1500ms, "/once/x"), 100U);
  EXPECT_GE(mArrivals["a"], 2U);
  EXPECT_LE(mLate["a"], kAllowed);
}

TEST_F(forward_rate_limit_test, PromptsCountToo)
{
  mEngine = engine_traits{};
  mEngine->mSlots = 4;
  mEngine->mMemoryTokens = 100000;
  Publish();
  AddLimited("a", Answers(200));
  AddUpstream("b", Succeeds());
  SendFor(1500ms, "/once/x", { { std::string(kTestParts), "7,8" } });
  EXPECT_GE(mArrivals["a"], 1U);
  EXPECT_LE(mLate["a"], kAllowed);
}

TEST_F(forward_rate_limit_test, RefusalsNameTheRateToo)
{
  Publish();
  AddLimited("a",
             [this](const wire::http_request& aRequest,
                    wire::http_reply& aReply) -> asio::awaitable<void> {
               auto answer = SignedAnswer(aRequest, 503, "");
               answer.mHeaders.push_back({ std::string(kTestNotRun), "1" });
               AddRate(answer.mHeaders);
               co_await aReply.Send(std::move(answer));
             });
  SendFor(1500ms, "/once/x");
  EXPECT_LE(mLate["a"], kAllowed);
}

TEST_F(forward_rate_limit_test, RetriesCountToo)
{
  Publish();
  AddLimited("a", Answers(200));
  AddUpstream("b",
              [](const wire::http_request& aRequest,
                 wire::http_reply& aReply) -> asio::awaitable<void> {
                co_await aReply.Send(SignedAnswer(aRequest, 500, "broken"));
              });
  SendFor(1500ms, "/safe/x");
  EXPECT_GE(mArrivals["a"], 2U);
  EXPECT_LE(mLate["a"], kAllowed);
}

TEST_F(forward_rate_limit_test, ResumedStreamsCountToo)
{
  Publish();
  AddLimited("a",
             [this](const wire::http_request& aRequest,
                    wire::http_reply& aReply) -> asio::awaitable<void> {
               auto headers = SignedAnswer(aRequest, 200, "").mHeaders;
               headers.push_back({ "Content-Type", "text/event-stream" });
               AddRate(headers);
               co_await aReply.Begin(200, headers, "id: 2\ndata: b\n\n");
               co_await aReply.Finish();
             });
  AddRawUpstream(
    "b",
    [](const std::string&) {
      return "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: yes\r\n"
             "Content-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n"
             "f\r\nid: 1\ndata: a\n\n\r\n";
    },
    connection_end::Close);
  SendFor(1500ms, "/resume/x");
  EXPECT_GE(mArrivals["a"], 1U);
  EXPECT_LE(mLate["a"], kAllowed);
}

TEST_F(forward_rate_limit_test, AttemptsBesideASilentUpstreamCountToo)
{
  Publish();
  AddLimited("a", Answers(200));
  AddUpstream(
    "b",
    [](const wire::http_request&, wire::http_reply&) -> asio::awaitable<void> {
      asio::steady_timer timer(co_await asio::this_coro::executor, 1500ms);
      co_await timer.async_wait(asio::use_awaitable);
    });
  SendFor(2000ms, "/safe/x", {}, 40);
  EXPECT_GE(mArrivals["a"], 2U);
  EXPECT_LE(mLate["a"], kAllowed);
}

TEST_F(forward_rate_limit_test, CallersAreToldWhenMoreIsAccepted)
{
  Publish();
  AddLimited("a", Answers(200));
  EXPECT_EQ(SendRequest("/once/x").mStatus, 200U);
  const auto answer = SendRequest("/once/x");
  EXPECT_EQ(answer.mStatus, 503U);
  const auto text = answer.Header("Retry-After");
  double seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  EXPECT_GT(seconds, 0);
  EXPECT_LE(seconds, 1.0 / kRate);
  EXPECT_EQ(mArrivals["a"], 1U);
  Pause(std::chrono::milliseconds(static_cast<int>(1000 * seconds) + 5));
  EXPECT_EQ(SendRequest("/once/x").mStatus, 200U);
}

TEST_F(forward_rate_limit_test, TheLimitEndsWhenAnAnswerNamesNone)
{
  Publish();
  AddLimited("a", Answers(200));
  EXPECT_EQ(SendRequest("/once/x").mStatus, 200U);
  EXPECT_EQ(SendRequest("/once/x").mStatus, 503U);
  mNamesRate = false;
  Pause(600ms);
  EXPECT_GT(SendFor(100ms, "/once/x"), 3U);
}

} // namespace
} // namespace sapphirespar::gateway
