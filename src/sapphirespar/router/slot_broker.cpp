// The broker: both sides, and messages to this router itself.
#include "sapphirespar/router/slot_broker.hpp"

#include "home_map.hpp"
#include "slot_home.hpp"
#include "slot_seeker.hpp"

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
    , mHomes(aBoard, mHooks.mRandom)
    , mHome(std::move(aScheduler), aSettings, Sender())
    , mSeeker(aBoard, mHomes, aSettings, mCounts, Sender(), [this] {
      return mHome.Loads();
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
  // Delivers the messages to this router itself, in order.
  void Pump();
  bool Receive(const process_id& aFrom, const peer_message& aMessage);
  void OnPause(const slot_pause& aPause);
  void UseHomes();

  const blackboard& mBoard;
  peer_network& mPeers;
  timer_service& mTimers;
  slot_broker_hooks mHooks;
  slot_broker_counts mCounts;
  home_map mHomes;
  slot_home mHome;
  slot_seeker mSeeker;
  std::deque<peer_message> mLocal;
  // Set while mLocal is being delivered: deliveries never nest.
  bool mPumping = false;
};

void
slot_broker::state::Send(const vm_id& aTo, peer_message aMessage)
{
  if (aTo == mBoard.mSelf.mVm) {
    mLocal.push_back(std::move(aMessage));
  } else {
    mPeers.Send(aTo, std::move(aMessage));
  }
}

void
slot_broker::state::Pump()
{
  if (mPumping) {
    return;
  }
  mPumping = true;
  while (!mLocal.empty()) {
    const auto message = std::move(mLocal.front());
    mLocal.pop_front();
    Receive(mBoard.mSelf, message);
  }
  mPumping = false;
}

bool
slot_broker::state::Receive(const process_id& aFrom,
                            const peer_message& aMessage)
{
  const auto now = mTimers.Now();
  if (const auto* request = std::get_if<slot_request>(&aMessage)) {
    mHome.OnRequest(aFrom, *request, now);
  } else if (const auto* release = std::get_if<slot_release>(&aMessage)) {
    mHome.OnRelease(aFrom, *release, now);
  } else if (const auto* holding = std::get_if<slot_holding>(&aMessage)) {
    mHome.OnHolding(aFrom, *holding, now);
  } else if (const auto* grant = std::get_if<slot_grant>(&aMessage)) {
    mSeeker.OnGrant(aFrom, *grant, now);
  } else if (const auto* refused = std::get_if<slot_refusal>(&aMessage)) {
    mSeeker.OnRefusal(aFrom, *refused, now);
  } else if (const auto* waiting = std::get_if<slot_waiting>(&aMessage)) {
    mSeeker.OnWaiting(aFrom, *waiting, now);
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
  const auto upstream = mSeeker.HeldAt(aPause.mRequest);
  if (upstream && mHooks.mPause) {
    mHooks.mPause({ aPause.mRequest, *upstream, aPause.mResume });
  }
}

void
slot_broker::state::UseHomes()
{
  const auto now = mTimers.Now();
  mHome.SetUpstreams(mHomes.OwnUpstreams(), now);
  mSeeker.OnHomesChanged(now);
  Pump();
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
  mState->mHome.Configure(aBundle);
  mState->mHomes.Configure(std::move(aBundle));
  mState->UseHomes();
}

void
slot_broker::SetUpstreams(std::span<const policy::upstream_view> aUpstreams)
{
  mState->mHomes.SetUpstreams(aUpstreams);
  mState->UseHomes();
}

void
slot_broker::OnMembersChanged()
{
  mState->mHomes.Refresh();
  mState->mCounts.mReclaimed +=
    mState->mHome.Reclaim(mState->mBoard, mState->mTimers.Now());
  mState->UseHomes();
}

void
slot_broker::Acquire(policy::queued_request aRequest, slot_callback aDone)
{
  mState->mSeeker.Acquire(
    std::move(aRequest), std::move(aDone), mState->mTimers.Now());
  mState->Pump();
}

void
slot_broker::Withdraw(const request_id& aRequest)
{
  mState->mSeeker.Withdraw(aRequest);
  mState->Pump();
}

void
slot_broker::Finish(const policy::completion& aCompletion)
{
  mState->mSeeker.Finish(aCompletion);
  mState->Pump();
}

bool
slot_broker::OnPeerMessage(const process_id& aFrom,
                           const peer_message& aMessage)
{
  const bool taken = mState->Receive(aFrom, aMessage);
  mState->Pump();
  return taken;
}

void
slot_broker::Tick()
{
  const auto now = mState->mTimers.Now();
  mState->mSeeker.Tick(now);
  mState->mHome.Tick(now);
  mState->Pump();
}

std::vector<pool_load>
slot_broker::Loads() const
{
  return mState->mHome.Loads();
}

const slot_broker_counts&
slot_broker::Counts() const
{
  return mState->mCounts;
}

} // namespace sapphirespar::router
