// Tests of pools whose upstreams run several software versions: a stream goes
// on only at the version that began it, whoever resumes it.
#include "forward_fixture_test.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

constexpr int kEvents = 4;

std::string
Event(int aNumber, const std::string& aMadeBy)
{
  return "id: " + std::to_string(aNumber) + "\ndata: " + aMadeBy + "\n\n";
}

class forward_software_version_test : public forward_fixture
{
protected:
  // Adds an upstream that streams the events after the one asked for, and
  // breaks off after the event aLast.
  void AddStreaming(const std::string& aId,
                    std::string aSoftware,
                    int aLast = kEvents)
  {
    AddUpstream(
      aId,
      [aSoftware, aLast](const wire::http_request& aRequest,
                         wire::http_reply& aReply) -> asio::awaitable<void> {
        const std::string after(aRequest.Header(kTestResume));
        std::string events;
        for (int number = after.empty() ? 1 : std::stoi(after) + 1;
             number <= aLast;
             ++number) {
          events += Event(number, aSoftware);
        }
        const bool begun =
          co_await aReply.Begin(200, Headers(aRequest), events);
        if (begun && aLast == kEvents) {
          co_await aReply.Finish();
        }
      });
    SetSoftware(aId, std::move(aSoftware));
  }

  static wire::http_headers Headers(const wire::http_request& aRequest)
  {
    return { { "Content-Type", "text/event-stream" },
             { std::string(kTestId), std::string(aRequest.Header(kTestId)) },
             { std::string(kTestSigned), "yes" } };
  }

  // Takes up the stream of the request "r1" after an event.
  wire::http_response TakeUp(int aAfter, const std::string& aResumedId = "r1")
  {
    return SendRequest("/resume/x",
                       { { std::string(kTestResume), std::to_string(aAfter) },
                         { std::string(kTestResumedId), aResumedId } });
  }
};

TEST_F(forward_software_version_test, AnAnswerGoesOnAtItsVersionOnly)
{
  Publish();
  AddStreaming("a", "v1", 2);
  AddStreaming("b", "v2");
  AddStreaming("c", "v1");
  const auto answer = SendRequest("/resume/x");
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(answer.mBody,
            Event(1, "v1") + Event(2, "v1") + Event(3, "v1") + Event(4, "v1"));
  EXPECT_EQ(mArrivals["b"], 0U);
}

TEST_F(forward_software_version_test, AnAnswerIsBrokenOffWithoutItsVersion)
{
  Publish();
  AddStreaming("a", "v1", 2);
  AddStreaming("b", "v2");
  const auto answer = SendRequest("/resume/x");
  EXPECT_EQ(answer.mStatus, 0U);
  EXPECT_EQ(answer.mBody, Event(1, "v1") + Event(2, "v1"));
  EXPECT_EQ(mArrivals["b"], 0U);
}

TEST_F(forward_software_version_test, AStreamThatIsTakenUpGoesToItsVersion)
{
  Publish();
  AddStreaming("a", "v1", 2);
  AddStreaming("b", "v2");
  SendRequest("/resume/x");
  RemoveEntry("a");
  AddStreaming("c", "v1");
  mArrivals.clear();
  const auto answer = TakeUp(2);
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(answer.mBody, Event(3, "v1") + Event(4, "v1"));
  EXPECT_EQ(mArrivals["b"], 0U);
}

TEST_F(forward_software_version_test, AStreamWhoseVersionIsGoneIsRefused)
{
  Publish();
  AddStreaming("a", "v1", 2);
  AddStreaming("b", "v2");
  SendRequest("/resume/x");
  RemoveEntry("a");
  mArrivals.clear();
  EXPECT_EQ(TakeUp(2).mStatus, 503U);
  EXPECT_EQ(mArrivals["b"], 0U);
}

TEST_F(forward_software_version_test, AStreamOfUnknownVersionIsRefused)
{
  Publish();
  AddStreaming("a", "v1");
  AddStreaming("b", "v2");
  const auto answer = TakeUp(2, "unknown");
  EXPECT_EQ(answer.mStatus, 503U);
  EXPECT_EQ(mArrivals["a"] + mArrivals["b"], 0U);
}

