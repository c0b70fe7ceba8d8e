// Tests of oversized, malformed and smuggled requests: the caller gets the
// right status, no upstream receives more than one valid request, and other
// connections are not affected.
#include "forward_fixture_test.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <sstream>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

struct bad_request
{
  std::string mName;
  std::string mBytes;
  // Status with which the answer must begin; empty accepts any.
  std::string mStatus;
};

std::string
ValidHead(const std::string& aMore)
{
  return "POST /once/x HTTP/1.1\r\nHost: h\r\nKey: k1\r\nId: r1\r\n" + aMore +
         "\r\n";
}

std::string
Inner()
{
  return "POST /once/inner HTTP/1.1\r\nHost: h\r\nKey: k1\r\nId: r2\r\n"
         "Content-Length: 0\r\n\r\n";
}

std::vector<bad_request>
BadRequests()
{
  const auto inner = Inner();
  const auto length = std::to_string(inner.size());
  return {
    { "no_request", "NONSENSE\r\n\r\n", "400" },
    { "bad_header", ValidHead("Content Length : 3\r\n") + "abc", "400" },
    { "long_header",
      ValidHead("Pad: " + std::string(5000, 'x') + "\r\n"),
      "431" },
    { "long_body", ValidHead("Content-Length: 2000\r\n"), "413" },
    { "long_chunks",
      ValidHead("Transfer-Encoding: chunked\r\n") + "7d0\r\n" +
        std::string(2000, 'x') + "\r\n0\r\n\r\n",
      "413" },
    { "two_lengths",
      ValidHead("Content-Length: 0\r\nContent-Length: " + length + "\r\n") +
        inner,
      "400" },
    { "length_and_chunks",
      ValidHead("Content-Length: " + length +
                "\r\nTransfer-Encoding: chunked\r\n") +
        "0\r\n\r\n" + inner,
      "400" },
    { "negative_length", ValidHead("Content-Length: -1\r\n") + inner, "400" },
    { "same_length_twice",
      ValidHead("Content-Length: 0\r\nContent-Length: 0\r\n") + inner,
      "400" },
    { "list_of_lengths", ValidHead("Content-Length: 0, 0\r\n") + inner, "400" },
    { "other_coding", ValidHead("Transfer-Encoding: gzip\r\n") + inner, "400" },
    { "other_coding_last",
      ValidHead("Transfer-Encoding: chunked, gzip\r\n") + inner,
      "400" },
    { "other_coding_first",
      ValidHead("Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n" + inner,
      "400" },
    { "chunked_twice",
      ValidHead("Transfer-Encoding: chunked, chunked\r\n") + "0\r\n\r\n" +
        inner,
      "400" },
    { "two_codings",
      ValidHead("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n") +
        inner,
      "400" },
    { "empty_coding", ValidHead("Transfer-Encoding:\r\n") + inner, "400" },
    { "misspelt_coding",
      ValidHead("Transfer-Encoding: xchunked\r\n") + inner,
      "400" },
    { "old_version_with_coding",
      "POST /once/x HTTP/1.0\r\nHost: h\r\nKey: k1\r\nId: r1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
        inner,
      "400" },
    { "folded_line",
      ValidHead("Transfer-Encoding:\r\n chunked\r\n") + "0\r\n\r\n" + inner,
      "400" },
    { "folded_other_line", ValidHead("Pad: a\r\n\tb\r\n") + inner, "400" },
    { "bare_line_feed", ValidHead("Pad: a\nContent-Length: 0\r\n"), "400" },
    { "bare_line_feeds",
      "POST /once/x HTTP/1.1\nHost: h\nKey: k1\nId: r1\n\n" + inner,
      "400" },
    { "nul", ValidHead("Pad: a" + std::string(1, '\0') + "\r\n"), "400" },
  };
}

class bad_requests
  : public forward_fixture
  , public testing::WithParamInterface<bad_request>
{
protected:
  bad_requests()
  {
    wire::http_server_settings settings;
    settings.mLimits = [] {
      return wire::http_limits{ 4000, 1000, 1000ms, 100ms };
    };
    settings.mMakeErrorResponse = [](unsigned aStatus, std::string_view) {
      wire::http_response response;
      response.mStatus = aStatus;
      return response;
    };
    const std::array workers{ &mContext };
    mGateway = std::make_unique<wire::http_server>(
      mContext,
      workers,
      std::move(settings),
      [this](const wire::http_request& aRequest, wire::http_reply& aReply) {
        return ServeForward(*mServices, aRequest, aReply);
      });
    Publish();
    AddUpstream("a",
                [this](const wire::http_request& aRequest,
                       wire::http_reply& aReply) -> asio::awaitable<void> {
                  mTargets.push_back(aRequest.mTarget);
                  mBodies.push_back(aRequest.mBody);
                  co_await aReply.Send(SignedAnswer(aRequest, 200, "ok"));
                });
  }

  // Sends bytes on a new connection and returns everything received until the
  // gateway closes it.
  std::string SendRaw(const std::string& aBytes)
  {
    std::string answer;
    Run([](bad_requests* aSelf,
           const std::string& aOut,
           std::string& aInto) -> asio::awaitable<void> {
      asio::ip::tcp::socket socket(aSelf->mContext);
      co_await socket.async_connect(
        { asio::ip::make_address("127.0.0.1"), aSelf->mGateway->Port() },
        asio::use_awaitable);
      boost::system::error_code error;
      co_await asio::async_write(
        socket,
        asio::buffer(aOut),
        asio::redirect_error(asio::use_awaitable, error));
      co_await asio::async_read(
        socket,
        asio::dynamic_buffer(aInto),
        asio::redirect_error(asio::use_awaitable, error));
    }(this, aBytes, answer));
    return answer;
  }

  std::vector<std::string> mTargets;
  std::vector<std::string> mBodies;
};

TEST_P(bad_requests, AreRefusedWithoutAffectingOtherRequests)
{
  EXPECT_EQ(SendRequest("/once/before").mStatus, 200U);
  const auto answer = SendRaw(GetParam().mBytes);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + GetParam().mStatus)) << answer;
  EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << answer;
  EXPECT_EQ(SendRequest("/once/after").mStatus, 200U);
  EXPECT_EQ(mTargets,
            (std::vector<std::string>{ "/once/before", "/once/after" }));
}

INSTANTIATE_TEST_SUITE_P(All,
                         bad_requests,
                         testing::ValuesIn(BadRequests()),
                         [](const auto& aInfo) { return aInfo.param.mName; });

class smuggled_requests : public bad_requests
{};

TEST_P(smuggled_requests, AreForwardedAsBodyOnly)
{
  const auto answer = SendRaw(GetParam().mBytes);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << answer;
  EXPECT_EQ(mTargets, std::vector<std::string>{ "/once/x" });
  EXPECT_EQ(mBodies, std::vector<std::string>{ Inner() });
}

INSTANTIATE_TEST_SUITE_P(
  All,
  smuggled_requests,
  testing::Values(bad_request{ "with_length",
                               ValidHead("Content-Length: " +
                                         std::to_string(Inner().size()) +
                                         "\r\n") +
                                 Inner(),
                               "200" },
                  bad_request{ "in_chunks",
                               ValidHead("Transfer-Encoding: chunked\r\n") +
                                 [] {
                                   std::ostringstream size;
                                   size << std::hex << Inner().size();
                                   return size.str();
                                 }() +
                                 "\r\n" + Inner() + "\r\n0\r\n\r\n",
                               "200" }),
  [](const auto& aInfo) { return aInfo.param.mName; });

} // namespace
} // namespace sapphirespar::gateway
