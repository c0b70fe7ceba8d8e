// Faults of membership under virtual time, in small and in large systems.
#include "sapphirespar/membership/membership_controller.hpp"

#include "sapphirespar/base/pausable_timer_service.hpp"
#include "sapphirespar/membership/entry_list.hpp"
#include "sapphirespar/membership/owners.hpp"
#include "sapphirespar/model/fake_network.hpp"
#include "sapphirespar/model/fake_platform.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace sapphirespar::membership {
namespace {

using namespace std::chrono_literals;

// Adds jumps of a process's clock to another service's time.
class jumping_timer_service : public timer_service
{
public:
  explicit jumping_timer_service(timer_service& aInner)
    : mInner(aInner)
  {
  }
  steady_time Now() const override { return mInner.Now() + mJump; }
  timer_subscription After(steady_duration aDelay,
                           timer_callback aCallback) override
  {
    return mInner.After(aDelay, std::move(aCallback));
  }
  timer_subscription Every(steady_duration aPeriod,
                           timer_callback aCallback) override
  {
    return mInner.Every(aPeriod, std::move(aCallback));
  }

  steady_duration mJump{};

private:
  timer_service& mInner;
};

// One router's membership.
struct router_life
{
  explicit router_life(timer_service& aTimers)
    : mTimers(aTimers)
    , mClock(mTimers)
  {
  }

  blackboard mBoard;
  pausable_timer_service mTimers;
  jumping_timer_service mClock;
  std::unique_ptr<fake_platform> mPlatform;
  std::unique_ptr<peer_network> mLink;
  std::unique_ptr<membership_controller> mController;
  std::vector<steady_duration> mPauses;
};

struct system_scene
{
  system_scene()
  {
    mNetwork.SetDeliveryRule(
      [](const peer_message&) { return std::optional<steady_duration>(1ms); });
  }

  void List(const std::string& aVm, const std::string& aDataCentre)
  {
    mStore->mVms.push_back({ aVm, aDataCentre, "10.0.0.1", 80, 81, false });
  }

  void Start(const std::string& aVm,
             const std::string& aDataCentre,
             incarnation_number aIncarnation = 1)
  {
    auto& one = mRouters[{ aVm }];
    one = std::make_unique<router_life>(mTimers);
    auto& life = *one;
    life.mBoard.mSelf = { { aVm }, aIncarnation };
    life.mBoard.mDataCentre = { aDataCentre };
    life.mPlatform = std::make_unique<fake_platform>(life.mTimers, mStore);
    life.mLink = mNetwork.Attach(
      life.mBoard.mSelf,
      life.mTimers,
      [&life](const process_id&, const peer_message& aMessage) {
        life.mController->OnHeartbeat(std::get<heartbeat>(aMessage));
      });
    membership_settings settings;
    settings.mSelf.mProcess = life.mBoard.mSelf;
    settings.mSelf.mDataCentre = life.mBoard.mDataCentre;
    settings.mSelf.mAddress = "10.0.0.1";
    membership_hooks hooks;
    hooks.mPaused = [&life](steady_duration aGap) {
      life.mPauses.push_back(aGap);
    };
    life.mController = std::make_unique<membership_controller>(
      life.mBoard, *life.mPlatform, *life.mLink, life.mClock, settings, hooks);
  }

  // Starts and lists aEach routers in each of aDataCentres: "a0", "a1", "b0"...
  void StartMany(unsigned aDataCentres, unsigned aEach)
  {
    for (unsigned centre = 0; centre < aDataCentres; ++centre) {
      const std::string name(1, static_cast<char>('a' + centre));
      for (unsigned number = 0; number < aEach; ++number) {
        List(name + std::to_string(number), name);
      }
    }
    for (const auto& listing : mStore->mVms) {
      Start(listing.mVm, listing.mDataCentre);
    }
  }

  void Kill(const std::string& aVm) { mRouters.erase({ aVm }); }

  router_life& At(const std::string& aVm) { return *mRouters.at({ aVm }); }

