// Faults at every step of a slot's way, under virtual time.
#include "sapphirespar/router/slot_broker.hpp"

#include "sapphirespar/membership/owners.hpp"
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

// Routers before upstreams, joined by a network that a test may disturb.
struct slot_scene
{
  slot_scene()
  {
    mNetwork.SetDeliveryRule([this](const peer_message& aMessage) {
      if (mLose && mLose(aMessage)) {
        return std::optional<steady_duration>();
      }
      return std::optional<steady_duration>(mDelay);
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
    return *membership::OwnerOf({ "u0" }, { "cesis" }, members);
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
  steady_duration mDelay = 1ms;
  std::mt19937_64 mRandom{ 7 };
  std::function<bool(const peer_message&)> mLose;
  std::function<void(const vm_id&, const std::string& aId)> mOnAnswer;
  bundle_ptr mBundle;
  std::vector<policy::upstream_view> mViews;
  std::map<vm_id, member> mMembers;
  std::map<vm_id, std::unique_ptr<node>> mNodes;
};

TEST(SlotBroker, SlotsOfOneUpstreamAreSharedByAllRouters)
{
  slot_scene scene;
  scene.Start(3, 1);
  scene.Acquire({ "r0" }, "a", 1min);
  scene.Acquire({ "r1" }, "b", 1min);
  scene.mTimers.Advance(10ms);
  scene.Acquire({ "r2" }, "c", 1min);
  scene.mTimers.Advance(10ms);
  EXPECT_TRUE(scene.HasSlot({ "r0" }, "a"));
  EXPECT_TRUE(scene.HasSlot({ "r1" }, "b"));
  EXPECT_FALSE(scene.HasSlot({ "r2" }, "c"));
  EXPECT_EQ(scene.Outstanding(scene.Home()), kSlots);
  scene.Finish({ "r0" }, "a");
  scene.mTimers.Advance(10ms);
  EXPECT_TRUE(scene.HasSlot({ "r2" }, "c"));
}

TEST(SlotBroker, WithdrawnRequestIsNeverGranted)
{
  slot_scene scene;
  scene.Start(3, 1);
  const auto caller = scene.Other();
  for (const std::string id : { "a", "b", "c" }) {
    scene.Acquire(caller, id, 1min);
  }
  scene.mTimers.Advance(10ms);
  scene.mNodes.at(caller)->mBroker->Withdraw({ "c" });
  scene.Finish(caller, "a");
  scene.mTimers.Advance(1s);
  EXPECT_FALSE(scene.mNodes.at(caller)->mOutcomes.contains({ "c" }));
  EXPECT_EQ(scene.Outstanding(scene.Home()), 1U);
}

TEST(SlotBroker, RequestThatWaitedTooLongIsRefusedByItsHome)
{
  slot_scene scene;
  scene.Start(3, 1);
  const auto caller = scene.Other();
  for (const std::string id : { "a", "b" }) {
    scene.Acquire(caller, id, 1min);
  }
  scene.Acquire(caller, "c", 3s);
  scene.mTimers.Advance(4s);
  const auto& outcome = scene.mNodes.at(caller)->mOutcomes.at({ "c" });
  EXPECT_EQ(std::get<refusal>(outcome).mReason, refusal_reason::TooLate);
}

TEST(Fault_CrashAfter, Request_Slot_AHomeThatDiesWithAQueueIsReplaced)
{
  slot_scene scene;
  scene.Start(3, 1);
  const auto dying = scene.Home();
  const auto caller = scene.Other();
  for (const std::string id : { "a", "b", "c" }) {
    scene.Acquire(caller, id, 1min);
  }
  scene.mTimers.Advance(10ms);
  scene.Kill(dying);
  scene.SetState(dying, member_state::Dead);
  scene.mTimers.Advance(10ms);
  // The requests that run are made known to the new home before it grants.
  EXPECT_EQ(scene.Outstanding(scene.Home()), kSlots);
  EXPECT_FALSE(scene.HasSlot(caller, "c"));
  scene.Finish(caller, "a");
  scene.mTimers.Advance(10ms);
  EXPECT_TRUE(scene.HasSlot(caller, "c"));
}

TEST(Fault_SilentOutbound, Request_Slot_SilentHomesLeadToADirectChoice)
{
  slot_scene scene;
  scene.Start(3, 1);
  const auto home = scene.Home();
  const auto caller = scene.Other();
  scene.mNetwork.Block(caller, home);
  scene.Acquire(caller, "a", 1min);
  scene.mTimers.Advance(1s);
  EXPECT_TRUE(scene.HasSlot(caller, "a"));
  EXPECT_EQ(scene.mNodes.at(caller)->mBroker->Counts().mDirectChoices, 1U);
}

// A slow home's late grant is given back, so that its slot is not lost.
TEST(Fault_Slow, Request_Slot_ALateGrantIsGivenBack)
{
  slot_scene scene;
  scene.Start(3, 1);
  const auto home = scene.Home();
  const auto caller = scene.Other();
  scene.mDelay = 1s;
  scene.Acquire(caller, "a", 1min);
  scene.mTimers.Advance(500ms);
  EXPECT_TRUE(scene.HasSlot(caller, "a"));
  scene.mDelay = 1ms;
  scene.mTimers.Advance(5s);
  EXPECT_EQ(scene.Outstanding(home), 1U);
  scene.Finish(caller, "a");
  scene.mTimers.Advance(20s);
  EXPECT_EQ(scene.OutstandingEverywhere(), 0U);
  EXPECT_EQ(scene.mNodes.at(caller)->mRepeated, 0U);
}

TEST(Fault_StaleList, Request_Slot_AHomeThatWasForgottenIsPassedOver)
{
  slot_scene scene;
  scene.Start(3, 1);
  const auto home = scene.Home();
  const auto caller = scene.Other();
  scene.Kill(home);
  // The board has changed, and the broker has not been told yet.
  scene.mNodes.at(caller)->mBoard.mMembers.erase(home);
  scene.Acquire(caller, "a", 1min);
  scene.mTimers.Advance(1s);
  EXPECT_TRUE(scene.HasSlot(caller, "a"));
}

TEST(SlotBroker, RefusalOfOneHomeWithoutRoomLeadsToTheNext)
{
  slot_scene scene;
  scene.Start(2, 8);
  const auto home = scene.Home();
  const auto caller = scene.Other();
  // The home does not know yet that it is one.
  scene.mNodes.at(home)->mBroker->SetUpstreams({});
  scene.Acquire(caller, "a", 1min);
  scene.mTimers.Advance(1s);
  EXPECT_TRUE(scene.HasSlot(caller, "a"));
}

TEST(Fault_CrashAfter, Request_Finish_ARestartedHolderGivesUpItsSlots)
{
  slot_scene scene;
  scene.Start(3, 1);
  const auto holder = scene.Other();
  scene.Acquire(holder, "a", 1min);
  scene.Acquire(holder, "b", 1min);
  scene.Acquire(holder, "c", 1min);
  scene.mTimers.Advance(10ms);
  scene.Kill(holder);
  scene.SetState(holder, member_state::Suspect);
  EXPECT_EQ(scene.Outstanding(scene.Home()), kSlots);
  scene.mMembers[holder].mProcess.mIncarnation = 2;
  scene.StartNode(holder);
  scene.SetState(holder, member_state::Live);
  scene.mTimers.Advance(10ms);
  EXPECT_EQ(scene.OutstandingEverywhere(), 0U);
}

TEST(Fault_MessageLost, Request_Slot_ARetryAvoidsTheExcludedUpstream)
{
  slot_scene scene;
  scene.Start(2, 4);
  const auto caller = scene.Other();
  scene.Acquire(caller, "a", 1min);
  scene.mTimers.Advance(10ms);
  const auto first =
    std::get<upstream_id>(scene.mNodes.at(caller)->mOutcomes.at({ "a" }));
  scene.mLose = [](const peer_message& aMessage) {
    return std::holds_alternative<slot_release>(aMessage);
  };
  scene.Finish(caller, "a");
  scene.mNodes.at(caller)->mOutcomes.clear();
  scene.mLose = nullptr;
  policy::queued_request again;
  again.mId = { "a" };
  again.mPool = kPool;
  again.mFirstTokenBy = again.mAnswerBy = scene.mTimers.Now() + 1min;
  again.mExcluded = { first };
  std::optional<slot_outcome> outcome;
  scene.mNodes.at(caller)->mBroker->Acquire(
    again, [&](slot_outcome aOutcome) { outcome = aOutcome; });
  scene.mTimers.Advance(1s);
  ASSERT_TRUE(outcome.has_value());
  EXPECT_NE(std::get<upstream_id>(*outcome), first);
}

// Two routers that think they are home grant at most twice the slots, and one
// count is left once they agree.
TEST(Fault_Partition, Request_Slot_DisagreementAboutTheHomeIsBoundedAndEnds)
{
  slot_scene scene;
  scene.Start(3, 1);
  const auto home = scene.Home();
  const auto loner = scene.Other();
  auto& lonely = *scene.mNodes.at(loner);
  for (auto& [vm, one] : lonely.mBoard.mMembers) {
    one.mState = vm == loner ? member_state::Live : member_state::Suspect;
  }
  lonely.mBroker->OnMembersChanged();
  for (unsigned number = 0; number < 2 * kSlots; ++number) {
    scene.Acquire(home, "h" + std::to_string(number), 1min);
    scene.Acquire(loner, "l" + std::to_string(number), 1min);
  }
  scene.mTimers.Advance(100ms);
  EXPECT_EQ(scene.OutstandingEverywhere(), 2 * kSlots);
  scene.SetState(loner, member_state::Live);
  scene.mTimers.Advance(1s);
  EXPECT_EQ(scene.Outstanding(home), 2 * kSlots);
  for (unsigned number = 0; number < 2 * kSlots; ++number) {
    scene.Finish(home, "h" + std::to_string(number));
    scene.Finish(loner, "l" + std::to_string(number));
    scene.mTimers.Advance(10ms);
  }
  EXPECT_TRUE(scene.HasSlot(home, "h3"));
  EXPECT_TRUE(scene.HasSlot(loner, "l3"));
}

// Loses the first message of one kind, wherever it occurs.
void
LoseOneOfKind(std::size_t aKind)
{
  slot_scene scene;
  scene.Start(3, 2);
  bool lost = false;
  scene.mLose = [&](const peer_message& aMessage) {
    const bool lose = !lost && aMessage.index() == aKind;
    lost = lost || lose;
    return lose;
  };
  std::vector<std::string> ids;
  for (unsigned number = 0; number < 3 * kSlots; ++number) {
    ids.push_back("q" + std::to_string(number));
    scene.Acquire(scene.Other(), ids.back(), 10min);
  }
  scene.mTimers.Advance(3s);
  const auto dying = scene.Home();
  const auto caller = scene.Other();
  scene.Kill(dying);
  scene.SetState(dying, member_state::Dead);
  for (const auto& id : ids) {
    scene.mTimers.Advance(3s);
    EXPECT_TRUE(scene.HasSlot(caller, id)) << id;
    scene.Finish(caller, id);
  }
  EXPECT_EQ(scene.mNodes.at(caller)->mRepeated, 0U);
  // A slot whose release was lost is asked after.
  scene.mTimers.Advance(20s);
  EXPECT_EQ(scene.OutstandingEverywhere(), 0U);
}

TEST(Fault_MessageLost, Request_Slot_AnyOneMessageIsMadeGood)
{
  const peer_message kinds[] = {
    slot_request{}, slot_grant{}, slot_waiting{}, slot_release{}, slot_holding{}
  };
  for (const auto& kind : kinds) {
    SCOPED_TRACE(kind.index());
    LoseOneOfKind(kind.index());
  }
}

// Runs requests of random lengths while one message in eight is lost.
struct lossy_network : slot_scene
{
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

TEST(Fault_MessageLost, Request_Finish_NoRequestAndNoSlotIsEverLost)
{
  EXPECT_TRUE(
    rc::check([](std::uint64_t aSeed) { lossy_network().Run(aSeed); }));
}

} // namespace
} // namespace sapphirespar::router
