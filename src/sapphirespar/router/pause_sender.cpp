// Sends the pause orders of a request in sequence and repeats unanswered ones.
#include "sapphirespar/router/pause_sender.hpp"

#include <chrono>
#include <unordered_map>
#include <utility>

namespace sapphirespar::router {
namespace {

constexpr std::chrono::milliseconds kRetryDelay{ 100 };

// The order that a request's engine has not confirmed yet.
struct pause_entry
{
  upstream_spec mSpec;
  bool mDesired = false;
  // Whether an order is in flight or waiting to be repeated.
  bool mPending = false;
  timer_subscription mRetry;
};

} // namespace

struct pause_sender::state : std::enable_shared_from_this<state>
{
  state(pause_registry& aRegistry,
        timer_service& aTimers,
        send_pause_function aSend)
    : mRegistry(aRegistry)
    , mTimers(aTimers)
    , mSend(std::move(aSend))
  {
  }

  void Send(const request_id& aRequest);
  void OnAnswer(const request_id& aRequest, bool aSent, bool aAnswered);

  pause_registry& mRegistry;
  timer_service& mTimers;
  send_pause_function mSend;
  // One entry for each request whose engine has not confirmed the last order.
  std::unordered_map<request_id, pause_entry> mEntries;
};

void
pause_sender::state::Send(const request_id& aRequest)
{
  auto& entry = mEntries.at(aRequest);
  entry.mPending = true;
  const bool desired = entry.mDesired;
  mSend(entry.mSpec,
        aRequest,
        desired,
        [weak = weak_from_this(), aRequest, desired](bool aAnswered) {
          if (const auto self = weak.lock()) {
            self->OnAnswer(aRequest, desired, aAnswered);
          }
        });
}

void
pause_sender::state::OnAnswer(const request_id& aRequest,
                              bool aSent,
                              bool aAnswered)
{
  auto& entry = mEntries.at(aRequest);
  const bool confirmed = aAnswered && aSent == entry.mDesired;
  if (confirmed || !mRegistry.Contains(aRequest)) {
    mEntries.erase(aRequest);
    return;
  }
  entry.mRetry = mTimers.After(aAnswered ? steady_duration::zero()
                                         : steady_duration(kRetryDelay),
                               [this, aRequest] { Send(aRequest); });
}

pause_sender::pause_sender(pause_registry& aRegistry,
                           timer_service& aTimers,
                           send_pause_function aSend)
  : mState(std::make_shared<state>(aRegistry, aTimers, std::move(aSend)))
{
}

pause_sender::~pause_sender() = default;

void
pause_sender::Set(const upstream_spec& aSpec,
                  const request_id& aRequest,
                  bool aPaused)
{
  if (!mState->mRegistry.Set(aRequest, aPaused)) {
    return;
  }
  auto& entry = mState->mEntries[aRequest];
  entry.mSpec = aSpec;
  entry.mDesired = aPaused;
  if (!entry.mPending) {
    mState->Send(aRequest);
  }
}

} // namespace sapphirespar::router
