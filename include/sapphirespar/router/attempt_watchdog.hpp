// Aborts an attempt when its caller disconnects or when the upstream makes no
// progress in time.
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
  CallerLeft,
  Stalled,
};

struct watchdog_options
{
  wire::http_reply& mReply;
  wire::call_abort_ptr mAbort;
  pause_flag_ptr mPaused;
  // Whether the attempt is aborted when its caller disconnects.
  bool mEndWithCaller = true;
  policy::progress_limits mLimits;
};

// Used on the thread of its executor only. Stop must be called before the
// objects that watchdog_options refers to are destroyed.
class attempt_watchdog
{
public:
  attempt_watchdog(asio::any_io_executor aExecutor, watchdog_options aOptions);
  ~attempt_watchdog();
  attempt_watchdog(const attempt_watchdog&) = delete;
  attempt_watchdog& operator=(const attempt_watchdog&) = delete;

  // Restarts the progress deadline.
  void NoteProgress();

  // While suspended, for example because the caller reads slowly, the upstream
  // has no progress deadline.
  void SetSuspended(bool aSuspended);

  void Stop();

  // Returns why the attempt was aborted; nothing if it was not.
  std::optional<abort_reason> Reason() const;

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::router
