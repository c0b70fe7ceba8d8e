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
  // has ended, which may be after the request has ended.
  void Start(attempt_target aTarget, std::shared_ptr<void> aOwner);

  // Waits until an attempt has ended, all running ones are silent, or AbortAll.
  // May also return early.
  asio::awaitable<void> Wait();

  // Returns the result of an attempt that has ended without being superseded,
  // once.
  std::optional<attempt_result> TakeEnded();

  // The number of attempts that may still answer.
  std::size_t Running() const { return mRunning.size(); }

  // Returns whether there are running attempts and the upstreams of all of them
  // have been silent for longer than their limits.
  bool IsSilent() const;

  // Lets the silent upstreams be silent for their limits once more. Calls
  // aOnFirst for each whose silence is noted for the first time.
  void NoteSilence(const std::function<void(upstream&)>& aOnFirst);

  // Aborts all attempts. Those that wait for an upstream don't use the reply
  // any more.
  void AbortAll();

  // Waits until no attempt is writing to the reply. To be called after
  // AbortAll, before the reply is destroyed.
  asio::awaitable<void> WaitForReply();

private:
  using attempt_ptr = std::shared_ptr<running_attempt>;

  asio::awaitable<void> Run(attempt_ptr aAttempt, std::shared_ptr<void> aOwner);
  void OnEnded(const attempt_ptr& aAttempt, attempt_result aResult);
  // Makes aAttempt the one that answers and aborts the others. Returns false if
  // another one has become that before.
  bool Claim(const running_attempt& aAttempt);
  // Ends the overlap of attempts at engines once it has lasted too long.
  void LimitOverlap();
  // When the running attempts overlap for too long; unset if they may do so.
  std::optional<steady_time> OverlapEnd() const;
  // When the next thing happens that Wait waits for, unless an attempt ends.
  steady_time NextCheck() const;

  const forward_services& mServices;
  const forwarded_request& mForwarded;
  wire::http_reply& mReply;
  relay_progress& mProgress;
  ended_hook mOnEnded;
  // Those that may still answer, the latest last.
  std::vector<attempt_ptr> mRunning;
  std::vector<attempt_result> mEnded;
  // Wakes Wait; cancelled when something has changed.
  asio::steady_timer mWake;
};

} // namespace sapphirespar::gateway
