// Connects slot_owner and slot_client, and delivers messages that this router
// sends to itself.
#include "sapphirespar/router/slot_broker.hpp"

#include "owner_map.hpp"
#include "slot_client.hpp"
#include "slot_owner.hpp"

#include <deque>
#include <utility>

namespace sapphirespar::router {

struct slot_broker::state
{
  state(const blackboard& aBoard,
        peer_network& aPeers,
        timer_service& aTimers,
        policy::scheduler_ptr aScheduler,
        slot_broker_settings aSettings,
        slot_broker_hooks aHooks)
    : mBoard(aBoard)
    , mPeers(aPeers)
    , mTimers(aTimers)
    , mHooks(std::move(aHooks))
    , mOwnerMap(aBoard, mHooks.mRandom)
    , mOwner(std::move(aScheduler), aSettings, Sender())
    , mClient(aBoard, mOwnerMap, aSettings, mCounts, Sender(), [this] {
      return mOwner.Loads();
    })
  {
  }

  slot_sender Sender()
  {
    return [this](const vm_id& aTo, peer_message aMessage) {
      Send(aTo, std::move(aMessage));
    };
  }

  void Send(const vm_id& aTo, peer_message aMessage);
  // Delivers the messages that this router has sent to itself, in order.
  void DeliverLocal();
  bool Receive(const process_id& aFrom, const peer_message& aMessage);
  void OnPause(const slot_pause& aPause);
  void ApplyOwners();

  const blackboard& mBoard;
  peer_network& mPeers;
  timer_service& mTimers;
  slot_broker_hooks mHooks;
  slot_broker_counts mCounts;
  owner_map mOwnerMap;
  slot_owner mOwner;
  slot_client mClient;
  std::deque<peer_message> mLocalMessages;
  // Set while mLocalMessages is being delivered, so that deliveries don't nest.
  bool mDelivering = false;
};

void
slot_broker::state::Send(const vm_id& aTo, peer_message aMessage)
{
  if (aTo == mBoard.mSelf.mVm) {
    mLocalMessages.push_back(std::move(aMessage));
  } else {
    mPeers.Send(aTo, std::move(aMessage));
  }
}

void
slot_broker::state::DeliverLocal()
{
  if (mDelivering) {
    return;
  }
  mDelivering = true;
  while (!mLocalMessages.empty()) {
    const auto message = std::move(mLocalMessages.front());
    mLocalMessages.pop_front();
    Receive(mBoard.mSelf, message);
  }
  mDelivering = false;
}

bool
slot_broker::state::Receive(const process_id& aFrom,
                            const peer_message& aMessage)
{
  const auto now = mTimers.Now();
  if (const auto* request = std::get_if<slot_request>(&aMessage)) {
    mOwner.OnRequest(aFrom, *request, now);
  } else if (const auto* release = std::get_if<slot_release>(&aMessage)) {
    mOwner.OnRelease(aFrom, *release, now);
  } else if (const auto* holding = std::get_if<slot_holding>(&aMessage)) {
    mOwner.OnHolding(aFrom, *holding, now);
  } else if (const auto* grant = std::get_if<slot_grant>(&aMessage)) {
    mClient.OnGrant(aFrom, *grant, now);
  } else if (const auto* refused = std::get_if<slot_refusal>(&aMessage)) {
    mClient.OnRefusal(aFrom, *refused, now);
  } else if (const auto* waiting = std::get_if<slot_waiting>(&aMessage)) {
    mClient.OnWaiting(aFrom, *waiting, now);
  } else if (const auto* pause = std::get_if<slot_pause>(&aMessage)) {
    OnPause(*pause);
  } else {
    return false;
  }
  return true;
}

void
slot_broker::state::OnPause(const slot_pause& aPause)
{
  const auto upstream = mClient.UpstreamOf(aPause.mRequest);
  if (upstream && mHooks.mPause) {
    mHooks.mPause({ aPause.mRequest, *upstream, aPause.mResume });
  }
}

void
slot_broker::state::ApplyOwners()
{
  const auto now = mTimers.Now();
  mOwner.SetUpstreams(mOwnerMap.OwnedUpstreams(), now);
  mClient.OnOwnersChanged(now);
  DeliverLocal();
}

slot_broker::slot_broker(const blackboard& aBoard,
                         peer_network& aPeers,
                         timer_service& aTimers,
                         policy::scheduler_ptr aScheduler,
                         slot_broker_settings aSettings,
                         slot_broker_hooks aHooks)
  : mState(std::make_unique<state>(aBoard,
                                   aPeers,
                                   aTimers,
                                   std::move(aScheduler),
                                   aSettings,
                                   std::move(aHooks)))
{
}

slot_broker::~slot_broker() = default;

void
slot_broker::Configure(bundle_ptr aBundle)
{
  mState->mOwner.Configure(aBundle);
  mState->mOwnerMap.Configure(std::move(aBundle));
  mState->ApplyOwners();
}

void
slot_broker::SetUpstreams(std::span<const policy::upstream_view> aUpstreams)
{
  mState->mOwnerMap.SetUpstreams(aUpstreams);
  mState->ApplyOwners();
}

void
slot_broker::OnMembersChanged()
{
  mState->mOwnerMap.Refresh();
  mState->mCounts.mReclaimed +=
    mState->mOwner.Reclaim(mState->mBoard, mState->mTimers.Now());
  mState->ApplyOwners();
}

void
slot_broker::Acquire(policy::queued_request aRequest, slot_callback aDone)
{
  mState->mClient.Acquire(
    std::move(aRequest), std::move(aDone), mState->mTimers.Now());
  mState->DeliverLocal();
}

void
slot_broker::Withdraw(const request_id& aRequest)
{
  mState->mClient.Withdraw(aRequest);
  mState->DeliverLocal();
}

void
slot_broker::Finish(const policy::completion& aCompletion)
{
  mState->mClient.Finish(aCompletion);
  mState->DeliverLocal();
}

bool
slot_broker::OnPeerMessage(const process_id& aFrom,
                           const peer_message& aMessage)
{
  const bool handled = mState->Receive(aFrom, aMessage);
  mState->DeliverLocal();
  return handled;
}

void
slot_broker::Tick()
{
  const auto now = mState->mTimers.Now();
  mState->mClient.Tick(now);
  mState->mOwner.Tick(now);
  mState->DeliverLocal();
}

std::vector<pool_load>
slot_broker::Loads() const
{
  return mState->mOwner.Loads();
}

const slot_broker_counts&
slot_broker::Counts() const
{
  return mState->mCounts;
}

} // namespace sapphirespar::router
