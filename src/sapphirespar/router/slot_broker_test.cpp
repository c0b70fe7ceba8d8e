// Faults at every step of a slot's way, under virtual time.
#include "sapphirespar/router/slot_broker.hpp"

#include "sapphirespar/membership/homes.hpp"
#include "sapphirespar/model/fake_network.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

namespace sapphirespar::router {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kPool = "model";
constexpr unsigned kSlots = 2;
constexpr auto kTick = 50ms;

// One router: its board, its broker and what became of its requests.
struct node
{
  blackboard mBoard;
  std::unique_ptr<peer_network> mLink;
  std::unique_ptr<slot_broker> mBroker;
  timer_subscription mTicks;
  std::map<request_id, slot_outcome> mOutcomes;
  // Answers beyond the first, which must not be.
  unsigned mRepeated = 0;
};

class slot_broker_test : public testing::Test
{
protected:
  slot_broker_test()
  {
    mNetwork.SetCarrier([this](const peer_message& aMessage) {
      if (mLose && mLose(aMessage)) {
        return std::optional<steady_duration>();
      }
      return std::optional<steady_duration>(1ms);
    });
  }

  // Starts routers "r0"... before upstreams "u0"... of kSlots slots each.
  void Start(unsigned aRouters, unsigned aUpstreams)
  {
    auto declared = std::make_shared<bundle>();
    for (unsigned number = 0; number < aUpstreams; ++number) {
      policy::upstream_view view;
      view.mId = { "u" + std::to_string(number) };
      view.mPools = { std::string(kPool) };
      view.mSlots = kSlots;
      mViews.push_back(view);
      upstream_spec spec;
      spec.mId = view.mId;
      spec.mDataCentre = { "cesis" };
      spec.mModels = { { std::string(kPool) } };
      declared->mUpstreams.push_back(spec);
    }
    mBundle = declared;
    for (unsigned number = 0; number < aRouters; ++number) {
      member one;
      one.mProcess = { { "r" + std::to_string(number) }, 1 };
      one.mDataCentre = { "cesis" };
      one.mState = member_state::Live;
      mMembers[one.mProcess.mVm] = one;
    }
    for (const auto& [vm, one] : mMembers) {
      StartNode(vm);
    }
  }

  void StartNode(const vm_id& aVm)
  {
    auto& one = mNodes[aVm];
    one = std::make_unique<node>();
    one->mBoard.mSelf = mMembers.at(aVm).mProcess;
    one->mBoard.mDataCentre = { "cesis" };
    one->mBoard.mMembers = mMembers;
    const auto raw = one.get();
    one->mLink = mNetwork.Attach(
      one->mBoard.mSelf,
      mTimers,
      [raw](const process_id& aFrom, const peer_message& aMessage) {
        raw->mBroker->OnPeerMessage(aFrom, aMessage);
      });
    slot_broker_hooks hooks;
    hooks.mRandom = [this] { return mRandom(); };
    one->mBroker =
      std::make_unique<slot_broker>(one->mBoard,
                                    *one->mLink,
                                    mTimers,
                                    policy::MakeScheduler("tiered"),
                                    slot_broker_settings{},
                                    hooks);
    one->mBroker->Configure(mBundle);
    one->mBroker->SetUpstreams(mViews);
    one->mTicks = mTimers.Every(kTick, [raw] { raw->mBroker->Tick(); });
  }

  // Stops a router without a word.
  void Kill(const vm_id& aVm) { mNodes.erase(aVm); }

  // Every router that runs comes to see aVm in this state.
  void SetState(const vm_id& aVm, member_state aState)
  {
    mMembers[aVm].mState = aState;
    for (auto& [vm, one] : mNodes) {
      one->mBoard.mMembers = mMembers;
      one->mBroker->OnMembersChanged();
    }
  }

