// Tests of what may continue a stream: only events of a successful run that
// goes on after the last event which the caller has, whichever attempt they
// come from. Anything else leaves the stream to a sound attempt, or incomplete.
#include "forward_fixture_test.hpp"

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

const std::string kFailure = "id: 9\ndata: failure\n\n";

// Longer than a stream may be silent before another upstream is tried, by less
// than two of them may work on a request.
constexpr auto kSilence = 1150ms;

// Answers completely with these events.
upstream_handler
Answer(unsigned aStatus, const std::string& aEvents)
{
  return [=](const wire::http_request& aRequest,
             wire::http_reply& aReply) -> asio::awaitable<void> {
    co_await aReply.Begin(aStatus, EventHeaders(aRequest), aEvents);
    co_await aReply.Finish({});
  };
}

// Sends these events, none if empty, and breaks off.
upstream_handler
BreakAfter(const std::string& aEvents)
{
  return [=](const wire::http_request& aRequest,
             wire::http_reply& aReply) -> asio::awaitable<void> {
    co_await aReply.Begin(200, EventHeaders(aRequest), aEvents);
  };
}

// Sends an event, is silent, and sends the last event.
asio::awaitable<void>
SendWithSilence(const wire::http_request& aRequest, wire::http_reply& aReply)
{
  co_await aReply.Begin(200, EventHeaders(aRequest), kFirstEvent);
  co_await Sleep(kSilence);
  co_await aReply.Finish(kSecondEvent);
}

class forward_stream_join_test : public forward_fixture
{
protected:
  // Replaces the upstreams by two; the first request that reaches either of
  // them is handled by aFirst, all others by aOthers.
  void UsePair(const upstream_handler& aFirst, const upstream_handler& aOthers)
  {
    mEntries.clear();
    mArrivals.clear();
    const auto handler = [=, this](const wire::http_request& aRequest,
                                   wire::http_reply& aReply) {
      return Arrivals() == 1 ? aFirst(aRequest, aReply)
                             : aOthers(aRequest, aReply);
    };
    AddUpstream("a", handler);
    AddUpstream("b", handler);
  }

  // Sends the first event of the stream that TakeUp asks for again.
  void BeginStream()
  {
    UsePair(BreakAfter(kFirstEvent), BreakAfter({}));
    ExpectIncomplete(kFirstEvent);
  }

  wire::http_response TakeUp()
  {
    return SendRequest("/resume/x", { { std::string(kTestResume), "1" } });
  }

  unsigned Arrivals() { return mArrivals["a"] + mArrivals["b"]; }

  void ExpectWholeStream()
  {
    const auto answer = SendRequest("/resume/x");
    EXPECT_EQ(answer.mStatus, 200U);
    EXPECT_EQ(answer.mBody, kFirstEvent + kSecondEvent);
    EXPECT_EQ(Arrivals(), 2U);
  }

  // The connection ends without the end of the answer.
  void ExpectIncomplete(const std::string& aBody)
  {
    const auto answer = SendRequest("/resume/x");
    EXPECT_EQ(answer.mStatus, 0U);
    EXPECT_EQ(answer.mBody, aBody);
  }
};

TEST_F(forward_stream_join_test, ARetryGoesOnAfterTheLastEvent)
{
  Publish();
  UsePair(BreakAfter(kFirstEvent), Answer(200, kSecondEvent));
  ExpectWholeStream();
}

// The first answer was a success without events, which the caller never got.
TEST_F(forward_stream_join_test, AFailureOfARetryIsNotSentAsASuccess)
{
  Publish();
  for (const unsigned status : { 302U, 404U, 409U, 500U }) {
    SCOPED_TRACE(status);
    UsePair(BreakAfter({}), Answer(status, kFailure));
    const auto answer = SendRequest("/resume/x");
    EXPECT_EQ(answer.mStatus, status);
    EXPECT_EQ(answer.mBody, kFailure);
    EXPECT_EQ(Arrivals(), 2U);
  }
}

TEST_F(forward_stream_join_test, AnotherSuccessIsNotJoined)
{
  Publish();
  for (const unsigned status : { 202U, 204U, 206U }) {
    SCOPED_TRACE(status);
    const auto other = Answer(status, status == 204 ? "" : kSecondEvent);
    UsePair(SendWithSilence, other);
    ExpectWholeStream();
    UsePair(BreakAfter(kFirstEvent), other);
    ExpectIncomplete(kFirstEvent);
  }
}

TEST_F(forward_stream_join_test, AHeadWithoutEventsDoesNotEndTheSoundAttempt)
{
  Publish();
  UsePair(SendWithSilence, BreakAfter({}));
  ExpectWholeStream();
}

TEST_F(forward_stream_join_test, AnAnswerThatStartsAgainIsNotJoined)
{
  Publish();
  const auto fromTheStart = Answer(200, kFirstEvent + kSecondEvent);
  UsePair(SendWithSilence, fromTheStart);
  ExpectWholeStream();
  UsePair(BreakAfter(kFirstEvent), fromTheStart);
  ExpectIncomplete(kFirstEvent);
}

TEST_F(forward_stream_join_test, AStreamThatACallerTakesUpDoesNotStartAgain)
{
  Publish();
  BeginStream();
  UsePair(Answer(200, kFirstEvent + kSecondEvent), Answer(200, kSecondEvent));
  const auto answer = TakeUp();
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(answer.mBody, kSecondEvent);
}

TEST_F(forward_stream_join_test, AFailureToTakeAStreamUpKeepsItsStatus)
{
  Publish();
  BeginStream();
  UsePair(Answer(404, kFailure), Answer(200, kSecondEvent));
  const auto answer = TakeUp();
  EXPECT_EQ(answer.mStatus, 404U);
  EXPECT_EQ(answer.mBody, kFailure);
}

// Asked to go on after event 1, an upstream would send the second event again.
TEST_F(forward_stream_join_test, AnEventWithoutIdIsNotPassedOver)
{
  Publish();
  UsePair(BreakAfter(kFirstEvent + "data: b\n\n"), Answer(200, kSecondEvent));
  ExpectIncomplete(kFirstEvent + "data: b\n\n");
  EXPECT_EQ(Arrivals(), 1U);
}

} // namespace
} // namespace sapphirespar::gateway
