// Tests waiting for slots with a real broker and without sockets.
#include "sapphirespar/router/dispatcher.hpp"

#include <boost/asio/co_spawn.hpp>

#include <gtest/gtest.h>

#include <optional>

namespace sapphirespar::router {
namespace {

using namespace std::chrono_literals;

// The network of a router without peers.
class no_network : public peer_network
{
public:
  void Send(const vm_id&, peer_message) override {}
};

blackboard
MakeBoard()
{
  bundle declared;
  request_class brief;
  brief.mId = { "brief" };
  declared.mClasses = { brief };
  upstream_spec engine;
  engine.mId = { "engine-1" };
  engine.mDataCentre = { "valmiera" };
  engine.mModels = { { "wool" } };
  engine.mSlots = 1;
  declared.mUpstreams = { engine };
  blackboard board;
  board.mSelf = { { "vm-1" }, 1 };
  board.mDataCentre = { "valmiera" };
  board.mBundle = std::make_shared<const bundle>(declared);
  auto& self = board.mMembers[board.mSelf.mVm];
  self.mProcess = board.mSelf;
  self.mDataCentre = board.mDataCentre;
  self.mState = member_state::Live;
  return board;
}

class slot_fixture : public testing::Test
{
protected:
  slot_fixture()
    : mBroker(mBoard,
              mNetwork,
              mTimers,
              policy::MakeScheduler("tiered"),
              {},
              { [](const auto&) {}, [] { return 1U; } })
    , mDispatcher(mContext, mBroker)
  {
    mBroker.Configure(mBoard.mBundle);
    policy::upstream_view engine;
    engine.mId = { "engine-1" };
    engine.mPools = { "wool" };
    engine.mSlots = 1;
    const std::vector views{ engine };
    mBroker.SetUpstreams(views);
    mBroker.OnMembersChanged();
  }

  void Request(std::string aId,
               std::optional<acquire_result>& aAnswer,
               bool aGone)
  {
    policy::queued_request request;
    request.mId = { aId };
    request.mClass = { "brief" };
    request.mPool = "wool";
    request.mArrival = mTimers.Now();
    request.mFirstTokenBy = request.mArrival + 1h;
    request.mAnswerBy = request.mArrival + 1h;
    asio::co_spawn(mContext,
                   mDispatcher.Acquire(request, [aGone] { return aGone; }),
                   [&aAnswer](std::exception_ptr, acquire_result aResult) {
                     aAnswer = aResult;
                   });
  }

  blackboard mBoard = MakeBoard();
  no_network mNetwork;
  manual_timer_service mTimers;
  asio::io_context mContext;
  slot_broker mBroker;
  dispatcher mDispatcher;
  std::optional<acquire_result> mFirst;
  std::optional<acquire_result> mSecond;
};

TEST_F(slot_fixture, AReleasedSlotGoesToTheNextRequest)
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

TEST_F(slot_fixture, ADisconnectedCallerLeavesTheQueue)
{
  Request("one", mFirst, false);
  Request("two", mSecond, true);
  mContext.run();
  ASSERT_TRUE(mSecond);
  EXPECT_TRUE(std::holds_alternative<caller_left>(*mSecond));
  EXPECT_EQ(mBroker.Loads().at(0).mQueued, 0U);
  EXPECT_EQ(mBroker.Loads().at(0).mOutstanding, 1U);
}

} // namespace
} // namespace sapphirespar::router