  void Acquire(const vm_id& aVm, const std::string& aId, steady_duration aDue)
  {
    policy::queued_request request;
    request.mId = { aId };
    request.mClass = { "class" };
    request.mPool = kPool;
    request.mArrival = mTimers.Now();
    request.mFirstTokenBy = mTimers.Now() + aDue;
    request.mAnswerBy = request.mFirstTokenBy;
    auto& one = *mNodes.at(aVm);
    one.mBroker->Acquire(request, [this, &one, aId](slot_outcome aOutcome) {
      one.mRepeated += one.mOutcomes.contains({ aId }) ? 1 : 0;
      if (mOnAnswer) {
        mOnAnswer(one.mBoard.mSelf.mVm, aId);
      }
      one.mOutcomes[{ aId }] = std::move(aOutcome);
    });
  }

  void Finish(const vm_id& aVm, const std::string& aId)
  {
    policy::completion completion;
    completion.mRequest = { aId };
    completion.mSucceeded = true;
    mNodes.at(aVm)->mBroker->Finish(completion);
  }

  bool HasSlot(const vm_id& aVm, const std::string& aId) const
  {
    const auto& outcomes = mNodes.at(aVm)->mOutcomes;
    const auto found = outcomes.find({ aId });
    return found != outcomes.end() &&
           std::holds_alternative<upstream_id>(found->second);
  }

  // What one router, as a home, has granted or adopted.
  unsigned Outstanding(const vm_id& aVm) const
  {
    unsigned sum = 0;
    for (const auto& load : mNodes.at(aVm)->mBroker->Loads()) {
      sum += load.mOutstanding;
    }
    return sum;
  }

  unsigned OutstandingEverywhere() const
  {
    unsigned sum = 0;
    for (const auto& [vm, one] : mNodes) {
      sum += Outstanding(vm);
    }
    return sum;
  }

  // The home of "u0", and some router that is not.
  vm_id Home() const
  {
    std::vector<member> members;
    for (const auto& [vm, one] : mMembers) {
      members.push_back(one);
    }
    return *membership::HomeOf({ "u0" }, { "cesis" }, members);
  }
  vm_id Other() const
  {
    const auto home = Home();
    return std::ranges::find_if(
             mNodes, [&](const auto& aNode) { return aNode.first != home; })
      ->first;
  }

