// Tests the traffic that membership causes at a router at the size of the
// two-year target, computed from the real message encoding.
#include "sapphirespar/membership/membership_controller.hpp"
#include "sapphirespar/model/fake_platform.hpp"
#include "sapphirespar/wire/peer_codec.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <iostream>

namespace sapphirespar::router {
namespace {

using namespace std::chrono_literals;

// The target: 400 routers in 13 data centres, with 3,500 upstreams.
constexpr unsigned kRouters = 400;
constexpr unsigned kDataCentres = 13;
constexpr unsigned kUpstreams = 3500;
constexpr double kBytesPerSecondLimit = 4096;

// Accounts that one router serves. Heartbeats list those with the most demand.
constexpr unsigned kDemands = 50;
// Overhead of a TCP segment: IPv4 and TCP headers with timestamps.
constexpr double kSegmentBytes = 52;
// Overhead of a frame on the peer link.
constexpr double kFrameBytes = 4;
// Upper estimate of one entry of the platform's VM list as JSON.
constexpr double kListingBytes = 120;
// The list is read less often the longer it is, so that a router receives on
// average one entry in this time.
constexpr double kListSecondsPerMember =
  std::chrono::duration<double>(membership::kListPeriodPerMember).count();

// Bytes that one router sent and received.
struct byte_count
{
  double mBytes = 0;
};

struct counted_router
{
  blackboard mBoard;
  std::unique_ptr<fake_platform> mPlatform;
  std::unique_ptr<peer_network> mLink;
  std::unique_ptr<membership::membership_controller> mController;
};

using router_map = std::map<vm_id, counted_router>;

// Delivers heartbeats immediately and counts their bytes at both ends: the
// heartbeat's segment with a ping, the pong and the acknowledgements.
class counting_network : public peer_network
{
public:
  counting_network(vm_id aSelf,
                   router_map& aRouters,
                   std::map<vm_id, byte_count>& aCounts)
    : mSelf(std::move(aSelf))
    , mRouters(aRouters)
    , mCounts(aCounts)
  {
  }

  void Send(const vm_id& aTo, peer_message aMessage) override
  {
    const auto size = wire::EncodePeerMessage(aMessage).size();
    const double request = static_cast<double>(size) + 2 * kFrameBytes;
    const double reply = kFrameBytes;
    const double segments = 3 * kSegmentBytes;
    mCounts[mSelf].mBytes += request + reply + segments;
    mCounts[aTo].mBytes += request + reply + segments;
    if (const auto& controller = mRouters[aTo].mController) {
      controller->OnHeartbeat(std::get<heartbeat>(aMessage));
    }
  }

private:
  vm_id mSelf;
  router_map& mRouters;
  std::map<vm_id, byte_count>& mCounts;
};

// Returns loads of the upstreams that one router owns, each of another model.
std::vector<pool_load>
MakeLoads()
{
  std::vector<pool_load> loads;
  for (unsigned number = 0; number < kUpstreams / kRouters + 1; ++number) {
    loads.push_back({ "model-" + std::to_string(10 + number), 64, 60, 100 });
  }
  return loads;
}

std::vector<account_demand>
MakeDemands()
{
  std::vector<account_demand> demands;
  for (unsigned number = 0; number < kDemands; ++number) {
    demands.push_back({ { "account-" + std::to_string(1000 + number) }, 2.5 });
  }
  return demands;
}

class counted_system
{
public:
  counted_system(unsigned aRouters, unsigned aDataCentres)
  {
    for (unsigned number = 0; number < aRouters; ++number) {
      const auto vm = "vm-" + std::to_string(1000 + number);
      const auto centre = "centre-" + std::to_string(number % aDataCentres);
      mStore->mVms.push_back({ vm, centre, "10.20.30.40", 8080, 9090, false });
    }
    std::ranges::for_each(
      mStore->mVms, [this](const vm_listing& aListing) { Start(aListing); });
  }

  // Bytes per second of the median router and of the one with the most traffic.
  struct byte_rates
  {
    double mMedian = 0;
    double mWorst = 0;
  };
  byte_rates Measure(std::chrono::seconds aTime)
  {
    mCounts.clear();
    mTimers.Advance(aTime);
    const auto listed = kListingBytes / kListSecondsPerMember;
    std::vector<double> rates;
    for (const auto& [vm, item] : mRouters) {
      const auto seconds = static_cast<double>(aTime.count());
      rates.push_back(mCounts[vm].mBytes / seconds + listed);
    }
    std::ranges::sort(rates);
    return { rates[rates.size() / 2], rates.back() };
  }

  std::size_t CountLivePairs() const
  {
    std::size_t pairs = 0;
    for (const auto& [vm, item] : mRouters) {
      pairs +=
        std::ranges::count_if(item.mBoard.mMembers, [](const auto& aItem) {
          return aItem.second.mState == member_state::Live;
        });
    }
    return pairs;
  }

  manual_timer_service mTimers;

private:
  void Start(const vm_listing& aListing)
  {
    auto& item = mRouters[{ aListing.mVm }];
    constexpr incarnation_number kIncarnation = 1764800000000;
    item.mBoard.mSelf = { { aListing.mVm }, kIncarnation };
    item.mBoard.mDataCentre = { aListing.mDataCentre };
    item.mPlatform = std::make_unique<fake_platform>(mTimers, mStore);
    item.mLink = std::make_unique<counting_network>(
      item.mBoard.mSelf.mVm, mRouters, mCounts);
    membership::membership_settings settings;
    settings.mSelf.mProcess = item.mBoard.mSelf;
    settings.mSelf.mDataCentre = item.mBoard.mDataCentre;
    settings.mSelf.mAddress = aListing.mAddress;
    settings.mSelf.mPort = aListing.mPort;
    settings.mSelf.mPeerPort = aListing.mPeerPort;
    membership::membership_hooks hooks;
    hooks.mPools = MakeLoads;
    hooks.mDemands = MakeDemands;
    item.mController = std::make_unique<membership::membership_controller>(
      item.mBoard, *item.mPlatform, *item.mLink, mTimers, settings, hooks);
  }

  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  std::map<vm_id, byte_count> mCounts;
  router_map mRouters;
};

TEST(MembershipCost, StaysWithinTheTargetBytesPerSecond)
{
  constexpr auto kSettle = 60s;
  // Each pair of relays exchanges a list of all members once in this time.
  constexpr auto kTime = 60s;
  counted_system system(kRouters, kDataCentres);
  system.mTimers.Advance(kSettle);
  EXPECT_EQ(system.CountLivePairs(), kRouters * kRouters);
  const auto cpuBefore = std::clock();
  const auto rates = system.Measure(kTime);
  const double cpu =
    static_cast<double>(std::clock() - cpuBefore) / CLOCKS_PER_SEC;
  // Printed for information only. The processor time includes the fakes and the
  // encoding of each heartbeat.
  std::cout << "bytes/s median " << rates.mMedian << " worst " << rates.mWorst
            << ", core share per router "
            << cpu / (kRouters * static_cast<double>(kTime.count())) << "\n";
  EXPECT_LE(rates.mWorst, kBytesPerSecondLimit);
}

} // namespace
} // namespace sapphirespar::router
