// Tests of the gossip schedule with simulated fleets, whose peer tables and
// plans exchange messages under virtual time.
#include "sapphirespar/gateway/gossip_plan.hpp"

#include "sapphirespar/wire/gossip_codec.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

constexpr auto kInterval = 100ms;
constexpr std::uint64_t kUpstream = 7;

struct member
{
  std::string mCentre;
  std::unique_ptr<peer_table> mTable;
  std::unique_ptr<gossip_plan> mPlan;
  std::uint64_t mSequence = 0;
  std::uint32_t mRunning = 1;
  bool mDead = false;
};

// A fleet in three data centres. The first two gateways of each are the largest
// and so become its relays.
class fleet
{
public:
  explicit fleet(unsigned aGateways)
  {
    for (unsigned index = 0; index < aGateways; ++index) {
      Add(std::to_string(index), "dc" + std::to_string(index % 3), index < 6);
    }
    std::vector<peer_contact> contacts;
    for (const auto& [name, known] : mMembers) {
      contacts.push_back({ { name }, name });
    }
    for (auto& [name, known] : mMembers) {
      known.mTable->SetRegistered(contacts, mNow);
    }
  }

  void Add(const std::string& aName, const std::string& aCentre, bool aLarge)
  {
    auto& added = mMembers[aName];
    const std::uint32_t processor = aLarge ? 500 : 120;
    added.mCentre = aCentre;
    added.mTable = std::make_unique<peer_table>(
      gateway_identity{ { aName }, { aCentre }, processor });
    added.mPlan = std::make_unique<gossip_plan>(
      *added.mTable, kInterval, [aName, aCentre, processor, &added] {
        gossip_state self;
        self.mSender = { { aName }, 1 };
        self.mAddress = aName;
        self.mDataCentre = { aCentre };
        self.mReady = true;
        self.mProcessor = processor;
        self.mLoads = { { kUpstream, 0, 0, 0, added.mRunning, 0 } };
        return self;
      });
  }

  void Run(steady_duration aTime)
  {
    for (const auto end = mNow + aTime; mNow < end; mNow += kInterval) {
      for (auto& [name, sender] : mMembers) {
        if (!sender.mDead) {
          sender.mTable->Tick(mNow);
          Deliver(sender, sender.mPlan->DueMessages(mNow));
        }
      }
    }
  }

  void Deliver(member& aSender, std::vector<outgoing_gossip> aMessages)
  {
    for (auto& message : aMessages) {
      message.mState.mSequence = ++aSender.mSequence;
      const auto bytes = wire::EncodeGossip(message.mState);
      const auto state = wire::DecodeGossip(bytes);
      for (const auto& address : message.mTo) {
        auto& receiver = mMembers.at(address);
        mRemoteBytes += receiver.mCentre == aSender.mCentre ? 0 : bytes.size();
        if (!receiver.mDead) {
          receiver.mTable->Receive(*state, mNow);
        }
      }
    }
  }

  // Counts the live gateways that have received the loads of all other live
  // gateways.
  std::size_t CountInformed()
  {
    int total = 0;
    for (const auto& [name, known] : mMembers) {
      total += known.mDead ? 0 : static_cast<int>(known.mRunning);
    }
    return std::ranges::count_if(mMembers, [&](const auto& aItem) {
      const auto& [name, known] = aItem;
      const auto loads = known.mTable->Loads(mNow);
      const auto found = loads.find(kUpstream);
      const int others = found == loads.end() ? 0 : found->second.mRunning;
      return !known.mDead && others == total - static_cast<int>(known.mRunning);
    });
  }

  std::map<std::string, member> mMembers;
  steady_time mNow{ 100s };
  std::size_t mRemoteBytes = 0;
};

TEST(GossipPlan, ASmallFleetReportsLoadDirectly)
{
  fleet all(9);
  all.Run(1s);
  EXPECT_FALSE(all.mMembers.at("8").mTable->UsesRelays());
  all.mMembers.at("8").mRunning = 5;
  all.Run(2 * kInterval);
  EXPECT_EQ(all.CountInformed(), 9U);
}

TEST(GossipPlan, LoadReachesALargeFleetWithinHalfASecond)
{
  fleet all(87);
  all.Run(5s);
  EXPECT_EQ(all.CountInformed(), 87U);
  all.mMembers.at("80").mRunning = 5;
  all.Run(500ms);
  EXPECT_EQ(all.CountInformed(), 87U);
}

// Compares with gossip without relays, where each of 87 gateways sends its
// loads to the 58 gateways of other data centres about four times a second.
TEST(GossipPlan, RelaysHalveTheBytesBetweenDataCentres)
{
  fleet all(87);
  all.Run(5s);
  all.mRemoteBytes = 0;
  for (unsigned round = 0; round < 50; ++round) {
    for (auto& [name, known] : all.mMembers) {
      known.mRunning = 1 + round % 7;
    }
    all.Run(kInterval);
  }
  const auto& sender = all.mMembers.at("80");
  gossip_state sample;
  for (const auto& message : sender.mPlan->MessagesToAll(all.mNow)) {
    sample = message.mState;
  }
  sample.mLoads = { { kUpstream, 0, 0, 0, 1, 0 } };
  const auto direct = 87 * 58 * 4 * 5 * wire::EncodeGossip(sample).size();
  EXPECT_LT(all.mRemoteBytes, direct / 2);
}

TEST(GossipPlan, LostRelaysAreReplaced)
{
  fleet all(87);
  all.Run(5s);
  for (const auto* relay : { "0", "3" }) {
    EXPECT_TRUE(all.mMembers.at(relay).mTable->IsRelay(all.mNow));
    all.mMembers.at(relay).mDead = true;
  }
  all.Run(5s);
  all.mMembers.at("81").mRunning = 9;
  all.Run(500ms);
  EXPECT_EQ(all.CountInformed(), 85U);
}

TEST(GossipPlan, OneLostRelayCausesNoGap)
{
  fleet all(87);
  all.Run(5s);
  all.mMembers.at("0").mDead = true;
  // Too short for the loss to be detected.
  all.Run(300ms);
  all.mMembers.at("81").mRunning = 9;
  all.Run(700ms);
  // The load of the lost relay itself is still counted.
  const auto loads = all.mMembers.at("80").mTable->Loads(all.mNow);
  EXPECT_EQ(loads.at(kUpstream).mRunning, 87 - 1 + 8);
}

TEST(GossipPlan, LoadIsCountedOnceAfterAFleetShrinksBelowTheRelayThreshold)
{
  fleet all(87);
  all.Run(5s);
  // The six remaining gateways send to each other directly.
  for (auto& [name, known] : all.mMembers) {
    known.mDead = std::stoi(name) >= 6;
  }
  all.Run(40s);
  EXPECT_FALSE(all.mMembers.at("0").mTable->UsesRelays());
  EXPECT_EQ(all.CountInformed(), 6U);
}

} // namespace
} // namespace sapphirespar::gateway
