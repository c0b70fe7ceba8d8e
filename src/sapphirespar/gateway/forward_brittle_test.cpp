// Tests of upstreams that fall over if they have to turn too many requests away
// in a second: callers in excess are not sent to them.
#include "forward_fixture_test.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

constexpr unsigned kTolerated = 3;

class forward_brittle_test : public forward_fixture
{
protected:
  // Adds an upstream that says that it is brittle. It takes aSlots requests at
  // a time, for 50 ms each, and turns away the others.
  void AddBrittle(const std::string& aId, int aSlots)
  {
    AddUpstream(
      aId,
      [this, aId, aSlots](const wire::http_request& aRequest,
                          wire::http_reply& aReply) -> asio::awaitable<void> {
        auto answer = SignedAnswer(aRequest, 200, "body");
        answer.mHeaders.push_back(
          { std::string(kTestBrittle), std::to_string(kTolerated) });
        if (mRunning[aId] >= aSlots) {
          answer.mStatus = 503;
          answer.mHeaders.push_back({ std::string(kTestNotRun), "1" });
          mRejected[aId].push_back(steady_clock::now());
        } else {
          ++mRunning[aId];
          asio::steady_timer timer(mContext, 50ms);
          co_await timer.async_wait(asio::use_awaitable);
          --mRunning[aId];
        }
        co_await aReply.Send(std::move(answer));
      });
  }

  // Lets eight callers send one request after the other.
  void SendFor(std::chrono::milliseconds aTime, const std::string& aPath)
  {
    const auto end = steady_clock::now() + aTime;
    for (int caller = 0; caller < 8; ++caller) {
      asio::co_spawn(mContext, SendUntil(end, aPath), [](auto) {});
    }
    Pause(aTime + 200ms);
  }

  asio::awaitable<void> SendUntil(steady_time aEnd, std::string aPath)
  {
    while (steady_clock::now() < aEnd) {
      wire::http_request request;
      request.mMethod = "POST";
      request.mTarget = aPath;
      request.mHeaders = { { "Host", "h" },
                           { std::string(kTestKey), "k1" },
                           { std::string(kTestId), "r1" } };
      const auto answer =
        co_await mCaller->Fetch(Gateway(), std::move(request), 10s);
      mServed += answer && answer.value().mStatus == 200 ? 1 : 0;
      asio::steady_timer timer(mContext, 5ms);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  // The most requests that an upstream has turned away in some second.
  std::ptrdiff_t MostRejected(const std::string& aId) const
  {
    const auto found = mRejected.find(aId);
    if (found == mRejected.end()) {
      return 0;
    }
    std::ptrdiff_t most = 0;
    const auto& times = found->second;
    for (auto from = times.begin(); from != times.end(); ++from) {
      const auto to = std::ranges::lower_bound(times, *from + 1s);
      most = std::max(most, to - from);
    }
    return most;
  }

  std::map<std::string, int> mRunning;
  std::map<std::string, std::vector<steady_time>> mRejected;
  int mServed = 0;
};

TEST_F(forward_brittle_test, AFullUpstreamTurnsAwayNoMoreThanItTolerates)
{
  Publish();
  AddBrittle("a", 0);
  SendFor(3s, "/safe/x");
  EXPECT_LE(MostRejected("a"), kTolerated);
}

TEST_F(forward_brittle_test, RetriesDoNotPushOthersOver)
{
  Publish();
  for (const auto* id : { "a", "b", "c" }) {
    AddBrittle(id, 1);
  }
  SendFor(4s, "/safe/x");
  for (const auto* id : { "a", "b", "c" }) {
    EXPECT_LE(MostRejected(id), kTolerated) << id;
  }
}

TEST_F(forward_brittle_test, ARequestWithoutARationIsRefusedShortly)
{
  Publish();
  AddBrittle("a", 0);
  // The whole part of a ration only, which is none.
  mBrittleDraw = [] { return 1.0; };
  EXPECT_EQ(SendRequest("/safe/x").mStatus, 503U);
  // Longer than the pause.
  Pause(3s);
  const auto rejected = mRejected["a"].size();
  const auto start = steady_clock::now();
  const auto answer = SendRequest("/safe/y");
  const auto took = steady_clock::now() - start;
  EXPECT_EQ(answer.mStatus, 503U);
  EXPECT_FALSE(answer.Header("Retry-After").empty());
  EXPECT_EQ(mRejected["a"].size(), rejected);
  // Half of the target latency, which is 100 ms, and some steps.
  EXPECT_GE(took, 50ms);
  EXPECT_LT(took, 150ms);
}

TEST_F(forward_brittle_test, AnUpstreamWithRoomIsNotSpared)
{
  Publish();
  AddBrittle("a", 8);
  SendFor(2s, "/once/x");
  EXPECT_EQ(MostRejected("a"), 0);
  // Eight callers, 55 ms each.
  EXPECT_GT(mServed, 200);
}

} // namespace
} // namespace sapphirespar::gateway
