// Runs the attempts of one request, and a second one beside an attempt whose
// upstream has fallen silent. Whichever has more of the answer first continues,
// and the other is aborted. Internal to gateway.
#pragma once

#include "forward_state.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace sapphirespar::gateway {

class attempt_race
{
public:
  // Called with each attempt that has ended.
  using ended_hook =
    std::function<void(const running_attempt&, const attempt_result&)>;

  // The arguments outlive every attempt; see Start.
  attempt_race(asio::any_io_executor aExecutor,
               const forward_services& aServices,
               const forwarded_request& aForwarded,
               wire::http_reply& aReply,
               relay_progress& aProgress,
               ended_hook aOnEnded);

  // Starts an attempt. It keeps aOwner, which owns this object, alive until it
  // has ended. The reply is not used after AbortAll.
  void Start(attempt_target aTarget, std::shared_ptr<void> aOwner);

  // Waits until an attempt has ended, one has become silent, or AbortAll.
  asio::awaitable<void> Wait();

  // Returns the result of an attempt that has ended without being superseded,
  // once.
  std::optional<attempt_result> TakeEnded();

  // The number of attempts that may still answer.
  std::size_t Running() const { return mRunning.size(); }

  // Returns the only running attempt if its upstream has been silent for longer
  // than its limit, otherwise null.
  running_attempt* Silent() const;

  // Aborts all attempts. None of them uses the reply any more.
  void AbortAll();

private:
  using attempt_ptr = std::shared_ptr<running_attempt>;

  asio::awaitable<void> Run(attempt_ptr aAttempt, std::shared_ptr<void> aOwner);
  void OnEnded(const attempt_ptr& aAttempt, attempt_result aResult);
  // Makes aAttempt the one that answers and aborts the others. Returns false if
  // another one has become that before.
  bool Claim(const running_attempt& aAttempt);
  // When the next attempt may have become silent.
  steady_time NextSilence() const;

  const forward_services& mServices;
  const forwarded_request& mForwarded;
  wire::http_reply& mReply;
  relay_progress& mProgress;
  ended_hook mOnEnded;
  // Those that may still answer.
  std::vector<attempt_ptr> mRunning;
  std::vector<attempt_result> mEnded;
  // Wakes Wait; cancelled when something has changed.
  asio::steady_timer mWake;
};

} // namespace sapphirespar::gateway
