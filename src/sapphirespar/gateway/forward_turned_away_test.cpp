// Tests of upstreams that say in their answers that they are shutting down or
// want no requests for some time: no later request reaches them, and none is
// lost that another upstream can take.
#include "forward_fixture_test.hpp"

#include <boost/asio/post.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

class forward_turned_away_test : public forward_fixture
{
protected:
  // Answers with success and this further header.
  static upstream_handler Succeeds(wire::http_header aMore)
  {
    return [=](const wire::http_request& aRequest,
               wire::http_reply& aReply) -> asio::awaitable<void> {
      auto answer = SignedAnswer(aRequest, 200, "body");
      answer.mHeaders.push_back(aMore);
      co_await aReply.Send(std::move(answer));
    };
  }

  // Turns requests away for this long.
  static upstream_handler TurnsAway(const std::string& aMs)
  {
    return [=](const wire::http_request& aRequest,
               wire::http_reply& aReply) -> asio::awaitable<void> {
      auto answer = SignedAnswer(aRequest, 503, "");
      answer.mHeaders.push_back({ std::string(kTestNotRun), "1" });
      answer.mHeaders.push_back({ std::string(kTestRetryAfter), aMs });
      co_await aReply.Send(std::move(answer));
    };
  }

  static wire::http_header Leaving() { return { "Leaving", "1" }; }
  static wire::http_header Nothing() { return { "Other", "1" }; }
};

TEST_F(forward_turned_away_test, ALeavingUpstreamGetsNoLaterRequest)
{
  Publish();
  AddUpstream("a", Succeeds(Leaving()));
  EXPECT_EQ(SendRequest("/safe/x").mStatus, 200U);
  EXPECT_EQ(SendRequest("/safe/x").mStatus, 503U);
  AddUpstream("b", Succeeds(Nothing()));
  for (int count = 0; count < 10; ++count) {
    EXPECT_EQ(SendRequest("/once/x").mStatus, 200U);
  }
  EXPECT_EQ(mArrivals["a"], 1U);
  EXPECT_EQ(mArrivals["b"], 10U);
}

TEST_F(forward_turned_away_test, AnUpstreamLeavesAlsoByAStreamOrARefusal)
{
  Publish();
  AddUpstream("a",
              [](const wire::http_request& aRequest,
                 wire::http_reply& aReply) -> asio::awaitable<void> {
                auto headers = SignedAnswer(aRequest, 200, "").mHeaders;
                headers.push_back({ "Content-Type", "text/event-stream" });
                headers.push_back(Leaving());
                co_await aReply.Begin(200, headers, "data: a\n\n");
                co_await Sleep(20ms);
                co_await aReply.Finish("data: b\n\n");
              });
  AddUpstream(
    "b",
    [](const wire::http_request&,
       wire::http_reply& aReply) -> asio::awaitable<void> {
      wire::http_response response;
      response.mStatus = 503;
      response.mHeaders = { { std::string(kTestNotRun), "1" }, Leaving() };
      co_await aReply.Send(std::move(response));
    });
  // The stream in progress ends as before.
  while (mArrivals["a"] == 0) {
    const auto answer = SendRequest("/stream/x");
    EXPECT_TRUE(answer.mStatus == 503 ||
                answer.mBody == "data: a\n\ndata: b\n\n");
  }
  SendRequest("/stream/x");
  EXPECT_EQ(SendRequest("/stream/x").mStatus, 503U);
  EXPECT_EQ(mArrivals["a"], 1U);
  EXPECT_LE(mArrivals["b"], 1U);
}

TEST_F(forward_turned_away_test, LeavingIsRememberedWhileTheEntryIsMissing)
{
  Publish();
  AddUpstream("a", Succeeds(Leaving()));
  EXPECT_EQ(SendRequest("/safe/x").mStatus, 200U);
  mUpstreams.ApplyList({}, list_completeness::Complete);
  mUpstreams.ApplyList(mEntries, list_completeness::Complete);
  EXPECT_EQ(SendRequest("/safe/x").mStatus, 503U);
  EXPECT_EQ(mArrivals["a"], 1U);
  // A new incarnation has not said so.
  mEntries[0].mStartedAtMs = 7;
  mUpstreams.ApplyList(mEntries, list_completeness::Complete);
  EXPECT_EQ(SendRequest("/safe/x").mStatus, 200U);
}

TEST_F(forward_turned_away_test, AnUpstreamThatTurnsAwayIsLeftAloneForItsTime)
{
  Publish();
  AddUpstream("a", TurnsAway("300"));
  AddUpstream("b", Succeeds(Nothing()));
  for (int count = 0; count < 20; ++count) {
    EXPECT_EQ(SendRequest("/once/x").mStatus, 200U);
  }
  EXPECT_LE(mArrivals["a"], 1U);
  // Without the other upstream, whose requests don't fail, it is used again.
  mEntries.pop_back();
  mUpstreams.ApplyList(mEntries, list_completeness::Complete);
  Run(Sleep(320ms));
  SendRequest("/once/x");
  EXPECT_EQ(mArrivals["a"], 2U);
}

// The other upstream's failures make the health of both alike, so that only
// the refusal keeps requests away.
TEST_F(forward_turned_away_test, ARefusalCountsBesideAFailingUpstream)
{
  Publish();
  AddUpstream("a", TurnsAway("20000"));
  AddUpstream("b",
              [](const wire::http_request& aRequest,
                 wire::http_reply& aReply) -> asio::awaitable<void> {
                co_await aReply.Send(SignedAnswer(aRequest, 500, "broken"));
              });
  for (int count = 0; count < 20; ++count) {
    SendRequest("/safe/x");
  }
  EXPECT_EQ(mArrivals["a"], 1U);
}

TEST_F(forward_turned_away_test, CallersAreToldWhenTheFirstUpstreamReturns)
{
  Publish();
  AddUpstream("a", TurnsAway("20000"));
  AddUpstream("b", TurnsAway("4000"));
  const auto seconds = [](const wire::http_response& aAnswer) {
    double number = 0;
    const auto text = aAnswer.Header("Retry-After");
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
  };
  for (int count = 0; count < 4; ++count) {
    const auto answer = SendRequest("/once/x");
    EXPECT_EQ(answer.mStatus, 503U);
    EXPECT_GT(seconds(answer), 3);
    EXPECT_LE(seconds(answer), 4.1);
  }
  EXPECT_EQ(mArrivals["a"], 1U);
  EXPECT_EQ(mArrivals["b"], 1U);
}

TEST_F(forward_turned_away_test,
       ARequestIsWithdrawnFromAnUpstreamWhileItConnects)
{
  Publish();
  for (const std::string id : { "a", "b" }) {
    AddUpstream(id,
                [](const wire::http_request& aRequest,
                   wire::http_reply& aReply) -> asio::awaitable<void> {
                  co_await aReply.Send(SignedAnswer(aRequest, 200, "body"));
                });
  }
  unsigned placements = 0;
  mRefreshLoads = [&] {
    if (++placements == 1) {
      // Runs once the request is connecting to the first upstream.
      asio::post(mContext, [this] {
        mUpstreams.NoteLeaving(mUpstreams.Members("pool").front()->mKey,
                               "peer");
      });
    }
  };
  EXPECT_EQ(SendRequest("/once/x").mBody, "body");
  EXPECT_EQ(placements, 2U);
  EXPECT_EQ(mArrivals["a"] + mArrivals["b"], 1U);
  EXPECT_EQ(mArrivals[mUpstreams.Members("pool").front()->mEntry.mId.mText],
            1U);
}

} // namespace
} // namespace sapphirespar::gateway
