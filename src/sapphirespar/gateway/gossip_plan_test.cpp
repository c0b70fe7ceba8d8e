// Tests of who is told what: whole fleets of boards and plans exchange mails
// under virtual time.
#include "sapphirespar/gateway/gossip_plan.hpp"

#include "sapphirespar/wire/gossip_codec.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

constexpr auto kPause = 100ms;
constexpr std::uint64_t kUpstream = 7;

struct member
{
  std::string mCentre;
  std::unique_ptr<peer_board> mBoard;
  std::unique_ptr<gossip_plan> mPlan;
  std::uint64_t mSequence = 0;
  std::uint32_t mRunning = 1;
  bool mDead = false;
};

// Gateways in three data centres; the first two of each are the largest.
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
      known.mBoard->SetRegistered(contacts, mNow);
    }
  }

  void Add(const std::string& aName, const std::string& aCentre, bool aLarge)
  {
    auto& made = mMembers[aName];
    const std::uint32_t processor = aLarge ? 500 : 120;
    made.mCentre = aCentre;
    made.mBoard = std::make_unique<peer_board>(
      peer_self{ { aName }, { aCentre }, processor });
    made.mPlan = std::make_unique<gossip_plan>(
      *made.mBoard, kPause, [aName, aCentre, processor, &made] {
        gossip_state self;
        self.mSender = { { aName }, 1 };
        self.mAddress = aName;
        self.mDataCentre = { aCentre };
        self.mReady = true;
        self.mProcessor = processor;
        self.mLoads = { { kUpstream, 0, 0, 0, made.mRunning, 0 } };
        return self;
      });
  }

  void Run(steady_duration aTime)
  {
    for (const auto end = mNow + aTime; mNow < end; mNow += kPause) {
      for (auto& [name, sender] : mMembers) {
        if (!sender.mDead) {
          sender.mBoard->Tick(mNow);
          Deliver(sender, sender.mPlan->Due(mNow));
        }
      }
    }
  }

  void Deliver(member& aSender, std::vector<gossip_mail> aMails)
  {
    for (auto& mail : aMails) {
      mail.mState.mSequence = ++aSender.mSequence;
      const auto bytes = wire::EncodeGossip(mail.mState);
      const auto state = wire::DecodeGossip(bytes);
      for (const auto& address : mail.mTo) {
        auto& receiver = mMembers.at(address);
        mFarBytes += receiver.mCentre == aSender.mCentre ? 0 : bytes.size();
        if (!receiver.mDead) {
          receiver.mBoard->Receive(*state, mNow);
        }
      }
    }
  }

  // How many gateways know the work of all others.
  std::size_t KnowAll()
  {
    int total = 0;
    for (const auto& [name, known] : mMembers) {
      total += known.mDead ? 0 : static_cast<int>(known.mRunning);
    }
    return std::ranges::count_if(mMembers, [&](const auto& aItem) {
      const auto& [name, known] = aItem;
      const auto loads = known.mBoard->Loads(mNow);
      const auto found = loads.find(kUpstream);
      const int others = found == loads.end() ? 0 : found->second.mRunning;
      return !known.mDead && others == total - static_cast<int>(known.mRunning);
    });
  }

  std::map<std::string, member> mMembers;
  steady_time mNow{ 100s };
  std::size_t mFarBytes = 0;
};

TEST(GossipPlan, ASmallFleetTellsAllNewsDirectly)
{
  fleet all(9);
  all.Run(1s);
  EXPECT_FALSE(all.mMembers.at("8").mBoard->UsesRelays());
  all.mMembers.at("8").mRunning = 5;
  all.Run(2 * kPause);
  EXPECT_EQ(all.KnowAll(), 9U);
}

TEST(GossipPlan, ALargeFleetHearsOfAllWorkWithinHalfASecond)
{
  fleet all(87);
  all.Run(5s);
  EXPECT_EQ(all.KnowAll(), 87U);
  all.mMembers.at("80").mRunning = 5;
  all.Run(500ms);
  EXPECT_EQ(all.KnowAll(), 87U);
}

// Without relays each of 87 gateways told 58 others about four times a second
// of its work.
TEST(GossipPlan, RelaysSpareMostBytesBetweenDataCentres)
{
  fleet all(87);
  all.Run(5s);
  all.mFarBytes = 0;
  for (unsigned round = 0; round < 50; ++round) {
    for (auto& [name, known] : all.mMembers) {
      known.mRunning = 1 + round % 7;
    }
    all.Run(kPause);
  }
  const auto& someone = all.mMembers.at("80");
  gossip_state told;
  for (const auto& mail : someone.mPlan->TellAll(all.mNow)) {
    told = mail.mState;
  }
  told.mLoads = { { kUpstream, 0, 0, 0, 1, 0 } };
  const auto direct = 87 * 58 * 4 * 5 * wire::EncodeGossip(told).size();
  EXPECT_LT(all.mFarBytes, direct / 2);
}

TEST(GossipPlan, OthersTakeOverFromRelaysThatAreLost)
{
  fleet all(87);
  all.Run(5s);
  for (const auto* relay : { "0", "3" }) {
    EXPECT_TRUE(all.mMembers.at(relay).mBoard->IsRelay(all.mNow));
    all.mMembers.at(relay).mDead = true;
  }
  all.Run(5s);
  all.mMembers.at("81").mRunning = 9;
  all.Run(500ms);
  EXPECT_EQ(all.KnowAll(), 85U);
}

TEST(GossipPlan, OneLostRelayIsNotMissed)
{
  fleet all(87);
  all.Run(5s);
  all.mMembers.at("0").mDead = true;
  // Before anyone has noticed.
  all.Run(300ms);
  all.mMembers.at("81").mRunning = 9;
  all.Run(700ms);
  // The lost one's own work is still counted.
  const auto loads = all.mMembers.at("80").mBoard->Loads(all.mNow);
  EXPECT_EQ(loads.at(kUpstream).mRunning, 87 - 1 + 8);
}

TEST(GossipPlan, WithoutRelaysTheWorkOfADataCentreIsNotCountedTwice)
{
  fleet all(87);
  all.Run(5s);
  // Six are left, who tell each other directly.
  for (auto& [name, known] : all.mMembers) {
    known.mDead = std::stoi(name) >= 6;
  }
  all.Run(40s);
  EXPECT_FALSE(all.mMembers.at("0").mBoard->UsesRelays());
  EXPECT_EQ(all.KnowAll(), 6U);
}

} // namespace
} // namespace sapphirespar::gateway
