// Sends this gateway's state to its peers when something has changed that they
// should know at once.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

#include <functional>

namespace sapphirespar::gateway {

class peer_alert
{
public:
  // aSend sends the state to all peers. aTimers must outlive the alert.
  peer_alert(timer_service& aTimers, std::function<void()> aSend);

  // Sends now, or together with other changes a little later, and once more
  // afterwards, as datagrams may be lost.
  void Raise();

private:
  timer_service& mTimers;
  const std::function<void()> mSend;
  steady_time mLastSent{};
  timer_subscription mNext;
};

} // namespace sapphirespar::gateway
