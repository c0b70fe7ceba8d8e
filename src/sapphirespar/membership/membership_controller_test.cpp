// Tests membership under faults and virtual time, in small (full mesh) and
// large (relayed) systems.
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

// Simulates a jump of a process's clock by adding an offset to another
// service's time.
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

// One router process with its clock, links and membership controller.
struct test_router
{
  explicit test_router(timer_service& aTimers)
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
  // The highest era of the store that a heartbeat has told.
  std::uint64_t mHeardEra = 0;
};

// Routers that share one network and one VM list under virtual time.
struct test_system
{
  test_system()
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
    auto& entry = mRouters[{ aVm }];
    entry = std::make_unique<test_router>(mTimers);
    auto& router = *entry;
    router.mBoard.mSelf = { { aVm }, aIncarnation };
    router.mBoard.mDataCentre = { aDataCentre };
    router.mPlatform = std::make_unique<fake_platform>(router.mTimers, mStore);
    router.mLink = mNetwork.Attach(
      router.mBoard.mSelf,
      router.mTimers,
      [&router](const process_id&, const peer_message& aMessage) {
        const auto& beat = std::get<heartbeat>(aMessage);
        router.mHeardEra = std::max(router.mHeardEra, beat.mStoreEra);
        router.mController->OnHeartbeat(beat);
      });
    membership_settings settings;
    settings.mSelf.mProcess = router.mBoard.mSelf;
    settings.mSelf.mDataCentre = router.mBoard.mDataCentre;
    settings.mSelf.mAddress = "10.0.0.1";
    membership_hooks hooks;
    hooks.mPaused = [&router](steady_duration aGap) {
      router.mPauses.push_back(aGap);
    };
    router.mController =
      std::make_unique<membership_controller>(router.mBoard,
                                              *router.mPlatform,
                                              *router.mLink,
                                              router.mClock,
                                              settings,
                                              hooks);
  }

  // Lists and starts aEach routers in each of aDataCentres data centres, named
  // "a0", "a1", ..., "b0", ...
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

  test_router& Router(const std::string& aVm) { return *mRouters.at({ aVm }); }

  std::optional<member_state> StateOf(const std::string& aViewer,
                                      const std::string& aVm)
  {
    const auto& members = Router(aViewer).mBoard.mMembers;
    const auto found = members.find({ aVm });
    return found == members.end() ? std::nullopt
                                  : std::optional(found->second.mState);
  }

  // Returns how many routers other than aVm see aVm in aState.
  std::size_t CountSeeing(const std::string& aVm, member_state aState)
  {
    return std::ranges::count_if(mRouters, [&](const auto& aRouter) {
      const auto& viewer = aRouter.first.mText;
      return viewer != aVm && StateOf(viewer, aVm) == aState;
    });
  }

  // Returns the number of ordered pairs of routers of which the first sees the
  // second as live.
  std::size_t CountLivePairs()
  {
    std::size_t pairs = 0;
    for (const auto& [vm, router] : mRouters) {
      pairs += CountSeeing(vm.mText, member_state::Live);
    }
    return pairs;
  }

  void SetOutage(bool aOutage)
  {
    for (const auto& [vm, router] : mRouters) {
      router->mPlatform->Faults().mOutage = aOutage;
    }
  }

  manual_timer_service mTimers;
  fake_network mNetwork{ mTimers };
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  std::map<vm_id, std::unique_ptr<test_router>> mRouters;
};

// Three routers that see each other as live.
struct small_system : test_system
{
  small_system()
  {
    mTimers.Advance(1h);
    StartMany(1, 3);
    mTimers.Advance(2s);
  }
};

TEST(Membership, SmallSystemIsLiveWithinTwoSeconds)
{
  small_system system;
  EXPECT_EQ(system.CountLivePairs(), 6U);
}

TEST(Fault_StoreRestore, Member_Hear_HeartbeatsTellTheStoresEra)
{
  small_system system;
  system.Router("a0").mBoard.mStoreEra = 5;
  system.mTimers.Advance(2s);
  EXPECT_EQ(system.Router("a1").mHeardEra, 5U);
}

TEST(Fault_StaleList, Member_List_AGoneVmIsNeverUsed)
{
  test_system system;
  system.StartMany(1, 2);
  system.List("ghost", "a");
  for (int second = 0; second < 20; ++second) {
    system.mTimers.Advance(1s);
    const auto members = ListMembers(system.Router("a0").mBoard);
    const auto list = EntryAddresses(members, { "buyer" }, { "a" });
    EXPECT_TRUE(std::ranges::none_of(list.mAddresses, [](const auto& aAddress) {
      return aAddress.mVm.mText == "ghost";
    }));
    EXPECT_NE(OwnerOf({ "e" }, { "a" }, members)->mText, "ghost");
  }
  EXPECT_EQ(system.StateOf("a0", "ghost"), member_state::Dead);
  std::erase_if(system.mStore->mVms, [](const vm_listing& aListing) {
    return aListing.mVm == "ghost";
  });
  system.mTimers.Advance(5s);
  EXPECT_FALSE(system.StateOf("a0", "ghost").has_value());
}

