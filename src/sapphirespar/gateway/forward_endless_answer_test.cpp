// Tests of answers whose bytes don't end, at each place of an answer, with each
// framing, fast and trickled: the caller has a final answer, or a closed
// stream, by the route's timeout.
#include "raw_upstream_test.hpp"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kRouteTimeout{ 400 };
// How much later an answer may come while all cases run at once.
constexpr milliseconds kTolerance{ 200 };
// When the upstream stops if the gateway goes on reading.
constexpr milliseconds kUpstreamPatience{ 1500 };

// Limits of the gateway, and what the sockets buffer at most.
constexpr std::size_t kEventBytes = 64 * 1024;
constexpr std::size_t kMemoryBytes = 4 * 1024 * 1024;
constexpr std::size_t kSocketBytes = 12 * 1024 * 1024;

// Stands before the number of a case in a path.
constexpr std::string_view kMark = "case-";

// What an upstream sends: first mHead, then mPiece again and again.
struct endless_answer
{
  std::string mName;
  std::string mPath;
  std::string mHead;
  std::string mPiece;
};

const std::string kStatusLine = "HTTP/1.1 200 OK\r\n";
const std::string kSigned = "Id: r1\r\nSigned: yes\r\n";

struct framing
{
  std::string mName;
  // Its header, the rest of the head and the start of the body.
  std::string mHeader;
  // Makes a part of the body.
  std::string (*mEncode)(const std::string&);
};

std::string
AsIs(const std::string& aText)
{
  return aText;
}

// The parts are shorter than ten bytes.
std::string
AsChunk(const std::string& aText)
{
  return std::to_string(aText.size()) + "\r\n" + aText + "\r\n";
}

// Just below the limit of a plain answer.
constexpr std::size_t kLengthBytes = 16'000'000;

const std::vector<framing> kFramings = {
  { "length",
    "Content-Length: " + std::to_string(kLengthBytes) + "\r\n\r\n",
    AsIs },
  { "chunked", "Transfer-Encoding: chunked\r\n\r\n", AsChunk },
  { "close", "\r\n", AsIs },
};

// Bodies, with a place for each kind of answer that the gateway treats in its
// own way.
void
AddBodies(const std::string& aPath,
          const framing& aFraming,
          std::vector<endless_answer>& aInto)
{
  const auto add = [&](const std::string& aName,
                       const std::string& aHead,
                       const std::string& aStart,
                       const std::string& aPiece) {
    auto head = aHead + aFraming.mHeader;
    head += aStart.empty() ? "" : aFraming.mEncode(aStart);
    aInto.push_back({ aPath + " " + aName + ", " + aFraming.mName,
                      aPath,
                      std::move(head),
                      aFraming.mEncode(aPiece) });
  };
  add("plain answer", kStatusLine + kSigned, "", "a");
  add("failed answer", "HTTP/1.1 500 No\r\n" + kSigned, "", "a");
  add("refusal", "HTTP/1.1 503 No\r\n" + kSigned + "Not-Run: 1\r\n", "", "a");
  add("stale answer", kStatusLine + "Id: r0\r\nSigned: yes\r\n", "", "a");
  const auto stream =
    kStatusLine + kSigned + "Content-Type: text/event-stream\r\n";
  add("line", stream, "data: ", "a");
  add("event", stream, "id: 1\n", "data: a\n");
  add("comments", stream, "", ": c\n\n");
  add("comment", stream, ": c", "c");
  add("blank lines", stream, "", "\n");
}

std::vector<endless_answer>
EndlessAnswers()
{
  std::vector<endless_answer> answers;
  for (const std::string path :
       { "/safe/", "/stream/", "/resume/", "/once/" }) {
    const auto add =
      [&](std::string aName, std::string aHead, std::string aPiece) {
        answers.push_back(
          { path + " " + aName, path, std::move(aHead), std::move(aPiece) });
      };
    const auto chunked =
      kStatusLine + kSigned + "Transfer-Encoding: chunked\r\n\r\n";
    add("status line", "HTTP/1.1 200 ", "O");
    add("header", kStatusLine + "A: ", "a");
    add("headers", kStatusLine, "A: b\r\n");
    add("interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n");
    add("stale answers",
        "",
        kStatusLine + "Id: r0\r\nSigned: yes\r\nContent-Length: 0\r\n\r\n");
    add("chunk extension", chunked + "1;a=", "a");
    add("trailers", chunked + "0\r\n", "A: b\r\n");
    for (const auto& each : kFramings) {
      AddBodies(path, each, answers);
    }
  }
  return answers;
}

class forward_endless_answer_test : public forward_fixture
{
protected:
  forward_endless_answer_test()
  {
    for (auto& each : mRoutes) {
      each.mTimeout = kRouteTimeout;
    }
    mRoutes.push_back(mRoutes[2]);
    mRoutes.back().mName = "/other/";
    mRoutes.back().mPathPrefix = "/other/";
    mRoutes.back().mPools = { { "other", 1 } };
    Publish();
    const auto script = [this](asio::ip::tcp::socket aSocket) {
      return Serve(this, std::move(aSocket));
    };
    mServices->mEventLimitBytes = kEventBytes;
    mServices->mAnswerMemory = std::make_shared<memory_budget>(kMemoryBytes);
    mPort = ServeConnections(mContext, script);
    AddUpstreams();
  }

  // Replaces the upstreams by new ones that haven't failed: one for the cases
  // and one for the other request.
  void AddUpstreams()
  {
    mEntries.clear();
    AddEntry("b" + std::to_string(mRound), mPort);
    mEntries.back().mPool = "other";
    AddEntry("a" + std::to_string(mRound), mPort);
    ++mRound;
  }