  manual_timer_service mTimers;
  fake_network mNetwork{ mTimers };
  std::mt19937_64 mRandom{ 7 };
  std::function<bool(const peer_message&)> mLose;
  std::function<void(const vm_id&, const std::string& aId)> mOnAnswer;
  bundle_ptr mBundle;
  std::vector<policy::upstream_view> mViews;
  std::map<vm_id, member> mMembers;
  std::map<vm_id, std::unique_ptr<node>> mNodes;
};

TEST_F(slot_broker_test, SlotsOfOneUpstreamAreSharedByAllRouters)
{
  Start(3, 1);
  Acquire({ "r0" }, "a", 1min);
  Acquire({ "r1" }, "b", 1min);
  mTimers.Advance(10ms);
  Acquire({ "r2" }, "c", 1min);
  mTimers.Advance(10ms);
  EXPECT_TRUE(HasSlot({ "r0" }, "a"));
  EXPECT_TRUE(HasSlot({ "r1" }, "b"));
  EXPECT_FALSE(HasSlot({ "r2" }, "c"));
  EXPECT_EQ(Outstanding(Home()), kSlots);
  Finish({ "r0" }, "a");
  mTimers.Advance(10ms);
  EXPECT_TRUE(HasSlot({ "r2" }, "c"));
}

TEST_F(slot_broker_test, WithdrawnRequestIsNeverGranted)
{
  Start(3, 1);
  const auto caller = Other();
  for (const std::string id : { "a", "b", "c" }) {
    Acquire(caller, id, 1min);
  }
  mTimers.Advance(10ms);
  mNodes.at(caller)->mBroker->Withdraw({ "c" });
  Finish(caller, "a");
  mTimers.Advance(1s);
  EXPECT_FALSE(mNodes.at(caller)->mOutcomes.contains({ "c" }));
  EXPECT_EQ(Outstanding(Home()), 1U);
}

TEST_F(slot_broker_test,
       Fault_Slow_Request_Slot_ARequestThatWaitedTooLongIsRefusedByItsHome)
{
  Start(3, 1);
  const auto caller = Other();
  for (const std::string id : { "a", "b" }) {
    Acquire(caller, id, 1min);
  }
  Acquire(caller, "c", 3s);
  mTimers.Advance(4s);
  const auto& outcome = mNodes.at(caller)->mOutcomes.at({ "c" });
  EXPECT_EQ(std::get<refusal>(outcome).mReason, refusal_reason::TooLate);
}

TEST_F(slot_broker_test,
       Fault_CrashAfter_Request_Slot_AHomeThatDiesWithAQueueIsReplaced)
{
  Start(3, 1);
  const auto dying = Home();
  const auto caller = Other();
  for (const std::string id : { "a", "b", "c" }) {
    Acquire(caller, id, 1min);
  }
  mTimers.Advance(10ms);
  Kill(dying);
  SetState(dying, member_state::Dead);
  mTimers.Advance(10ms);
  // The requests that run are made known to the new home before it grants.
  EXPECT_EQ(Outstanding(Home()), kSlots);
  EXPECT_FALSE(HasSlot(caller, "c"));
  Finish(caller, "a");
  mTimers.Advance(10ms);
  EXPECT_TRUE(HasSlot(caller, "c"));
}

TEST_F(slot_broker_test,
       Fault_SilentInbound_Request_Slot_SilentHomesLeadToADirectChoice)
{
  Start(3, 1);
  const auto home = Home();
  const auto caller = Other();
  mNetwork.Cut(caller, home);
  Acquire(caller, "a", 1min);
  mTimers.Advance(1s);
  EXPECT_TRUE(HasSlot(caller, "a"));
  EXPECT_EQ(mNodes.at(caller)->mBroker->Counts().mDirect, 1U);
}

TEST_F(slot_broker_test, RefusalOfOneHomeWithoutRoomLeadsToTheNext)
{
  Start(2, 8);
  const auto home = Home();
  const auto caller = Other();
  // The home does not know yet that it is one.
  mNodes.at(home)->mBroker->SetUpstreams({});
  Acquire(caller, "a", 1min);
  mTimers.Advance(1s);
  EXPECT_TRUE(HasSlot(caller, "a"));
}

TEST_F(slot_broker_test,
       Fault_CrashAfter_Request_Finish_ADeadOrRestartedHolderGivesUpItsSlots)
{
  Start(3, 1);
  const auto holder = Other();
  Acquire(holder, "a", 1min);
  Acquire(holder, "b", 1min);
  Acquire(holder, "c", 1min);
  mTimers.Advance(10ms);
  Kill(holder);
  SetState(holder, member_state::Suspect);
  EXPECT_EQ(Outstanding(Home()), kSlots);
  mMembers[holder].mProcess.mIncarnation = 2;
  StartNode(holder);
  SetState(holder, member_state::Live);
  mTimers.Advance(10ms);
  EXPECT_EQ(OutstandingEverywhere(), 0U);
}

TEST_F(slot_broker_test,
       Fault_MessageLost_Request_Finish_ARetryAvoidsTheExcludedUpstream)
{
  Start(2, 4);
  const auto caller = Other();
  Acquire(caller, "a", 1min);
  mTimers.Advance(10ms);
  const auto first =
    std::get<upstream_id>(mNodes.at(caller)->mOutcomes.at({ "a" }));
  mLose = [](const peer_message& aMessage) {
    return std::holds_alternative<slot_release>(aMessage);
  };
  Finish(caller, "a");
  mNodes.at(caller)->mOutcomes.clear();
  mLose = nullptr;
  policy::queued_request again;
  again.mId = { "a" };
  again.mPool = kPool;
  again.mFirstTokenBy = again.mAnswerBy = mTimers.Now() + 1min;
  again.mExcluded = { first };
  std::optional<slot_outcome> outcome;
  mNodes.at(caller)->mBroker->Acquire(
    again, [&](slot_outcome aOutcome) { outcome = aOutcome; });
  mTimers.Advance(1s);
  ASSERT_TRUE(outcome.has_value());
  EXPECT_NE(std::get<upstream_id>(*outcome), first);
}

// Two routers that think they are home grant at most twice the slots, and one
// count is left once they agree.
TEST_F(slot_broker_test,
       Fault_StaleList_Request_Slot_DisagreementAboutTheHomeIsBoundedAndEnds)
{
  Start(3, 1);
  const auto home = Home();
  const auto loner = Other();
  auto& lonely = *mNodes.at(loner);
  for (auto& [vm, one] : lonely.mBoard.mMembers) {
    one.mState = vm == loner ? member_state::Live : member_state::Suspect;
  }
  lonely.mBroker->OnMembersChanged();
  for (unsigned number = 0; number < 2 * kSlots; ++number) {
    Acquire(home, "h" + std::to_string(number), 1min);
    Acquire(loner, "l" + std::to_string(number), 1min);
  }
  mTimers.Advance(100ms);
  EXPECT_EQ(OutstandingEverywhere(), 2 * kSlots);
  SetState(loner, member_state::Live);
  mTimers.Advance(1s);
  EXPECT_EQ(Outstanding(home), 2 * kSlots);
  for (unsigned number = 0; number < 2 * kSlots; ++number) {
    Finish(home, "h" + std::to_string(number));
    Finish(loner, "l" + std::to_string(number));
    mTimers.Advance(10ms);
  }
  EXPECT_TRUE(HasSlot(home, "h3"));
  EXPECT_TRUE(HasSlot(loner, "l3"));
}

// Each kind of message about slots is lost once, wherever it first occurs.
class lost_message
  : public slot_broker_test
  , public testing::WithParamInterface<std::size_t>
{};

TEST_P(lost_message, IsMadeGood)
{
  Start(3, 2);
  bool lost = false;
  mLose = [&](const peer_message& aMessage) {
    const bool lose = !lost && aMessage.index() == GetParam();
    lost = lost || lose;
    return lose;
  };
  std::vector<std::string> ids;
  for (unsigned number = 0; number < 3 * kSlots; ++number) {
    ids.push_back("q" + std::to_string(number));
    Acquire(Other(), ids.back(), 10min);
  }
  mTimers.Advance(3s);
  const auto dying = Home();
  const auto caller = Other();
  Kill(dying);
  SetState(dying, member_state::Dead);
  for (const auto& id : ids) {
    mTimers.Advance(3s);
    EXPECT_TRUE(HasSlot(caller, id)) << id;
    Finish(caller, id);
  }
  EXPECT_EQ(mNodes.at(caller)->mRepeated, 0U);
  // A slot whose release was lost is asked after.
  mTimers.Advance(20s);
  EXPECT_EQ(OutstandingEverywhere(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Each,
                         lost_message,
                         testing::Values(peer_message(slot_request{}).index(),
                                         peer_message(slot_grant{}).index(),
                                         peer_message(slot_waiting{}).index(),
                                         peer_message(slot_release{}).index(),
                                         peer_message(slot_holding{}).index()));

// Runs requests of random lengths while one message in eight is lost.
class lossy_network : public slot_broker_test
{
public:
  void TestBody() override {}

  void Run(std::uint64_t aSeed)
  {
    mRandom.seed(aSeed);
    Start(3, 3);
    mLose = [this](const peer_message&) { return mRandom() % 8 == 0; };
    std::vector<timer_subscription> ends;
    mOnAnswer = [&](const vm_id& aVm, const std::string& aId) {
      ends.push_back(mTimers.After(std::chrono::seconds(1 + mRandom() % 9),
                                   [this, aVm, aId] { Finish(aVm, aId); }));
    };
    constexpr unsigned kRequests = 40;
    for (unsigned number = 0; number < kRequests; ++number) {
      const vm_id vm{ "r" + std::to_string(number % mNodes.size()) };
      Acquire(vm, std::to_string(number), 10min);
      mTimers.Advance(100ms);
    }
    mTimers.Advance(3min);
    std::size_t answered = 0;
    for (const auto& [vm, one] : mNodes) {
      answered += one->mOutcomes.size();
      RC_ASSERT(one->mRepeated == 0U);
    }
    RC_ASSERT(answered == kRequests);
    mLose = nullptr;
    mTimers.Advance(1min);
    RC_ASSERT(OutstandingEverywhere() == 0U);
  }
};

TEST(SlotBroker, Fault_MessageLost_Request_Slot_NoRequestAndNoSlotIsLost)
{
  EXPECT_TRUE(
    rc::check([](std::uint64_t aSeed) { lossy_network{}.Run(aSeed); }));
}

} // namespace
} // namespace sapphirespar::router
