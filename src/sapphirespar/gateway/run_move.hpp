// Moves one run from an engine that is about to be taken away to another one:
// copies its memory while it goes on, stops it there, and tells where the
// request can go on from. At no time may both engines work on the run. Internal
// to gateway.
#pragma once

#include "forward_state.hpp"

#include "sapphirespar/base/boot_clock.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace sapphirespar::gateway {

enum class run_move_state
{
  // The memory is being copied, and the run goes on.
  Copying,
  // The run has been told to stop.
  Stopping,
  // The run has stopped. It goes on nowhere unless the request is sent to the
  // target.
  Stopped,
  // The run was not stopped.
  NotMoved,
  // The run may have stopped, or stop later: the reply was lost.
  Unknown,
};

// Returns the name used in logs, such as "not_moved".
std::string_view ToText(run_move_state aState);

class run_move : public std::enable_shared_from_this<run_move>
{
public:
  // aSourceCall is the request at the source. aTarget is where the run goes;
  // its load is counted from now on. aServices outlives this object.
  run_move(asio::any_io_executor aExecutor,
           const forward_services& aServices,
           std::string aRequestId,
           upstream_ptr aSource,
           wire::call_abort_ptr aSourceCall,
           attempt_target aTarget);

  // Begins the move, which keeps this object alive until it is over.
  void Start();

  run_move_state State() const { return mState; }

  // Whether the run has been told to stop and may have done so.
  bool MayHaveStopped() const;

  // Waits until it is known whether the run was stopped, or the reply is lost.
  asio::awaitable<void> Wait();

  // The engine where the run goes.
  const upstream_ptr& Destination() const { return mDestination; }

  // Returns where a run that has stopped goes on; once.
  std::optional<attempt_target> TakeTarget();

  // The request doesn't go on from the copy. Frees it, unless it was taken.
  void Abandon();

private:
  asio::awaitable<void> Run();
  bool MayStop() const;
  asio::awaitable<run_move_reply> Call(bool aStops);
  asio::awaitable<void> Free();
  void OnStopReply(const run_move_reply& aReply);
  void SetState(run_move_state aState, std::string_view aDetail);

  const forward_services& mServices;
  const std::string mRequestId;
  const upstream_ptr mSource;
  const wire::call_abort_ptr mSourceCall;
  const upstream_ptr mDestination;
  const steady_time mStarted = std::chrono::steady_clock::now();
  run_move_state mState = run_move_state::Copying;
  // Unset once it was taken or abandoned.
  std::optional<attempt_target> mTarget;
  // Names the copy at both engines; empty before there is one, and once it is
  // used or freed.
  std::string mHandle;
  // Only meaningful once there is a copy.
  boot_time mCopiedAt{};
  bool mAbandoned = false;
  // Wakes Wait.
  asio::steady_timer mWake;
};

using run_move_ptr = std::shared_ptr<run_move>;

} // namespace sapphirespar::gateway
