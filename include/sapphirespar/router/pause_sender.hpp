// Sends pause and resume orders to engines.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/router/pause_registry.hpp"

#include <functional>
#include <memory>

namespace sapphirespar::router {

// aAnswered is true if the engine answered the order, with any status.
using pause_callback = std::function<void(bool aAnswered)>;

// Sends one order; calls back once.
using send_pause_function = std::function<
  void(const upstream_spec&, const request_id&, bool aPaused, pause_callback)>;

// Sends the orders of each request one at a time; the newest order supersedes
// those that have not been sent. An unanswered order is repeated until the
// engine answers or the request ends, because a request whose resume order is
// lost would stay paused. Used on the control thread only.
class pause_sender
{
public:
  // aRegistry and aTimers outlive the sender.
  pause_sender(pause_registry& aRegistry,
               timer_service& aTimers,
               send_pause_function aSend);
  ~pause_sender();
  pause_sender(const pause_sender&) = delete;
  pause_sender& operator=(const pause_sender&) = delete;

  // Pauses or resumes a request that runs at this router; ignores all others.
  void Set(const upstream_spec& aSpec,
           const request_id& aRequest,
           bool aPaused);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::router