TEST(Fault_StaleList, Member_Hear_AnUnlistedRouterIsKnownByItsHeartbeats)
{
  small_system system;
  system.Start("new", "a");
  system.mTimers.Advance(2s);
  EXPECT_EQ(system.CountSeeing("new", member_state::Live), 3U);
}

TEST(Fault_StoreOutage, Member_Hear_HeartbeatsAloneKeepTheTable)
{
  small_system system;
  system.SetOutage(true);
  system.mTimers.Advance(10min);
  EXPECT_EQ(system.CountLivePairs(), 6U);
  system.Kill("a2");
  system.mTimers.Advance(5s);
  EXPECT_EQ(system.CountSeeing("a2", member_state::Suspect), 2U);
}

TEST(Fault_StoreOutage, Member_Entry_OnlyLiveRoutersAreNamed)
{
  small_system system;
  system.SetOutage(true);
  system.Kill("a2");
  system.mTimers.Advance(5s);
  const auto members = ListMembers(system.Router("a0").mBoard);
  EXPECT_EQ(EntryAddresses(members, { "buyer" }, { "a" }).mAddresses.size(),
            2U);
}

TEST(Fault_StoreOutage, Drain_Router_LeavingIsToldByHeartbeat)
{
  small_system system;
  system.SetOutage(true);
  system.Router("a2").mController->Leave();
  system.mTimers.Advance(10ms);
  EXPECT_EQ(system.CountSeeing("a2", member_state::Leaving), 2U);
  system.mTimers.Advance(1min);
  EXPECT_EQ(system.CountSeeing("a2", member_state::Leaving), 2U);
}

TEST(Fault_CrashAfter, Member_Hear_ACrashedRouterIsSuspectAndThenDead)
{
  small_system system;
  system.Kill("a2");
  system.mTimers.Advance(5s);
  EXPECT_EQ(system.CountSeeing("a2", member_state::Suspect), 2U);
  system.mTimers.Advance(6s);
  EXPECT_EQ(system.CountSeeing("a2", member_state::Dead), 2U);
}

TEST(Fault_CrashAfter, Member_Hear_ARestartReplacesTheOldIncarnation)
{
  small_system system;
  system.Kill("a2");
  system.Start("a2", "a", 2);
  system.mTimers.Advance(2s);
  const auto& seen = system.Router("a0").mBoard.mMembers.at({ "a2" });
  EXPECT_EQ(seen.mProcess.mIncarnation, 2U);
  EXPECT_EQ(seen.mState, member_state::Live);
}

TEST(Fault_PausePastLease, Member_Hear_APausedRouterNoticesAndBlamesNobody)
{
  small_system system;
  auto& paused = system.Router("a2");
  paused.mTimers.Pause();
  system.mTimers.Advance(30s);
  EXPECT_EQ(system.CountSeeing("a2", member_state::Dead), 2U);
  paused.mTimers.Resume();
  ASSERT_FALSE(paused.mPauses.empty());
  EXPECT_GE(paused.mPauses.front(), 30s);
  EXPECT_EQ(system.StateOf("a2", "a0"), member_state::Live);
  system.mTimers.Advance(2s);
  EXPECT_EQ(system.CountLivePairs(), 6U);
}

TEST(Fault_ClockJump, Member_Hear_AJumpCountsAsAPauseAndBlamesNobody)
{
  small_system system;
  auto& jumper = system.Router("a2");
  jumper.mClock.mJump = 1h;
  for (int second = 0; second < 5; ++second) {
    system.mTimers.Advance(1s);
    EXPECT_EQ(system.CountLivePairs(), 6U);
  }
  ASSERT_EQ(jumper.mPauses.size(), 1U);
  EXPECT_GE(jumper.mPauses.front(), 1h);
}

TEST(Fault_Partition, Member_Hear_BothSidesAreSuspectAndComeBack)
{
  small_system system;
  system.mNetwork.Block({ "a0" }, { "a1" });
  system.mNetwork.Block({ "a1" }, { "a0" });
  system.mTimers.Advance(5s);
  EXPECT_EQ(system.StateOf("a0", "a1"), member_state::Suspect);
  EXPECT_EQ(system.StateOf("a1", "a0"), member_state::Suspect);
  EXPECT_EQ(system.CountSeeing("a2", member_state::Live), 2U);
  system.mTimers.Advance(1min);
  EXPECT_EQ(system.StateOf("a0", "a1"), member_state::Dead);
  system.mNetwork.Unblock({ "a0" }, { "a1" });
  system.mNetwork.Unblock({ "a1" }, { "a0" });
  system.mTimers.Advance(2s);
  EXPECT_EQ(system.CountLivePairs(), 6U);
}