  // Sends the answer whose number the path ends with. A path without a number
  // is answered at once.
  static asio::awaitable<void> Serve(forward_endless_answer_test* aSelf,
                                     asio::ip::tcp::socket aSocket)
  {
    const auto request = co_await ReadRequestHead(aSocket);
    const auto mark = request.find(kMark);
    if (mark == std::string::npos) {
      co_await WriteBytes(aSocket,
                          kStatusLine + kSigned +
                            "Content-Length: 2\r\nConnection: close\r\n\r\nok");
      co_return;
    }
    ++aSelf->mReached;
    const auto& answer =
      aSelf->mAnswers.at(std::stoul(request.substr(mark + kMark.size())));
    const auto patience = steady_clock::now() + kUpstreamPatience;
    constexpr std::size_t kFastBytes = 64 * 1024;
    auto bytes = answer.mHead;
    std::size_t sent = 0;
    asio::steady_timer timer(aSelf->mContext);
    while (steady_clock::now() < patience) {
      do {
        bytes += answer.mPiece;
      } while (aSelf->mPause == 0ms && bytes.size() < kFastBytes);
      if (!co_await WriteBytes(aSocket, bytes)) {
        co_return;
      }
      sent += bytes.size();
      aSelf->mMostSent = std::max(aSelf->mMostSent, sent);
      bytes.clear();
      timer.expires_after(aSelf->mPause);
      co_await timer.async_wait(kAsTuple);
    }
  }

  struct asked
  {
    wire::http_response mAnswer;
    // Whether the answer was complete.
    bool mWhole = false;
    milliseconds mTook{ 0 };
  };

  static asio::awaitable<void> Ask(forward_endless_answer_test* aSelf,
                                   std::string aPath,
                                   asked& aInto)
  {
    const auto begin = steady_clock::now();
    wire::http_request request{ "POST", std::move(aPath), {}, {} };
    request.mHeaders = { { "Host", "h" },
                         { std::string(kTestKey), "k1" },
                         { std::string(kTestId), "r1" } };
    auto answer =
      co_await aSelf->mCaller->Fetch(aSelf->Gateway(), request, 10s);
    aInto.mWhole = answer.has_value();
    if (answer) {
      aInto.mAnswer = std::move(answer).value();
    }
    aInto.mTook =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin);
    --aSelf->mAsking;
  }

  // Asks for aCount answers from aFirst on at once and, while they go on, for
  // one that ends.
  static asio::awaitable<void> AskForAll(forward_endless_answer_test* aSelf,
                                         std::size_t aFirst,
                                         std::size_t aCount,
                                         std::vector<asked>& aInto,
                                         asked& aOther)
  {
    for (std::size_t i = aFirst; i < aFirst + aCount; ++i) {
      const auto path =
        aSelf->mAnswers[i].mPath + std::string(kMark) + std::to_string(i);
      ++aSelf->mAsking;
      asio::co_spawn(
        aSelf->mContext, Ask(aSelf, path, aInto[i - aFirst]), asio::detached);
    }
    asio::steady_timer timer(aSelf->mContext, kRouteTimeout / 4);
    co_await timer.async_wait(kAsTuple);
    ++aSelf->mAsking;
    co_await Ask(aSelf, "/other/x", aOther);
    while (aSelf->mAsking > 0) {
      timer.expires_after(5ms);
      co_await timer.async_wait(kAsTuple);
    }
  }

  void Check(const std::string& aName, const asked& aAsked) const
  {
    SCOPED_TRACE(aName + (mPause == 0ms ? ", fast" : ", trickled"));
    EXPECT_LT(aAsked.mTook, kRouteTimeout + kTolerance);
    // Either the gateway's own answer, or one that is visibly incomplete, or
    // one that came to its end.
    if (aAsked.mWhole && aAsked.mAnswer.mBody.size() < kLengthBytes) {
      EXPECT_GE(aAsked.mAnswer.mStatus, 500U);
    }
  }

  // Runs the cases aCount at a time.
  void RunAll(std::size_t aCount)
  {
    for (std::size_t first = 0; first < mAnswers.size(); first += aCount) {
      const auto count = std::min(aCount, mAnswers.size() - first);
      AddUpstreams();
      mReached = 0;
      std::vector<asked> all(count);
      asked other;
      Run(AskForAll(this, first, count, all, other));
      for (std::size_t i = 0; i < count; ++i) {
        Check(mAnswers[first + i].mName, all[i]);
      }
      EXPECT_GE(mReached, count);
      EXPECT_EQ(other.mAnswer.mStatus, 200U);
      EXPECT_LT(other.mTook, kTolerance);
      EXPECT_EQ(mServices->mAnswerMemory->Taken(), 0U);
    }
    EXPECT_LE(mServices->mAnswerMemory->Peak(), kMemoryBytes);
    EXPECT_LT(mMostSent, kMemoryBytes + kSocketBytes);
  }

  const std::vector<endless_answer> mAnswers = EndlessAnswers();
  // Between the pieces of an answer.
  milliseconds mPause{ 0 };
  // The most bytes of a case that the upstream could send.
  std::size_t mMostSent = 0;
  std::uint16_t mPort = 0;
  unsigned mRound = 0;
  // Number of cases whose request has reached the upstream.
  std::size_t mReached = 0;
  unsigned mAsking = 0;
};

TEST_F(forward_endless_answer_test,
       Fault_EndlessBytes_Request_Stream_TrickledBytesEndByTheRoutesTimeout)
{
  mPause = 20ms;
  RunAll(mAnswers.size());
}

TEST_F(forward_endless_answer_test,
       Fault_EndlessBytes_Request_Stream_FastBytesEndByTheRoutesTimeout)
{
  constexpr std::size_t kAtOnce = 34;
  RunAll(kAtOnce);
}

} // namespace
} // namespace sapphirespar::gateway
