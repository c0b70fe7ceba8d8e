// Tests of waiting for slots, with a real scheduler and no sockets.
#include "sapphirespar/router/dispatcher.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <optional>

namespace sapphirespar::router {
namespace {

using namespace std::chrono_literals;

class slot_fixture : public testing::Test
{
protected:
  slot_fixture()
    : mDispatcher(policy::MakeScheduler("tiered"), [](const auto&) {})
  {
    bundle declared;
    request_class brief;
    brief.mId = { "brief" };
    declared.mClasses = { brief };
    mDispatcher.Configure(std::make_shared<const bundle>(declared));
    policy::upstream_view engine;
    engine.mId = { "engine-1" };
    engine.mPools = { "wool" };
    engine.mSlots = 1;
    const std::vector views{ engine };
    mDispatcher.SetUpstreams(views);
  }

  void Request(std::string aId, std::optional<slot_answer>& aAnswer, bool aGone)
  {
    policy::queued_request request;
    request.mId = { aId };
    request.mClass = { "brief" };
    request.mPool = "wool";
    request.mArrival = std::chrono::steady_clock::now();
    request.mFirstTokenBy = request.mArrival + 1h;
    request.mAnswerBy = request.mArrival + 1h;
    asio::co_spawn(
      mContext,
      mDispatcher.Acquire(request, [aGone] { return aGone; }),
      [&aAnswer](std::exception_ptr, slot_answer aGiven) { aAnswer = aGiven; });
  }

  asio::io_context mContext;
  dispatcher mDispatcher;
  std::optional<slot_answer> mFirst;
  std::optional<slot_answer> mSecond;
};

TEST_F(slot_fixture, ASlotGoesToTheNextWhenItIsGivenBack)
{
  Request("one", mFirst, false);
  Request("two", mSecond, false);
  while (!mFirst) {
    mContext.run_one();
  }
  EXPECT_FALSE(mSecond);
  policy::completion completion;
  completion.mRequest = { "one" };
  mDispatcher.Finish(completion);
  mContext.run();
  ASSERT_TRUE(mSecond);
  EXPECT_EQ(std::get<upstream_id>(*mSecond).mText, "engine-1");
}

TEST_F(slot_fixture, ACallerThatLeavesGivesItsPlaceUp)
{
  Request("one", mFirst, false);
  Request("two", mSecond, true);
  mContext.run();
  ASSERT_TRUE(mSecond);
  EXPECT_TRUE(std::holds_alternative<caller_left>(*mSecond));
  EXPECT_EQ(mDispatcher.Counts().at(0).mQueued, 0U);
  EXPECT_EQ(mDispatcher.Counts().at(0).mOutstanding, 1U);
}

} // namespace
} // namespace sapphirespar::router