TEST(Fault_SilentOutbound, Member_Hear_AnUnreachableRouterIsNotUsed)
{
  small_system system;
  system.Router("a0").mController->OnUnreachable({ "a1" });
  system.mTimers.Advance(3s);
  EXPECT_EQ(system.StateOf("a0", "a1"), member_state::Suspect);
  system.mTimers.Advance(kMinUnreachableTime);
  EXPECT_EQ(system.StateOf("a0", "a1"), member_state::Live);
}

TEST(Fault_MessageLost, Member_Hear_TwoLostHeartbeatsInThreeRaiseNoSuspicion)
{
  small_system system;
  unsigned count = 0;
  system.mNetwork.SetDeliveryRule([&](const peer_message&) {
    // Of the six messages of each round four are lost, a different four in
    // successive rounds.
    const auto number = count++;
    const bool delivered = (number + number / 6) % 3 == 0;
    return delivered ? std::optional<steady_duration>(1ms) : std::nullopt;
  });
  for (int second = 0; second < 60; ++second) {
    system.mTimers.Advance(1s);
    EXPECT_EQ(system.CountLivePairs(), 6U) << second;
  }
}

// Three data centres of eight routers each, after time to discover each other.
struct large_system : test_system
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
    for (const auto& [vm, router] : mRouters) {
      const bool inside = router->mBoard.mDataCentre.mText == aDataCentre;
      if (inside &&
          (best.empty() || RendezvousWeight(aDataCentre, vm) >
                             RendezvousWeight(aDataCentre, { best }))) {
        best = vm.mText;
      }
    }
    return best;
  }
};

TEST(Membership, LargeSystemIsLiveThroughItsRelays)
{
  large_system system;
  EXPECT_EQ(system.CountLivePairs(), large_system::kPairs);
}

TEST(Membership, LargeSystemStaysLiveWithoutFaults)
{
  large_system system;
  for (int minute = 0; minute < 30; ++minute) {
    system.mTimers.Advance(1min);
    ASSERT_EQ(system.CountLivePairs(), large_system::kPairs) << minute;
  }
}

TEST(Fault_CrashAfter, Member_Hear_RelaysTellOfACrashAndOfTheRestart)
{
  large_system system;
  const std::string crashed = system.Relay("a") == "a0" ? "a1" : "a0";
  system.Kill(crashed);
  system.mTimers.Advance(20s);
  EXPECT_EQ(system.CountSeeing(crashed, member_state::Live), 0U);
  system.Start(crashed, "a", 2);
  system.mTimers.Advance(20s);
  EXPECT_EQ(system.CountLivePairs(), large_system::kPairs);
}

TEST(Fault_CrashAfter, Member_Hear_ACrashedRelayIsReplaced)
{
  large_system system;
  system.Kill(system.Relay("a"));
  system.mTimers.Advance(2min);
  const std::string crashed = system.Relay("a") == "a0" ? "a1" : "a0";
  system.Kill(crashed);
  system.mTimers.Advance(30s);
  EXPECT_EQ(system.CountSeeing(crashed, member_state::Live), 0U);
  constexpr std::size_t kRemaining = large_system::kRouters - 2;
  EXPECT_EQ(system.CountLivePairs(), kRemaining * (kRemaining - 1));
}

TEST(Fault_Partition, Member_Hear_ALostDataCentreIsSuspectAndComesBack)
{
  large_system system;
  const auto forAcross = [&](auto aAction) {
    for (const auto& [from, router] : system.mRouters) {
      for (const auto& [to, other] : system.mRouters) {
        const auto fromA = router->mBoard.mDataCentre.mText == "a";
        const auto toA = other->mBoard.mDataCentre.mText == "a";
        if (fromA != toA) {
          aAction(from, to);
        }
      }
    }
  };
  forAcross([&](const auto& aFrom, const auto& aTo) {
    system.mNetwork.Block(aFrom, aTo);
  });
  system.mTimers.Advance(1min);
  const auto inside = large_system::kEach - 1U;
  EXPECT_EQ(system.CountSeeing("a0", member_state::Live), inside);
  forAcross([&](const auto& aFrom, const auto& aTo) {
    system.mNetwork.Unblock(aFrom, aTo);
  });
  system.mTimers.Advance(3min);
  EXPECT_EQ(system.CountLivePairs(), large_system::kPairs);
}

} // namespace
} // namespace sapphirespar::membership
