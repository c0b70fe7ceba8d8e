// Implements the in-memory network. Messages in flight are timers of the
// receiver's timer service.
#include "sapphirespar/model/fake_network.hpp"

#include <algorithm>

namespace sapphirespar {

struct fake_network::state
{
  struct endpoint
  {
    process_id mSelf;
    timer_service* mTimers = nullptr;
    peer_receiver mReceive;
    std::map<std::uint64_t, timer_subscription> mInFlight;
  };

  timer_service& mTimers;
  delivery_rule mDeliveryRule{};
  std::map<vm_id, endpoint> mEndpoints{};
  std::set<std::pair<vm_id, vm_id>> mBlocked{};
  // Arrival time of the last message of each pair of VMs; later messages must
  // not arrive before it.
  std::map<std::pair<vm_id, vm_id>, steady_time> mLastArrival{};
  std::uint64_t mNextMessage = 1;
};

class fake_network::link : public peer_network
{
public:
  link(std::shared_ptr<state> aState, process_id aSelf)
    : mState(std::move(aState))
    , mSelf(std::move(aSelf))
  {
  }

  ~link() override
  {
    const auto found = mState->mEndpoints.find(mSelf.mVm);
    if (found != mState->mEndpoints.end() && found->second.mSelf == mSelf) {
      mState->mEndpoints.erase(found);
    }
  }

  void Send(const vm_id& aTo, peer_message aMessage) override
  {
    const auto pair = std::make_pair(mSelf.mVm, aTo);
    const auto delay = mState->mDeliveryRule(aMessage);
    const auto found = mState->mEndpoints.find(aTo);
    if (!delay || mState->mBlocked.contains(pair) ||
        found == mState->mEndpoints.end()) {
      return;
    }
    const auto now = mState->mTimers.Now();
    auto& arrival = mState->mLastArrival[pair];
    arrival = std::max(arrival, now + *delay);
    auto& endpoint = found->second;
    const auto id = mState->mNextMessage++;
    auto deliver =
      [&endpoint, id, from = mSelf, message = std::move(aMessage)] {
        const auto receive = endpoint.mReceive;
        const auto delivered = endpoint.mInFlight.extract(id);
        receive(from, message);
      };
    endpoint.mInFlight[id] =
      endpoint.mTimers->After(arrival - now, std::move(deliver));
  }

private:
  std::shared_ptr<state> mState;
  const process_id mSelf;
};

fake_network::fake_network(timer_service& aTimers)
  : mState(std::make_shared<state>(state{ .mTimers = aTimers }))
{
  SetDeliveryRule(
    [](const peer_message&) { return std::optional(steady_duration::zero()); });
}

fake_network::~fake_network() = default;

std::unique_ptr<peer_network>
fake_network::Attach(const process_id& aSelf,
                     timer_service& aTimers,
                     peer_receiver aReceive)
{
  mState->mEndpoints.erase(aSelf.mVm);
  auto& endpoint = mState->mEndpoints[aSelf.mVm];
  endpoint.mSelf = aSelf;
  endpoint.mTimers = &aTimers;
  endpoint.mReceive = std::move(aReceive);
  return std::make_unique<link>(mState, aSelf);
}

void
fake_network::Block(const vm_id& aFrom, const vm_id& aTo)
{
  mState->mBlocked.emplace(aFrom, aTo);
}

void
fake_network::Unblock(const vm_id& aFrom, const vm_id& aTo)
{
  mState->mBlocked.erase({ aFrom, aTo });
}

void
fake_network::SetDeliveryRule(delivery_rule aRule)
{
  mState->mDeliveryRule = std::move(aRule);
}

} // namespace sapphirespar
