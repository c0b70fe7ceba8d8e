// Tests of streams whose engine is taken away before they end: their runs move
// to another engine, no event is missing or comes twice, and no two engines
// work on a run, whichever call fails.
#include "raw_upstream_test.hpp"

#include <algorithm>
#include <thread>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

constexpr unsigned kEvents = 12;
constexpr auto kGap = 40ms;

std::string
EventText(unsigned aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: x\n\n";
}

std::string
WholeStream()
{
  std::string text;
  for (unsigned number = 1; number <= kEvents; ++number) {
    text += EventText(number);
  }
  return text;
}

wire::http_response
Reply(unsigned aStatus, std::string aBody)
{
  wire::http_response response;
  response.mStatus = aStatus;
  response.mBody = std::move(aBody);
  return response;
}

// What an engine does with a call that is to move a run.
enum class move_script
{
  Works,
  // There is no room for the copy.
  NoRoom,
  // The run stops, and the reply to the call is lost.
  StopsSilently,
  // The run goes on, and the reply to the call is lost.
  GoesOn,
  // The call arrives when the run has ended.
  Late,
};

// An engine that sends numbered events.
struct engine
{
  move_script mScript = move_script::Works;
  // "copy", "stop" and "free", as they arrived.
  std::vector<std::string> mCalls;
  // What each run names as the copy that it goes on from.
  std::vector<std::string> mCopies;
  unsigned mStateQueries = 0;
  // In milliseconds; empty if it tells nothing.
  std::string mLeavesIn = "300";
  bool mStopped = false;
  bool mRefusesCopies = false;
  // Called when a run has sent its first event.
  std::function<void()> mOnBegin = [] {};

  unsigned Count(std::string_view aCall) const
  {
    return static_cast<unsigned>(std::ranges::count(mCalls, aCall));
  }
};

class forward_stream_move_test : public forward_fixture
{
protected:
  forward_stream_move_test()
  {
    mEngine = engine_traits{ 4, 100000, 1, true };
    mRoutes[0].mMaximumAttempts = 1;
    Publish();
    AddEngine("a", mSource);
    mSource.mOnBegin = [this] {
      AddEngine("b", mDestination);
      Reclaim("a");
    };
  }

  void AddEngine(const std::string& aId, engine& aEngine)
  {
    AddUpstream(
      aId,
      [this, &aEngine](const wire::http_request& aRequest,
                       wire::http_reply& aReply) -> asio::awaitable<void> {
        if (aRequest.mTarget == kTestStatePath) {
          ++aEngine.mStateQueries;
          co_await Send(aReply, 200, aEngine.mLeavesIn);
        } else if (aRequest.mTarget == kTestMovePath) {
          co_await ServeMove(aEngine, aRequest, aReply);
        } else if (aRequest.mMethod == "DELETE") {
          aEngine.mCalls.emplace_back("free");
          co_await Send(aReply, 200, {});
        } else {
          co_await ServeRun(aEngine, aRequest, aReply);
        }
      });
  }

  static asio::awaitable<void> ServeMove(engine& aEngine,
                                         const wire::http_request& aRequest,
                                         wire::http_reply& aReply)
  {
    const bool stops = aRequest.Header(kTestStops) == "yes";
    aEngine.mCalls.emplace_back(stops ? "stop" : "copy");
    if (!stops) {
      const bool full = aEngine.mScript == move_script::NoRoom;
      co_await Send(aReply, full ? 503 : 200, full ? "" : "h1");
      co_return;
    }
    switch (aEngine.mScript) {
      case move_script::StopsSilently:
        aEngine.mStopped = true;
        break;
      case move_script::Late:
        co_await Sleep(kEvents * kGap);
        co_await Send(aReply, 404, {});
        break;
      case move_script::GoesOn:
        break;
      default:
        aEngine.mStopped = true;
        co_await Send(aReply, 200, "h1");
    }
  }

  static asio::awaitable<void> Send(wire::http_reply& aReply,
                                    unsigned aStatus,
                                    std::string aBody)
  {
    auto response = Reply(aStatus, std::move(aBody));
    co_await aReply.Send(std::move(response));
  }

