// Tests the slot broker under virtual time, with faults at every step of
// requesting and releasing a slot.
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
constexpr auto kTickPeriod = 50ms;

// One router: its board, its broker and the outcomes of its requests.
struct router_node
{
  blackboard mBoard;
  std::unique_ptr<peer_network> mLink;
  std::unique_ptr<slot_broker> mBroker;
  timer_subscription mTicks;
  std::map<request_id, slot_outcome> mOutcomes;
  // Number of requests that were answered more than once; must stay zero.
  unsigned mRepeated = 0;
};

// Routers and upstreams on a network in which a test may delay and lose
// messages.
struct broker_cluster
{
  broker_cluster()
  {
    mNetwork.SetDeliveryRule([this](const peer_message& aMessage) {
      if (mLose && mLose(aMessage)) {
        return std::optional<steady_duration>();
      }
      return std::optional<steady_duration>(mDelay);
    });
  }

  // Starts routers "r0", "r1" etc. and declares upstreams "u0", "u1" etc. with
  // kSlots slots each.
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
      member entry;
      entry.mProcess = { { "r" + std::to_string(number) }, 1 };
      entry.mDataCentre = { "cesis" };
      entry.mState = member_state::Live;
      mMembers[entry.mProcess.mVm] = entry;
    }
    for (const auto& [vm, entry] : mMembers) {
      StartNode(vm);
    }
  }

  void StartNode(const vm_id& aVm)
  {
    auto& node = mNodes[aVm];
    node = std::make_unique<router_node>();
    node->mBoard.mSelf = mMembers.at(aVm).mProcess;
    node->mBoard.mDataCentre = { "cesis" };
    node->mBoard.mMembers = mMembers;
    const auto nodePointer = node.get();
    node->mLink = mNetwork.Attach(
      node->mBoard.mSelf,
      mTimers,
      [nodePointer](const process_id& aFrom, const peer_message& aMessage) {
        nodePointer->mBroker->OnPeerMessage(aFrom, aMessage);
      });
    slot_broker_hooks hooks;
    hooks.mRandom = [this] { return mRandom(); };
    node->mBroker =
      std::make_unique<slot_broker>(node->mBoard,
                                    *node->mLink,
                                    mTimers,
                                    policy::MakeScheduler("tiered"),
                                    slot_broker_settings{},
                                    hooks);
    node->mBroker->Configure(mBundle);
    node->mBroker->SetUpstreams(mViews);
    node->mTicks = mTimers.Every(
      kTickPeriod, [nodePointer] { nodePointer->mBroker->Tick(); });
  }

  // Stops a router without notice to the others.
  void Kill(const vm_id& aVm) { mNodes.erase(aVm); }

  // Sets the state in which all running routers see aVm.
  void SetState(const vm_id& aVm, member_state aState)
  {
    mMembers[aVm].mState = aState;
    for (auto& [vm, node] : mNodes) {
      node->mBoard.mMembers = mMembers;
      node->mBroker->OnMembersChanged();
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
    auto& node = *mNodes.at(aVm);
    node.mBroker->Acquire(request, [this, &node, aId](slot_outcome aOutcome) {
      node.mRepeated += node.mOutcomes.contains({ aId }) ? 1 : 0;
      if (mOnAnswer) {
        mOnAnswer(node.mBoard.mSelf.mVm, aId);
      }
      node.mOutcomes[{ aId }] = std::move(aOutcome);
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

  // Returns the number of slots that a router, as an owner, has granted or
  // adopted.
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
    for (const auto& [vm, node] : mNodes) {
      sum += Outstanding(vm);
    }
    return sum;
  }

  // The owner of "u0", and a router that is not its owner.
  vm_id Owner() const
  {
    std::vector<member> members;
    for (const auto& [vm, entry] : mMembers) {
      members.push_back(entry);
    }
    return *membership::OwnerOf({ "u0" }, { "cesis" }, members);
  }
  vm_id NonOwner() const
  {
    const auto owner = Owner();
    return std::ranges::find_if(
             mNodes, [&](const auto& aNode) { return aNode.first != owner; })
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
  std::map<vm_id, std::unique_ptr<router_node>> mNodes;
};

TEST(SlotBroker, SlotsOfOneUpstreamAreSharedByAllRouters)
{
  broker_cluster cluster;
  cluster.Start(3, 1);
  cluster.Acquire({ "r0" }, "a", 1min);
  cluster.Acquire({ "r1" }, "b", 1min);
  cluster.mTimers.Advance(10ms);
  cluster.Acquire({ "r2" }, "c", 1min);
  cluster.mTimers.Advance(10ms);
  EXPECT_TRUE(cluster.HasSlot({ "r0" }, "a"));
  EXPECT_TRUE(cluster.HasSlot({ "r1" }, "b"));
  EXPECT_FALSE(cluster.HasSlot({ "r2" }, "c"));
  EXPECT_EQ(cluster.Outstanding(cluster.Owner()), kSlots);
  cluster.Finish({ "r0" }, "a");
  cluster.mTimers.Advance(10ms);
  EXPECT_TRUE(cluster.HasSlot({ "r2" }, "c"));
}

TEST(SlotBroker, WithdrawnRequestIsNeverGranted)
{
  broker_cluster cluster;
  cluster.Start(3, 1);
  const auto caller = cluster.NonOwner();
  for (const std::string id : { "a", "b", "c" }) {
    cluster.Acquire(caller, id, 1min);
  }
  cluster.mTimers.Advance(10ms);
  cluster.mNodes.at(caller)->mBroker->Withdraw({ "c" });
  cluster.Finish(caller, "a");
  cluster.mTimers.Advance(1s);
  EXPECT_FALSE(cluster.mNodes.at(caller)->mOutcomes.contains({ "c" }));
  EXPECT_EQ(cluster.Outstanding(cluster.Owner()), 1U);
}

TEST(SlotBroker, RequestThatWaitedTooLongIsRefusedByItsOwner)
{
  broker_cluster cluster;
  cluster.Start(3, 1);
  const auto caller = cluster.NonOwner();
  for (const std::string id : { "a", "b" }) {
    cluster.Acquire(caller, id, 1min);
  }
  cluster.Acquire(caller, "c", 3s);
  cluster.mTimers.Advance(4s);
  const auto& outcome = cluster.mNodes.at(caller)->mOutcomes.at({ "c" });
  EXPECT_EQ(std::get<refusal>(outcome).mReason, refusal_reason::TooLate);
}

TEST(Fault_CrashAfter, Request_Slot_AHomeThatDiesWithAQueueIsReplaced)
{
  broker_cluster cluster;
  cluster.Start(3, 1);
  const auto crashed = cluster.Owner();
  const auto caller = cluster.NonOwner();
  for (const std::string id : { "a", "b", "c" }) {
    cluster.Acquire(caller, id, 1min);
  }
  cluster.mTimers.Advance(10ms);
  cluster.Kill(crashed);
  cluster.SetState(crashed, member_state::Dead);
  cluster.mTimers.Advance(10ms);
  // The new owner is notified of the running requests before it grants slots.
  EXPECT_EQ(cluster.Outstanding(cluster.Owner()), kSlots);
  EXPECT_FALSE(cluster.HasSlot(caller, "c"));
  cluster.Finish(caller, "a");
  cluster.mTimers.Advance(10ms);
  EXPECT_TRUE(cluster.HasSlot(caller, "c"));
}

TEST(Fault_SilentOutbound, Request_Slot_SilentHomesLeadToADirectChoice)
{
  broker_cluster cluster;
  cluster.Start(3, 1);
  const auto owner = cluster.Owner();
  const auto caller = cluster.NonOwner();
  cluster.mNetwork.Block(caller, owner);
  cluster.Acquire(caller, "a", 1min);
  cluster.mTimers.Advance(1s);
  EXPECT_TRUE(cluster.HasSlot(caller, "a"));
  EXPECT_EQ(cluster.mNodes.at(caller)->mBroker->Counts().mDirectChoices, 1U);
}

// A grant that arrives after the request to the owner has timed out is
// released. Otherwise the slot would be lost.
TEST(Fault_Slow, Request_Slot_ALateGrantIsGivenBack)
{
  broker_cluster cluster;
  cluster.Start(3, 1);
  const auto owner = cluster.Owner();
  const auto caller = cluster.NonOwner();
  cluster.mDelay = 1s;
  cluster.Acquire(caller, "a", 1min);
  cluster.mTimers.Advance(500ms);
  EXPECT_TRUE(cluster.HasSlot(caller, "a"));
  cluster.mDelay = 1ms;
  cluster.mTimers.Advance(5s);
  EXPECT_EQ(cluster.Outstanding(owner), 1U);
  cluster.Finish(caller, "a");
  cluster.mTimers.Advance(20s);
  EXPECT_EQ(cluster.OutstandingEverywhere(), 0U);
  EXPECT_EQ(cluster.mNodes.at(caller)->mRepeated, 0U);
}

TEST(Fault_StaleList, Request_Slot_AHomeThatWasForgottenIsPassedOver)
{
  broker_cluster cluster;
  cluster.Start(3, 1);
  const auto owner = cluster.Owner();
  const auto caller = cluster.NonOwner();
  cluster.Kill(owner);
  // The board has changed, but the broker has not been notified yet.
  cluster.mNodes.at(caller)->mBoard.mMembers.erase(owner);
  cluster.Acquire(caller, "a", 1min);
  cluster.mTimers.Advance(1s);
  EXPECT_TRUE(cluster.HasSlot(caller, "a"));
}

TEST(SlotBroker, RefusalByAnOwnerWithoutSlotsLeadsToTheNext)
{
  broker_cluster cluster;
  cluster.Start(2, 8);
  const auto owner = cluster.Owner();
  const auto caller = cluster.NonOwner();
  // The owner has not received its upstreams yet.
  cluster.mNodes.at(owner)->mBroker->SetUpstreams({});
  cluster.Acquire(caller, "a", 1min);
  cluster.mTimers.Advance(1s);
  EXPECT_TRUE(cluster.HasSlot(caller, "a"));
}

TEST(Fault_CrashAfter, Request_Finish_ARestartedHolderGivesUpItsSlots)
{
  broker_cluster cluster;
  cluster.Start(3, 1);
  const auto holder = cluster.NonOwner();
  cluster.Acquire(holder, "a", 1min);
  cluster.Acquire(holder, "b", 1min);
  cluster.Acquire(holder, "c", 1min);
  cluster.mTimers.Advance(10ms);
  cluster.Kill(holder);
  cluster.SetState(holder, member_state::Suspect);
  EXPECT_EQ(cluster.Outstanding(cluster.Owner()), kSlots);
  cluster.mMembers[holder].mProcess.mIncarnation = 2;
  cluster.StartNode(holder);
  cluster.SetState(holder, member_state::Live);
  cluster.mTimers.Advance(10ms);
  EXPECT_EQ(cluster.OutstandingEverywhere(), 0U);
}

TEST(Fault_MessageLost, Request_Slot_ARetryAvoidsTheExcludedUpstream)
{
  broker_cluster cluster;
  cluster.Start(2, 4);
  const auto caller = cluster.NonOwner();
  cluster.Acquire(caller, "a", 1min);
  cluster.mTimers.Advance(10ms);
  const auto first =
    std::get<upstream_id>(cluster.mNodes.at(caller)->mOutcomes.at({ "a" }));
  cluster.mLose = [](const peer_message& aMessage) {
    return std::holds_alternative<slot_release>(aMessage);
  };
  cluster.Finish(caller, "a");
  cluster.mNodes.at(caller)->mOutcomes.clear();
  cluster.mLose = nullptr;
  policy::queued_request again;
  again.mId = { "a" };
  again.mPool = kPool;
  again.mFirstTokenBy = again.mAnswerBy = cluster.mTimers.Now() + 1min;
  again.mExcluded = { first };
  std::optional<slot_outcome> outcome;
  cluster.mNodes.at(caller)->mBroker->Acquire(
    again, [&](slot_outcome aOutcome) { outcome = aOutcome; });
  cluster.mTimers.Advance(1s);
  ASSERT_TRUE(outcome.has_value());
  EXPECT_NE(std::get<upstream_id>(*outcome), first);
}

// Two routers that both consider themselves the owner grant at most twice the
// slots. Once they agree, a single owner counts all of them.
TEST(Fault_Partition, Request_Slot_DisagreementAboutTheHomeIsBoundedAndEnds)
{
  broker_cluster cluster;
  cluster.Start(3, 1);
  const auto owner = cluster.Owner();
  const auto isolated = cluster.NonOwner();
  auto& isolatedNode = *cluster.mNodes.at(isolated);
  for (auto& [vm, entry] : isolatedNode.mBoard.mMembers) {
    entry.mState = vm == isolated ? member_state::Live : member_state::Suspect;
  }
  isolatedNode.mBroker->OnMembersChanged();
  for (unsigned number = 0; number < 2 * kSlots; ++number) {
    cluster.Acquire(owner, "h" + std::to_string(number), 1min);
    cluster.Acquire(isolated, "l" + std::to_string(number), 1min);
  }
  cluster.mTimers.Advance(100ms);
  EXPECT_EQ(cluster.OutstandingEverywhere(), 2 * kSlots);
  cluster.SetState(isolated, member_state::Live);
  cluster.mTimers.Advance(1s);
  EXPECT_EQ(cluster.Outstanding(owner), 2 * kSlots);
  for (unsigned number = 0; number < 2 * kSlots; ++number) {
    cluster.Finish(owner, "h" + std::to_string(number));
    cluster.Finish(isolated, "l" + std::to_string(number));
    cluster.mTimers.Advance(10ms);
  }
  EXPECT_TRUE(cluster.HasSlot(owner, "h3"));
  EXPECT_TRUE(cluster.HasSlot(isolated, "l3"));
}

// Loses the first message of one kind, at whatever step it is sent.
void
LoseOneOfKind(std::size_t aKind)
{
  broker_cluster cluster;
  cluster.Start(3, 2);
  bool lost = false;
  cluster.mLose = [&](const peer_message& aMessage) {
    const bool lose = !lost && aMessage.index() == aKind;
    lost = lost || lose;
    return lose;
  };
  std::vector<std::string> ids;
  for (unsigned number = 0; number < 3 * kSlots; ++number) {
    ids.push_back("q" + std::to_string(number));
    cluster.Acquire(cluster.NonOwner(), ids.back(), 10min);
  }
  cluster.mTimers.Advance(3s);
  const auto crashed = cluster.Owner();
  const auto caller = cluster.NonOwner();
  cluster.Kill(crashed);
  cluster.SetState(crashed, member_state::Dead);
  for (const auto& id : ids) {
    cluster.mTimers.Advance(3s);
    EXPECT_TRUE(cluster.HasSlot(caller, id)) << id;
    cluster.Finish(caller, id);
  }
  EXPECT_EQ(cluster.mNodes.at(caller)->mRepeated, 0U);
  // If the release of a slot was lost, its owner asks the holder about it.
  cluster.mTimers.Advance(20s);
  EXPECT_EQ(cluster.OutstandingEverywhere(), 0U);
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

// Runs requests of random durations while one message in eight is lost.
struct lossy_cluster : broker_cluster
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
    for (const auto& [vm, node] : mNodes) {
      answered += node->mOutcomes.size();
      RC_ASSERT(node->mRepeated == 0U);
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
    rc::check([](std::uint64_t aSeed) { lossy_cluster().Run(aSeed); }));
}

} // namespace
} // namespace sapphirespar::router
