// Tests of a request that crashes each upstream that runs it, whatever kind of
// request it is, and comes again under other ids.
#include "raw_upstream_test.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kBody = "crash";

// What reaches upstreams after the third crash at most.
constexpr unsigned kAllowed = 3;

struct request_kind
{
  const char* mName;
  const char* mPath;
  // With these headers beside its id.
  const char* mParts;
};

void
PrintTo(const request_kind& aKind, std::ostream* aOut)
{
  *aOut << aKind.mName;
}

class forward_crashing_request_test
  : public forward_fixture
  , public testing::WithParamInterface<request_kind>
{
protected:
  static constexpr unsigned kUpstreams = 3;

  forward_crashing_request_test()
  {
    Publish();
    for (unsigned index = 0; index < kUpstreams; ++index) {
      StartUpstream();
    }
  }

  // Starts an upstream that ends under a crashing request, and starts anew
  // later.
  void StartUpstream()
  {
    const auto id = "u" + std::to_string(++mStarted);
    const auto alive = std::make_shared<bool>(true);
    const auto port = ServeConnections(
      mContext,
      [this, id, alive](
        asio::ip::tcp::socket aSocket) -> asio::awaitable<void> {
        co_await Serve(std::move(aSocket), id, alive);
      });
    AddEntry(id, port);
  }

  asio::awaitable<void> Serve(asio::ip::tcp::socket aSocket,
                              std::string aId,
                              std::shared_ptr<bool> aAlive)
  {
    if (!*aAlive) {
      co_return;
    }
    std::string text;
    co_await asio::async_read_until(
      aSocket, asio::dynamic_buffer(text), "\r\n\r\n", kAsTuple);
    const bool hasBody = text.find("Content-Length: 5") != std::string::npos;
    while (hasBody && !text.ends_with(kBody)) {
      auto [failed, count] =
        co_await asio::async_read(aSocket,
                                  asio::dynamic_buffer(text),
                                  asio::transfer_at_least(1),
                                  kAsTuple);
      if (failed) {
        co_return;
      }
    }
    if (!text.ends_with(kBody)) {
      co_await WriteBytes(aSocket,
                          "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: yes\r\n"
                          "Content-Length: 2\r\nConnection: close\r\n\r\nok");
      co_return;
    }
    ++mCrashing;
    asio::steady_timer timer(aSocket.get_executor(), 20ms);
    co_await timer.async_wait(asio::use_awaitable);
    aSocket.close();
    if (!*aAlive) {
      co_return;
    }
    *aAlive = false;
    std::erase_if(mEntries, [&](const upstream_entry& aEntry) {
      return aEntry.mId.mText == aId;
    });
    mUpstreams.ApplyList(mEntries, list_completeness::Complete);
    timer.expires_after(150ms);
    co_await timer.async_wait(asio::use_awaitable);
    StartUpstream();
  }

  wire::http_response SendCrashing()
  {
    wire::http_request request;
    request.mMethod = "POST";
    request.mTarget = GetParam().mPath;
    request.mHeaders = { { "Host", "h" },
                         { std::string(kTestKey), "k1" },
                         { std::string(kTestId), std::to_string(++mIds) },
                         { std::string(kTestParts), GetParam().mParts } };
    request.mBody = kBody;
    wire::http_response answer;
    const auto fetch = [](wire::http_client& aCaller,
                          wire::endpoint aGateway,
                          wire::http_request aRequest,
                          wire::http_response& aInto) -> asio::awaitable<void> {
      auto got =
        co_await aCaller.Fetch(std::move(aGateway), std::move(aRequest), 10s);
      if (got) {
        aInto = std::move(got).value();
      }
    };
    Run(fetch(*mCaller, Gateway(), std::move(request), answer));
    return answer;
  }

  unsigned mStarted = 0;
  unsigned mCrashing = 0;
  unsigned mIds = 0;
};

TEST_P(forward_crashing_request_test, ReachesFewUpstreamsAfterTheThirdCrash)
{
  while (mCrashing < 3) {
    SendCrashing();
    SendRequest("/safe/sound");
    Pause(50ms);
  }
  Pause(600ms);
  const auto before = mCrashing;
  for (int count = 0; count < 10; ++count) {
    const auto answer = SendCrashing();
    EXPECT_EQ(answer.mStatus, 503U);
    EXPECT_FALSE(answer.Header("Retry-After").empty());
    EXPECT_EQ(SendRequest("/safe/sound").mStatus, 200U);
    Pause(20ms);
  }
  EXPECT_LE(mCrashing - before, kAllowed);
}

INSTANTIATE_TEST_SUITE_P(
  Kinds,
  forward_crashing_request_test,
  testing::Values(request_kind{ "safe", "/safe/x", "" },
                  request_kind{ "once", "/once/x", "" },
                  request_kind{ "stream", "/stream/x", "" },
                  request_kind{ "resumable", "/resume/x", "" },
                  request_kind{ "prompt", "/resume/x", "7,8,1" }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace
} // namespace sapphirespar::gateway