  asio::awaitable<void> ServeRun(engine& aEngine,
                                 const wire::http_request& aRequest,
                                 wire::http_reply& aReply)
  {
    aEngine.mCopies.emplace_back(aRequest.Header(kTestCopy));
    if (aEngine.mRefusesCopies && !aEngine.mCopies.back().empty()) {
      auto refusal = Reply(503, {});
      refusal.mHeaders = { { std::string(kTestNotRun), "yes" } };
      co_await aReply.Send(std::move(refusal));
      co_return;
    }
    const std::string after(aRequest.Header(kTestResume));
    const unsigned first = after.empty() ? 0 : std::stoul(after);
    co_await aReply.Begin(200, EventHeaders(aRequest), EventText(first + 1));
    aEngine.mOnBegin();
    for (unsigned number = first + 2; number <= kEvents; ++number) {
      co_await Sleep(kGap);
      if (aEngine.mStopped) {
        co_return;
      }
      if (!co_await aReply.Write(EventText(number))) {
        co_return;
      }
    }
    co_await aReply.Finish({});
  }

  void ExpectWhole(const std::string& aPath, wire::http_headers aMore = {})
  {
    const auto answer = SendRequest(aPath, std::move(aMore));
    EXPECT_EQ(answer.mStatus, 200U);
    EXPECT_EQ(answer.mBody, WholeStream());
  }

  void ExpectIncomplete(const std::string& aPath)
  {
    const auto answer = SendRequest(aPath);
    EXPECT_EQ(answer.mStatus, 0U);
    EXPECT_TRUE(WholeStream().starts_with(answer.mBody));
  }

  // Sends a request and disconnects once its run is being moved.
  asio::awaitable<void> LeaveDuringTheMove()
  {
    wire::http_request request;
    request.mMethod = "POST";
    request.mTarget = "/stream/x";
    request.mHeaders = { { "Host", "h" },
                         { std::string(kTestKey), "k1" },
                         { std::string(kTestId), "r1" } };
    auto opened = co_await mCaller->Open(Gateway(), std::move(request), 5s);
    while (mSource.Count("copy") == 0) {
      co_await Sleep(5ms);
    }
    opened.value().reset();
    co_await Sleep(500ms);
  }

  // Runs that began at the destination.
  unsigned Continued() const
  {
    return static_cast<unsigned>(mDestination.mCopies.size());
  }

  engine mSource;
  engine mDestination;
};

TEST_F(forward_stream_move_test, AStreamGoesOnAtAnotherEngine)
{
  unsigned counted = 0;
  mServices->mCountUsage = [&](const account_id&, steady_time) { ++counted; };
  ExpectWhole("/stream/x");
  EXPECT_EQ(mSource.mCalls, (std::vector<std::string>{ "copy", "stop" }));
  ASSERT_EQ(Continued(), 1U);
  const auto address =
    "127.0.0.1:" + std::to_string(mEntries.front().mPort) + "/h1";
  EXPECT_EQ(mDestination.mCopies.front(), address);
  EXPECT_EQ(counted, 1U) << "it is one run for its account";
}

TEST_F(forward_stream_move_test, AStreamThatMayBeResumedIsMovedToo)
{
  ExpectWhole("/resume/x");
  EXPECT_EQ(mSource.Count("stop"), 1U);
  EXPECT_EQ(Continued(), 1U);
}

TEST_F(forward_stream_move_test, AStreamThatEndsInTimeStays)
{
  mSource.mOnBegin = [this] {
    AddEngine("b", mDestination);
    Reclaim("a");
    mSource.mLeavesIn = "60000";
  };
  ExpectWhole("/stream/x", { { std::string(kTestOutputTokens), "12" } });
  EXPECT_TRUE(mSource.mCalls.empty());
  EXPECT_EQ(Continued(), 0U);
}

TEST_F(forward_stream_move_test, NothingMovesFromAnEngineThatTellsNoTime)
{
  mSource.mLeavesIn.clear();
  ExpectWhole("/stream/x");
  EXPECT_TRUE(mSource.mCalls.empty());
  EXPECT_EQ(mSource.mStateQueries, 2U);
}

TEST_F(forward_stream_move_test, NothingMovesUnlessTheEnginesOfferIt)
{
  mEngine->mMovesRuns = false;
  Publish(2);
  ExpectWhole("/stream/x");
  EXPECT_TRUE(mSource.mCalls.empty());
}

TEST_F(forward_stream_move_test, NothingMovesWithoutRoom)
{
  mSource.mScript = move_script::NoRoom;
  ExpectWhole("/stream/x");
  EXPECT_GE(mSource.Count("copy"), 1U);
  EXPECT_LE(mSource.Count("copy"), 3U);
  EXPECT_EQ(mSource.Count("stop"), 0U);
  EXPECT_EQ(Continued(), 0U);
}

