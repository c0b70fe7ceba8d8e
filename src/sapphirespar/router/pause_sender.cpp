// Ordered, repeated pause orders.
#include "sapphirespar/router/pause_sender.hpp"

#include <chrono>
#include <unordered_map>
#include <utility>

namespace sapphirespar::router {
namespace {

constexpr std::chrono::milliseconds kRepeatAfter{ 100 };

// What one request's engine is to be told.
struct pause_entry
{
  upstream_spec mSpec;
  bool mWanted = false;
  // Whether an order is on its way or waits for its repetition.
  bool mBusy = false;
  timer_subscription mRepeat;
};

} // namespace

struct pause_sender::state : std::enable_shared_from_this<state>
{
  state(pause_registry& aBoard,
        timer_service& aTimers,
        send_pause_function aSend)
    : mBoard(aBoard)
    , mTimers(aTimers)
    , mSend(std::move(aSend))
  {
  }

  void Send(const request_id& aRequest);
  void OnAnswer(const request_id& aRequest, bool aSent, bool aAnswered);

  pause_registry& mBoard;
  timer_service& mTimers;
  send_pause_function mSend;
  // One for each request whose engine has not confirmed its last order.
  std::unordered_map<request_id, pause_entry> mEntries;
};

void
pause_sender::state::Send(const request_id& aRequest)
{
  auto& entry = mEntries.at(aRequest);
  entry.mBusy = true;
  const bool wanted = entry.mWanted;
  mSend(entry.mSpec,
        aRequest,
        wanted,
        [weak = weak_from_this(), aRequest, wanted](bool aAnswered) {
          if (const auto self = weak.lock()) {
            self->OnAnswer(aRequest, wanted, aAnswered);
          }
        });
}

void
pause_sender::state::OnAnswer(const request_id& aRequest,
                              bool aSent,
                              bool aAnswered)
{
  auto& entry = mEntries.at(aRequest);
  const bool confirmed = aAnswered && aSent == entry.mWanted;
  if (confirmed || !mBoard.Contains(aRequest)) {
    mEntries.erase(aRequest);
    return;
  }
  entry.mRepeat = mTimers.After(aAnswered ? steady_duration::zero()
                                          : steady_duration(kRepeatAfter),
                                [this, aRequest] { Send(aRequest); });
}

pause_sender::pause_sender(pause_registry& aBoard,
                           timer_service& aTimers,
                           send_pause_function aSend)
  : mState(std::make_shared<state>(aBoard, aTimers, std::move(aSend)))
{
}

pause_sender::~pause_sender() = default;

void
pause_sender::Set(const upstream_spec& aSpec,
                  const request_id& aRequest,
                  bool aPaused)
{
  if (!mState->mBoard.Set(aRequest, aPaused)) {
    return;
  }
  auto& entry = mState->mEntries[aRequest];
  entry.mSpec = aSpec;
  entry.mWanted = aPaused;
  if (!entry.mBusy) {
    mState->Send(aRequest);
  }
}

} // namespace sapphirespar::router
