// Tells engines which requests to pause. Orders of one request go out one
// after another, the newest wins, and one that is not answered is repeated
// until it is or the request has ended: a lost resume would lose the request.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/router/pause_registry.hpp"

#include <functional>
#include <memory>

namespace sapphirespar::router {

// Whether the engine answered the order, with whatever status.
using pause_callback = std::function<void(bool aAnswered)>;

// Sends one order; calls back once.
using send_pause_function = std::function<
  void(const upstream_spec&, const request_id&, bool aPaused, pause_callback)>;

// Lives on the control thread.
class pause_sender
{
public:
  // aBoard and aTimers outlive the sender.
  pause_sender(pause_registry& aBoard,
               timer_service& aTimers,
               send_pause_function aSend);
  ~pause_sender();
  pause_sender(const pause_sender&) = delete;
  pause_sender& operator=(const pause_sender&) = delete;

  // Pauses or resumes a request that runs here; does nothing for any other.
  void Set(const upstream_spec& aSpec,
           const request_id& aRequest,
           bool aPaused);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::router