TEST_F(forward_stream_move_test, NothingMovesBeyondTheRetryBudget)
{
  mRetries.SetLimits({ 0, 0, 10s });
  ExpectWhole("/stream/x");
  EXPECT_TRUE(mSource.mCalls.empty());
}

// The end of the run reaches the gateway before the reply to the call.
TEST_F(forward_stream_move_test, ARunThatEndsFirstIsComplete)
{
  mSource.mScript = move_script::Late;
  ExpectWhole("/stream/x");
  Pause(kEvents * kGap);
  EXPECT_EQ(Continued(), 0U);
  EXPECT_EQ(mSource.Count("free"), 1U);
}

// The run may still be at work, so it goes on nowhere else.
TEST_F(forward_stream_move_test,
       Fault_AnswerLost_Request_Stream_ARunThatGoesOnIsNotSentElsewhere)
{
  mSource.mScript = move_script::GoesOn;
  ExpectWhole("/stream/x");
  EXPECT_EQ(Continued(), 0U);
}

TEST_F(forward_stream_move_test,
       Fault_AnswerLost_Request_Stream_ARunThatMayHaveStoppedIsNotSentElsewhere)
{
  mSource.mScript = move_script::StopsSilently;
  ExpectIncomplete("/stream/x");
  EXPECT_EQ(Continued(), 0U);
}

TEST_F(forward_stream_move_test,
       Fault_AnswerLost_Request_Stream_AStreamThatMayBeResumedGoesOn)
{
  mSource.mScript = move_script::StopsSilently;
  ExpectWhole("/resume/x");
  ASSERT_EQ(Continued(), 1U);
  EXPECT_EQ(mDestination.mCopies.front(), "");
}

TEST_F(forward_stream_move_test, ARefusedCopyEndsAStreamThatCanNotBeResumed)
{
  mDestination.mRefusesCopies = true;
  ExpectIncomplete("/stream/x");
  EXPECT_EQ(Continued(), 1U);
}

// The process was paused between the copy and the stop. The copy may have
// expired, so the run goes on.
TEST_F(forward_stream_move_test,
       Fault_PausePastLease_Request_Stream_ARunIsNotStoppedForAnOldCopy)
{
  mProtocol.mMoveRequest =
    [make = mProtocol.mMoveRequest](const run_move_call& aCall) {
      if (aCall.mStops) {
        std::this_thread::sleep_for(1600ms);
      }
      return make(aCall);
    };
  ExpectWhole("/stream/x");
  EXPECT_EQ(mSource.Count("stop"), 0U);
  EXPECT_EQ(Continued(), 0U);
}

// Without a length or chunks, the end of the connection would be the end of the
// answer.
TEST_F(forward_stream_move_test, AStopIsNotTakenForTheEndOfAnAnswer)
{
  mEntries.clear();
  const connection_script script =
    [this](asio::ip::tcp::socket aSocket) -> asio::awaitable<void> {
    const auto head = co_await ReadRequestHead(aSocket);
    if (head.starts_with("GET " + std::string(kTestStatePath))) {
      co_await WriteBytes(aSocket,
                          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n300");
      co_return;
    }
    if (head.starts_with("POST " + std::string(kTestMovePath))) {
      const bool stops =
        head.find(std::string(kTestStops) + ": yes") != std::string::npos;
      mSource.mCalls.emplace_back(stops ? "stop" : "copy");
      mSource.mStopped = stops;
      co_await WriteBytes(aSocket,
                          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1");
      co_return;
    }
    co_await WriteBytes(aSocket,
                        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        "Id: r1\r\nSigned: yes\r\n\r\n" +
                          EventText(1));
    mSource.mOnBegin();
    for (unsigned number = 2; number <= kEvents && !mSource.mStopped;
         ++number) {
      co_await Sleep(kGap);
      co_await WriteBytes(aSocket, EventText(number));
    }
  };
  AddEntry("a", ServeConnections(mContext, script));
  ExpectWhole("/stream/x");
  EXPECT_EQ(mSource.Count("stop"), 1U);
  EXPECT_EQ(Continued(), 1U);
}

TEST_F(forward_stream_move_test, ACallerThatLeavesFreesTheCopy)
{
  Run(LeaveDuringTheMove());
  EXPECT_EQ(mSource.Count("free"), 1U);
  EXPECT_EQ(Continued(), 0U);
}

} // namespace
} // namespace sapphirespar::gateway