TEST_F(forward_software_version_test, AStreamBegunAtAnotherGatewayIsAskedFor)
{
  Publish();
  AddStreaming("a", "v1");
  AddStreaming("b", "v2");
  mKeepers = { "peer-1", "peer-2" };
  mSendStreams = [this](const std::string& aTo, const stream_message& aAsked) {
    // The first keeper never answers, the second one on the next turn.
    if (aTo == "peer-2" && !aAsked.mAsked.empty()) {
      asio::post(mContext, [this, stream = aAsked.mAsked.front()] {
        stream_message answer;
        answer.mTold = {
          { stream, PoolKey("pool"), SoftwareKey(mEntries.back()), 10s }
        };
        mStreams.OnMessage("peer-2", answer);
      });
    }
  };
  const auto answer = TakeUp(2);
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(answer.mBody, Event(3, "v2") + Event(4, "v2"));
  EXPECT_EQ(mArrivals["a"], 0U);
}

TEST_F(forward_software_version_test,
       AStreamThatNoGatewayKnowsIsReadFromTheStore)
{
  Publish();
  AddStreaming("a", "v1");
  AddStreaming("b", "v2");
  mServices->mFindArchived = [this](std::uint64_t aStream,
                                    stream_archive::versions_callback aDone) {
    asio::post(mContext, [this, aStream, done = std::move(aDone)] {
      const bool known = aStream == StreamKey("r1");
      const pool_software version{ PoolKey("pool"),
                                   SoftwareKey(mEntries.back()) };
      done(known ? std::vector{ version } : std::vector<pool_software>{});
    });
  };
  const auto answer = TakeUp(2);
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(answer.mBody, Event(3, "v2") + Event(4, "v2"));
  EXPECT_EQ(TakeUp(2, "unknown").mStatus, 503U);
  EXPECT_EQ(mArrivals["a"], 0U);
}

TEST_F(forward_software_version_test, AStoreThatIsSilentDelaysARefusalShortly)
{
  Publish();
  AddStreaming("a", "v1");
  AddStreaming("b", "v2");
  std::vector<stream_archive::versions_callback> waiting;
  mServices->mFindArchived = [&](std::uint64_t,
                                 stream_archive::versions_callback aDone) {
    waiting.push_back(std::move(aDone));
  };
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(TakeUp(2).mStatus, 503U);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 700ms);
  // An answer that comes later finds nobody.
  ASSERT_EQ(waiting.size(), 1U);
  waiting.front()({});
}

TEST_F(forward_software_version_test, ASilentKeeperDelaysARefusalOnlyShortly)
{
  Publish();
  AddStreaming("a", "v1");
  AddStreaming("b", "v2");
  mKeepers = { "peer-1" };
  unsigned asked = 0;
  mSendStreams = [&](const std::string&, const stream_message&) { ++asked; };
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(TakeUp(2).mStatus, 503U);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 500ms);
  EXPECT_GT(asked, 2U);
}

TEST_F(forward_software_version_test, ABegunStreamIsToldToItsKeepers)
{
  Publish();
  AddStreaming("a", "v1", 2);
  mKeepers = { "peer-1" };
  std::vector<stream_version> told;
  mSendStreams = [&](const std::string&, const stream_message& aMessage) {
    told.insert(told.end(), aMessage.mTold.begin(), aMessage.mTold.end());
  };
  SendRequest("/resume/x");
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told[0].mStream, StreamKey("r1"));
  EXPECT_EQ(told[0].mSoftware, SoftwareKey(mEntries[0]));
}

TEST_F(forward_software_version_test, NoOtherVersionIsTriedBesideASilentOne)
{
  static constexpr auto kSilence = 1300ms;
  Publish();
  AddUpstream("a",
              [this](const wire::http_request& aRequest,
                     wire::http_reply& aReply) -> asio::awaitable<void> {
                co_await aReply.Begin(200, Headers(aRequest), Event(1, "v1"));
                asio::steady_timer timer(mContext, kSilence);
                co_await timer.async_wait(asio::use_awaitable);
                co_await aReply.Finish(Event(2, "v1"));
              });
  SetSoftware("a", "v1");
  AddStreaming("b", "v2");
  const auto answer = SendRequest("/resume/x");
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(answer.mBody, Event(1, "v1") + Event(2, "v1"));
  EXPECT_EQ(mArrivals["b"], 0U);
}

} // namespace
} // namespace sapphirespar::gateway
