// Tests of streams that upstreams break off, with each framing of the answer
// and each end of the connection: the caller's answer looks complete only if
// the upstream's was.
#include "forward_fixture_test.hpp"

#include <sstream>

namespace sapphirespar::gateway {
namespace {

const std::string kEvents =
  "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

// Offsets in kEvents after an event.
constexpr std::size_t kEventBytes = 15;

// The head of an answer to the request with the id "r1".
std::string
StreamHead(const std::string& aMore)
{
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nId: r1\r\n"
         "Signed: yes\r\n" +
         aMore + "\r\n";
}

// An answer whose end only the end of its connection marks.
std::string
WithoutLength(const std::string& aBody)
{
  return StreamHead("Connection: close\r\n") + aBody;
}

// An answer in one chunk, with the last chunk.
std::string
Chunked(const std::string& aBody)
{
  std::ostringstream size;
  size << std::hex << aBody.size();
  return StreamHead("Transfer-Encoding: chunked\r\n") + size.str() + "\r\n" +
         aBody + "\r\n0\r\n\r\n";
}

class forward_broken_stream_test : public forward_fixture
{
protected:
  void AddUpstreamThatSends(const std::string& aBytes,
                            connection_end aEnd = connection_end::Close)
  {
    AddRawUpstream(
      "a", [aBytes](const std::string&) { return aBytes; }, aEnd);
  }
};

TEST_F(forward_broken_stream_test, AStreamCutInsideAnEventNeverLooksComplete)
{
  Publish();
  std::size_t cut = 0;
  AddRawUpstream(
    "a",
    [&](const std::string&) { return WithoutLength(kEvents.substr(0, cut)); },
    connection_end::Close);
  for (cut = 1; cut < kEvents.size(); ++cut) {
    const bool betweenEvents = cut % kEventBytes == 0;
    const auto whole = cut - cut % kEventBytes;
    const auto answer = SendRequest("/stream/x");
    if (betweenEvents) {
      EXPECT_EQ(answer.mStatus, 200U) << cut;
    } else {
      // Nothing was sent before the first event was complete.
      EXPECT_EQ(answer.mStatus, whole == 0 ? 502U : 0U) << cut;
    }
    if (whole > 0) {
      EXPECT_EQ(answer.mBody, kEvents.substr(0, whole)) << cut;
    }
  }
}

TEST_F(forward_broken_stream_test, AChunkedStreamCutInsideAnEventIsBroken)
{
  Publish();
  AddUpstreamThatSends(Chunked(kEvents.substr(0, kEvents.size() - 1)));
  const auto answer = SendRequest("/stream/x");
  EXPECT_EQ(answer.mStatus, 0U);
  EXPECT_EQ(answer.mBody, kEvents.substr(0, 2 * kEventBytes));
}

TEST_F(forward_broken_stream_test, AStreamWithoutLengthOrEventsIsBroken)
{
  Publish();
  AddUpstreamThatSends(WithoutLength(""));
  EXPECT_EQ(SendRequest("/stream/x").mStatus, 502U);
}

TEST_F(forward_broken_stream_test, AResetStreamWithoutLengthIsBroken)
{
  Publish();
  AddUpstreamThatSends(WithoutLength(kEvents), connection_end::Reset);
  const auto answer = SendRequest("/stream/x");
  EXPECT_EQ(answer.mStatus, 0U);
  EXPECT_EQ(answer.mBody, kEvents);
}

TEST_F(forward_broken_stream_test, AResetPlainAnswerWithoutLengthIsBroken)
{
  Publish();
  AddUpstreamThatSends("HTTP/1.1 200 OK\r\nId: r1\r\nSigned: yes\r\n\r\nbody",
                       connection_end::Reset);
  EXPECT_EQ(SendRequest("/once/x").mStatus, 502U);
}

TEST_F(forward_broken_stream_test, AStreamCutInsideAnEventIsResumed)
{
  Publish();
  const auto script = [](const std::string& aHead) {
    return aHead.find("Resume: 1\r\n") == std::string::npos
             ? WithoutLength(kEvents.substr(0, kEventBytes + 3))
             : WithoutLength(kEvents.substr(kEventBytes));
  };
  AddRawUpstream("a", script, connection_end::Close);
  AddRawUpstream("b", script, connection_end::Close);
  const auto answer = SendRequest("/resume/x");
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(answer.mBody, kEvents);
}

TEST_F(forward_broken_stream_test, NoRefusalIsWrittenIntoABegunStream)
{
  Publish();
  AddUpstreamThatSends(WithoutLength(kEvents.substr(0, kEventBytes + 3)));
  std::string body;
  auto end = wire::wire_error_kind::Connect;
  Run([](auto* aSelf, auto& aBody, auto& aEnd) -> asio::awaitable<void> {
    wire::http_request request{ "POST", "/resume/x", {}, {} };
    request.mHeaders = { { "Host", "h" },
                         { std::string(kTestKey), "k1" },
                         { std::string(kTestId), "r1" } };
    const auto opened = co_await aSelf->mCaller->Open(
      aSelf->Gateway(), std::move(request), std::chrono::seconds(5));
    EXPECT_TRUE(opened);
    while (true) {
      const auto piece = co_await opened.value()->Read(std::chrono::seconds(5));
      if (!piece) {
        aEnd = piece.error().mKind;
        co_return;
      }
      aBody += piece.value();
    }
  }(this, body, end));
  EXPECT_EQ(body, kEvents.substr(0, kEventBytes));
  // The connection ends inside the body, which holds nothing but chunks.
  EXPECT_EQ(end, wire::wire_error_kind::Read);
}

TEST_F(forward_broken_stream_test, BytesOutsideEventsDoNotBreakAStream)
{
  Publish();
  const std::string body = kEvents + "\n: end\n";
  AddUpstreamThatSends(WithoutLength(body));
  const auto answer = SendRequest("/stream/x");
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(answer.mBody, body);
}

TEST_F(forward_broken_stream_test, LinesMayEndWithACarriageReturn)
{
  Publish();
  const std::string body = "id: 1\rdata: a\r\rid: 2\rdata: b\r\r";
  AddUpstreamThatSends(WithoutLength(body));
  const auto answer = SendRequest("/stream/x");
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(answer.mBody, body);
}

} // namespace
} // namespace sapphirespar::gateway
