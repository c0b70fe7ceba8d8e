// Intervals between alerts.
#include "sapphirespar/gateway/peer_alert.hpp"

#include <chrono>
#include <utility>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinimumInterval{ 50 };
constexpr milliseconds kSendAgainAfter{ 300 };

} // namespace

peer_alert::peer_alert(timer_service& aTimers, std::function<void()> aSend)
  : mTimers(aTimers)
  , mSend(std::move(aSend))
{
}

void
peer_alert::Raise()
{
  const auto now = mTimers.Now();
  const bool soon = now - mLastSent < kMinimumInterval;
  if (!soon) {
    mLastSent = now;
    mSend();
  }
  mNext = mTimers.After(soon ? kMinimumInterval : kSendAgainAfter,
                        [this] { mSend(); });
}

} // namespace sapphirespar::gateway
