// Watches over one attempt: ends it when its caller has gone or when the
// upstream makes no progress in time.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/policy/progress_deadline.hpp"
#include "sapphirespar/router/pause_registry.hpp"
#include "sapphirespar/wire/http_client.hpp"
#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <optional>

namespace sapphirespar::router {

namespace asio = boost::asio;

enum class abort_reason
{
  CallerGone,
  Stalled,
};

struct watchdog_options
{
  wire::http_reply& mReply;
  wire::call_abort_ptr mAbort;
  pause_flag_ptr mPaused;
  // Whether the attempt ends with its caller.
  bool mEndWithCaller = true;
  policy::progress_limits mLimits;
};

// Belongs to the thread of its executor. Stop must be called before what
// watchdog_options refers to goes.
class attempt_watchdog
{
public:
  attempt_watchdog(asio::any_io_executor aExecutor, watchdog_options aTargets);
  ~attempt_watchdog();
  attempt_watchdog(const attempt_watchdog&) = delete;
  attempt_watchdog& operator=(const attempt_watchdog&) = delete;

  // The upstream has made progress.
  void NoteProgress();

  // While held, as for a caller that reads slowly, no progress is due.
  void SetSuspended(bool aHeld);

  void Stop();

  // Why the attempt was ended; nothing if it was not.
  std::optional<abort_reason> Reason() const;

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::router
