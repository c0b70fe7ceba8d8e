// Implements the simulated routers for bundle tests.
#include "bundle_cluster_test.hpp"

#include "sapphirespar/config/signed_bundle.hpp"
#include "test_support.hpp"

#include <algorithm>

namespace sapphirespar {
namespace {

using namespace std::chrono_literals;

constexpr auto kHeartbeatPeriod = 1000ms;
constexpr auto kPeerDelay = 1500us;
constexpr auto kPlatformDelay = 10ms;

} // namespace

bundle_cluster::bundle_cluster(unsigned aRouters, unsigned aDataCentres)
  : mRouters(aRouters)
{
  mNetwork.SetDeliveryRule([](const peer_message&) {
    return std::optional<steady_duration>(kPeerDelay);
  });
  mOperator.Faults().mDelay = kPlatformDelay;
  for (unsigned i = 0; i < aRouters; ++i) {
    mRouters[i].mVm = { "vm-" + std::to_string(i) };
    mRouters[i].mDataCentre = { "dc-" + std::to_string(i % aDataCentres) };
  }
  for (unsigned i = 0; i < aRouters; ++i) {
    Restart(i);
  }
}

void
bundle_cluster::FillMembers(cluster_router& aRouter) const
{
  for (const auto& other : mRouters) {
    member item;
    item.mProcess = { other.mVm, other.mIncarnation };
    item.mDataCentre = other.mDataCentre;
    item.mState = member_state::Live;
    aRouter.mBoard.mMembers[other.mVm] = item;
  }
}

void
bundle_cluster::Restart(std::size_t aRouter)
{
  auto& router = mRouters[aRouter];
  router.mController.reset();
  router.mLink.reset();
  router.mPlatform = std::make_unique<fake_platform>(mTimers, mStore);
  router.mPlatform->Faults().mDelay = kPlatformDelay;
  const process_id self{ router.mVm, ++router.mIncarnation };
  router.mBoard = {};
  router.mBoard.mSelf = self;
  router.mBoard.mDataCentre = router.mDataCentre;
  router.mInForce.clear();
  FillMembers(router);
  router.mLink = mNetwork.Attach(
    self, mTimers, [&router](const process_id& aFrom, peer_message aMessage) {
      if (const auto* message = std::get_if<heartbeat>(&aMessage)) {
        router.mBoard.mMembers[aFrom.mVm].mBundle = message->mBundle;
        router.mController->OnHeartbeat(*message);
      } else {
        router.mController->OnPeerMessage(aFrom, aMessage);
      }
    });
  bundle_controller_settings settings;
  settings.mTrusted = { { "anna", mAnna.mPublicKey } };
  settings.mSeed = aRouter + 1;
  router.mController = std::make_unique<bundle_controller>(
    *router.mPlatform,
    *router.mLink,
    mTimers,
    router.mBoard,
    settings,
    [&router](const bundle_ptr& aBundle) {
      router.mInForce.push_back(aBundle->mVersion);
    });
  router.mController->Start();
  router.mHeartbeatTimer = mTimers.Every(
    kHeartbeatPeriod, [this, aRouter] { SendHeartbeat(aRouter); });
}

// Sends a heartbeat to one random router, or to none if the router picks
// itself. The real membership sends more heartbeats.
void
bundle_cluster::SendHeartbeat(std::size_t aRouter)
{
  auto& router = mRouters[aRouter];
  std::uniform_int_distribution<std::size_t> pick(0, mRouters.size() - 1);
  const auto& target = mRouters[pick(mRandom)];
  if (target.mVm == router.mVm) {
    return;
  }
  heartbeat message;
  message.mSender = router.mBoard.mSelf;
  if (router.mBoard.mBundle) {
    message.mBundle = router.mBoard.mBundle->mVersion;
  }
  router.mLink->Send(target.mVm, message);
}

void
bundle_cluster::Accept(std::uint64_t aNumber, unsigned aVariant)
{
  auto next = GoodBundle(aNumber, mAnna.mPublicKey);
  next.mClasses[0].mQueueLimit = aVariant;
  const auto signedBundle = SignBundle(next, "anna", mAnna.mPrivateKey).value();
  mAcceptances.push_back(
    std::make_unique<bundle_acceptance>(mOperator, mTimers, mAcceptance));
  mAcceptances.back()->Start(
    Serialize(signedBundle), "now", [this](acceptance_result aResult) {
      mResults.push_back(std::move(aResult));
    });
}

bundle_version
bundle_cluster::Current() const
{
  const auto* object = mStore->Find(CurrentBundleKey());
  return object ? ParseSignedBundle(object->mValue)->mBundle.mVersion
                : bundle_version{};
}

bool
bundle_cluster::AllCurrent() const
{
  const auto current = Current();
  return std::ranges::all_of(mRouters, [&](const cluster_router& aRouter) {
    return aRouter.mBoard.mBundle &&
           aRouter.mBoard.mBundle->mVersion == current;
  });
}

std::optional<steady_duration>
bundle_cluster::AdvanceUntilAllCurrent(steady_duration aLimit)
{
  const auto start = mTimers.Now();
  while (mTimers.Now() - start <= aLimit) {
    if (AllCurrent()) {
      return mTimers.Now() - start;
    }
    Advance(1ms);
  }
  return std::nullopt;
}

void
bundle_cluster::EndFaults()
{
  mNetwork.SetDeliveryRule([](const peer_message&) {
    return std::optional<steady_duration>(kPeerDelay);
  });
  mOperator.Faults() = { .mDelay = kPlatformDelay };
  for (auto& router : mRouters) {
    router.mPlatform->Faults() = { .mDelay = kPlatformDelay };
    for (const auto& other : mRouters) {
      mNetwork.Unblock(router.mVm, other.mVm);
    }
  }
}

} // namespace sapphirespar