  std::optional<member_state> StateOf(const std::string& aViewer,
                                      const std::string& aVm)
  {
    const auto& members = At(aViewer).mBoard.mMembers;
    const auto found = members.find({ aVm });
    return found == members.end() ? std::nullopt
                                  : std::optional(found->second.mState);
  }

  // How many routers see aVm, another one, in aState.
  std::size_t CountSeeing(const std::string& aVm, member_state aState)
  {
    return std::ranges::count_if(mRouters, [&](const auto& aRouter) {
      const auto& viewer = aRouter.first.mText;
      return viewer != aVm && StateOf(viewer, aVm) == aState;
    });
  }

  // How many pairs of different routers see each other as live.
  std::size_t CountLivePairs()
  {
    std::size_t pairs = 0;
    for (const auto& [vm, one] : mRouters) {
      pairs += CountSeeing(vm.mText, member_state::Live);
    }
    return pairs;
  }

  void SetOutage(bool aOutage)
  {
    for (const auto& [vm, one] : mRouters) {
      one->mPlatform->Faults().mOutage = aOutage;
    }
  }

  manual_timer_service mTimers;
  fake_network mNetwork{ mTimers };
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  std::map<vm_id, std::unique_ptr<router_life>> mRouters;
};

// Three routers that have found each other.
struct small_system : system_scene
{
  small_system()
  {
    mTimers.Advance(1h);
    StartMany(1, 3);
    mTimers.Advance(2s);
  }
};

TEST(Membership, SmallSystemFindsItselfWithinTwoSeconds)
{
  small_system scene;
  EXPECT_EQ(scene.CountLivePairs(), 6U);
}

TEST(Fault_StaleList, Member_List_AGoneVmIsNeverUsed)
{
  system_scene scene;
  scene.StartMany(1, 2);
  scene.List("ghost", "a");
  for (int second = 0; second < 20; ++second) {
    scene.mTimers.Advance(1s);
    const auto members = ListMembers(scene.At("a0").mBoard);
    const auto list = EntryAddresses(members, { "buyer" }, { "a" });
    EXPECT_TRUE(std::ranges::none_of(list.mAddresses, [](const auto& aAddress) {
      return aAddress.mVm.mText == "ghost";
    }));
    EXPECT_NE(OwnerOf({ "e" }, { "a" }, members)->mText, "ghost");
  }
  EXPECT_EQ(scene.StateOf("a0", "ghost"), member_state::Dead);
  std::erase_if(scene.mStore->mVms, [](const vm_listing& aListing) {
    return aListing.mVm == "ghost";
  });
  scene.mTimers.Advance(5s);
  EXPECT_FALSE(scene.StateOf("a0", "ghost").has_value());
}

TEST(Fault_StaleList, Member_Hear_AnUnlistedRouterIsKnownByItsHeartbeats)
{
  small_system scene;
  scene.Start("new", "a");
  scene.mTimers.Advance(2s);
  EXPECT_EQ(scene.CountSeeing("new", member_state::Live), 3U);
}

TEST(Fault_StoreOutage, Member_Hear_HeartbeatsAloneKeepTheTable)
{
  small_system scene;
  scene.SetOutage(true);
  scene.mTimers.Advance(10min);
  EXPECT_EQ(scene.CountLivePairs(), 6U);
  scene.Kill("a2");
  scene.mTimers.Advance(5s);
  EXPECT_EQ(scene.CountSeeing("a2", member_state::Suspect), 2U);
}

TEST(Fault_StoreOutage, Member_Entry_OnlyLiveRoutersAreNamed)
{
  small_system scene;
  scene.SetOutage(true);
  scene.Kill("a2");
  scene.mTimers.Advance(5s);
  const auto members = ListMembers(scene.At("a0").mBoard);
  EXPECT_EQ(EntryAddresses(members, { "buyer" }, { "a" }).mAddresses.size(),
            2U);
}

TEST(Fault_StoreOutage, Drain_Router_LeavingIsToldByHeartbeat)
{
  small_system scene;
  scene.SetOutage(true);
  scene.At("a2").mController->Leave();
  scene.mTimers.Advance(10ms);
  EXPECT_EQ(scene.CountSeeing("a2", member_state::Leaving), 2U);
  scene.mTimers.Advance(1min);
  EXPECT_EQ(scene.CountSeeing("a2", member_state::Leaving), 2U);
}

TEST(Fault_CrashAfter, Member_Hear_ACrashedRouterIsSuspectAndThenDead)
{
  small_system scene;
  scene.Kill("a2");
  scene.mTimers.Advance(5s);
  EXPECT_EQ(scene.CountSeeing("a2", member_state::Suspect), 2U);
  scene.mTimers.Advance(6s);
  EXPECT_EQ(scene.CountSeeing("a2", member_state::Dead), 2U);
}

TEST(Fault_CrashAfter, Member_Hear_ARestartReplacesTheOldIncarnation)
{
  small_system scene;
  scene.Kill("a2");
  scene.Start("a2", "a", 2);
  scene.mTimers.Advance(2s);
  const auto& seen = scene.At("a0").mBoard.mMembers.at({ "a2" });
  EXPECT_EQ(seen.mProcess.mIncarnation, 2U);
  EXPECT_EQ(seen.mState, member_state::Live);
}

TEST(Fault_PausePastLease, Member_Hear_APausedRouterNoticesAndBlamesNobody)
{
  small_system scene;
  auto& paused = scene.At("a2");
  paused.mTimers.Pause();
  scene.mTimers.Advance(30s);
  EXPECT_EQ(scene.CountSeeing("a2", member_state::Dead), 2U);
  paused.mTimers.Resume();
  ASSERT_FALSE(paused.mPauses.empty());
  EXPECT_GE(paused.mPauses.front(), 30s);
  EXPECT_EQ(scene.StateOf("a2", "a0"), member_state::Live);
  scene.mTimers.Advance(2s);
  EXPECT_EQ(scene.CountLivePairs(), 6U);
}

TEST(Fault_ClockJump, Member_Hear_AJumpCountsAsAPauseAndBlamesNobody)
{
  small_system scene;
  auto& jumper = scene.At("a2");
  jumper.mClock.mJump = 1h;
  for (int second = 0; second < 5; ++second) {
    scene.mTimers.Advance(1s);
    EXPECT_EQ(scene.CountLivePairs(), 6U);
  }
  ASSERT_EQ(jumper.mPauses.size(), 1U);
  EXPECT_GE(jumper.mPauses.front(), 1h);
}

TEST(Fault_Partition, Member_Hear_BothSidesAreSuspectAndComeBack)
{
  small_system scene;
  scene.mNetwork.Block({ "a0" }, { "a1" });
  scene.mNetwork.Block({ "a1" }, { "a0" });
  scene.mTimers.Advance(5s);
  EXPECT_EQ(scene.StateOf("a0", "a1"), member_state::Suspect);
  EXPECT_EQ(scene.StateOf("a1", "a0"), member_state::Suspect);
  EXPECT_EQ(scene.CountSeeing("a2", member_state::Live), 2U);
  scene.mTimers.Advance(1min);
  EXPECT_EQ(scene.StateOf("a0", "a1"), member_state::Dead);
  scene.mNetwork.Unblock({ "a0" }, { "a1" });
  scene.mNetwork.Unblock({ "a1" }, { "a0" });
  scene.mTimers.Advance(2s);
  EXPECT_EQ(scene.CountLivePairs(), 6U);
}

TEST(Fault_SilentOutbound, Member_Hear_AnUnreachableRouterIsNotUsed)
{
  small_system scene;
  scene.At("a0").mController->OnUnreachable({ "a1" });
  scene.mTimers.Advance(3s);
  EXPECT_EQ(scene.StateOf("a0", "a1"), member_state::Suspect);
  scene.mTimers.Advance(kUnreachableHold);
  EXPECT_EQ(scene.StateOf("a0", "a1"), member_state::Live);
}

TEST(Fault_MessageLost, Member_Hear_TwoLostHeartbeatsInThreeRaiseNoSuspicion)
{
  small_system scene;
  unsigned count = 0;
  scene.mNetwork.SetDeliveryRule([&](const peer_message&) {
    // Six messages a round: four of them are lost, in changing places.
    const auto number = count++;
    const bool carried = (number + number / 6) % 3 == 0;
    return carried ? std::optional<steady_duration>(1ms) : std::nullopt;
  });
  for (int second = 0; second < 60; ++second) {
    scene.mTimers.Advance(1s);
    EXPECT_EQ(scene.CountLivePairs(), 6U) << second;
  }
}

// Three data centres of eight routers each, settled.
struct large_system : system_scene
{
  static constexpr unsigned kEach = 8;
  static constexpr unsigned kRouters = 3 * kEach;
  static constexpr std::size_t kPairs = kRouters * (kRouters - 1);

