// Messages in flight wait in the receiver's timer service.
#include "sapphirespar/model/fake_network.hpp"

#include <algorithm>

namespace sapphirespar {

struct fake_network::state
{
  struct station
  {
    process_id mSelf;
    timer_service* mTimers = nullptr;
    peer_receiver mReceive;
    std::map<std::uint64_t, timer_subscription> mInFlight;
  };

  timer_service& mTimers;
  delivery_rule mCarrier{};
  std::map<vm_id, station> mStations{};
  std::set<std::pair<vm_id, vm_id>> mCuts{};
  // When the last message of a pair arrives, so that none overtakes it.
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
    const auto found = mState->mStations.find(mSelf.mVm);
    if (found != mState->mStations.end() && found->second.mSelf == mSelf) {
      mState->mStations.erase(found);
    }
  }

  void Send(const vm_id& aTo, peer_message aMessage) override
  {
    const auto pair = std::make_pair(mSelf.mVm, aTo);
    const auto delay = mState->mCarrier(aMessage);
    const auto found = mState->mStations.find(aTo);
    if (!delay || mState->mCuts.contains(pair) ||
        found == mState->mStations.end()) {
      return;
    }
    const auto now = mState->mTimers.Now();
    auto& arrival = mState->mLastArrival[pair];
    arrival = std::max(arrival, now + *delay);
    auto& station = found->second;
    const auto id = mState->mNextMessage++;
    auto deliver = [&station, id, from = mSelf, message = std::move(aMessage)] {
      const auto receive = station.mReceive;
      const auto landed = station.mInFlight.extract(id);
      receive(from, message);
    };
    station.mInFlight[id] =
      station.mTimers->After(arrival - now, std::move(deliver));
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
  mState->mStations.erase(aSelf.mVm);
  auto& station = mState->mStations[aSelf.mVm];
  station.mSelf = aSelf;
  station.mTimers = &aTimers;
  station.mReceive = std::move(aReceive);
  return std::make_unique<link>(mState, aSelf);
}

void
fake_network::Block(const vm_id& aFrom, const vm_id& aTo)
{
  mState->mCuts.emplace(aFrom, aTo);
}

void
fake_network::Unblock(const vm_id& aFrom, const vm_id& aTo)
{
  mState->mCuts.erase({ aFrom, aTo });
}

void
fake_network::SetDeliveryRule(delivery_rule aCarrier)
{
  mState->mCarrier = std::move(aCarrier);
}

} // namespace sapphirespar