  large_system()
  {
    mTimers.Advance(1h);
    StartMany(3, kEach);
    mTimers.Advance(90s);
  }

  std::string Relay(const std::string& aDataCentre)
  {
    std::string best;
    for (const auto& [vm, one] : mRouters) {
      const bool inside = one->mBoard.mDataCentre.mText == aDataCentre;
      if (inside &&
          (best.empty() || RendezvousWeight(aDataCentre, vm) >
                             RendezvousWeight(aDataCentre, { best }))) {
        best = vm.mText;
      }
    }
    return best;
  }
};

TEST(Membership, LargeSystemFindsItselfThroughItsRelays)
{
  large_system scene;
  EXPECT_EQ(scene.CountLivePairs(), large_system::kPairs);
}

TEST(Membership, LargeSystemStaysAsItIsWhileNothingHappens)
{
  large_system scene;
  for (int minute = 0; minute < 30; ++minute) {
    scene.mTimers.Advance(1min);
    ASSERT_EQ(scene.CountLivePairs(), large_system::kPairs) << minute;
  }
}

TEST(Fault_CrashAfter, Member_Hear_RelaysTellOfACrashAndOfTheRestart)
{
  large_system scene;
  const std::string victim = scene.Relay("a") == "a0" ? "a1" : "a0";
  scene.Kill(victim);
  scene.mTimers.Advance(20s);
  EXPECT_EQ(scene.CountSeeing(victim, member_state::Live), 0U);
  scene.Start(victim, "a", 2);
  scene.mTimers.Advance(20s);
  EXPECT_EQ(scene.CountLivePairs(), large_system::kPairs);
}

TEST(Fault_CrashAfter, Member_Hear_ACrashedRelayIsReplaced)
{
  large_system scene;
  scene.Kill(scene.Relay("a"));
  scene.mTimers.Advance(2min);
  const std::string victim = scene.Relay("a") == "a0" ? "a1" : "a0";
  scene.Kill(victim);
  scene.mTimers.Advance(30s);
  EXPECT_EQ(scene.CountSeeing(victim, member_state::Live), 0U);
  constexpr std::size_t kLeft = large_system::kRouters - 2;
  EXPECT_EQ(scene.CountLivePairs(), kLeft * (kLeft - 1));
}

TEST(Fault_Partition, Member_Hear_ALostDataCentreIsSuspectAndComesBack)
{
  large_system scene;
  const auto forAcross = [&](auto aDo) {
    for (const auto& [from, one] : scene.mRouters) {
      for (const auto& [to, other] : scene.mRouters) {
        const auto fromA = one->mBoard.mDataCentre.mText == "a";
        const auto toA = other->mBoard.mDataCentre.mText == "a";
        if (fromA != toA) {
          aDo(from, to);
        }
      }
    }
  };
  forAcross([&](const auto& aFrom, const auto& aTo) {
    scene.mNetwork.Block(aFrom, aTo);
  });
  scene.mTimers.Advance(1min);
  const auto inside = large_system::kEach - 1U;
  EXPECT_EQ(scene.CountSeeing("a0", member_state::Live), inside);
  forAcross([&](const auto& aFrom, const auto& aTo) {
    scene.mNetwork.Unblock(aFrom, aTo);
  });
  scene.mTimers.Advance(3min);
  EXPECT_EQ(scene.CountLivePairs(), large_system::kPairs);
}

} // namespace
} // namespace sapphirespar::membership
