// Moves the run of a stream to another engine if its own is about to be taken
// away before the stream ends. Internal to gateway.
#pragma once

#include "run_move.hpp"

#include <vector>

namespace sapphirespar::gateway {

class stream_mover
{
public:
  // One for each attempt. All references must outlive this object.
  stream_mover(const forward_services& aServices,
               const forwarded_request& aForwarded,
               const running_attempt& aAttempt,
               const relay_progress& aProgress)
    : mServices(aServices)
    , mForwarded(aForwarded)
    , mAttempt(aAttempt)
    , mProgress(aProgress)
  {
  }
  ~stream_mover();
  stream_mover(const stream_mover&) = delete;
  stream_mover& operator=(const stream_mover&) = delete;

  // Called when events have been sent to the caller. Begins a move if the
  // stream would be cut off otherwise.
  void OnEvents(const asio::any_io_executor& aExecutor);

  // Called when the stream's connection has ended. Returns the move if it has
  // stopped the run, which then goes on from the move's target; otherwise null.
  asio::awaitable<run_move_ptr> FindMove();

  // Whether the run may have been stopped, so that the end of a connection
  // doesn't show that the stream is complete.
  bool MayHaveStopped() const { return mMove && mMove->MayHaveStopped(); }

private:
  // Whether the engine is called back and can move the run.
  bool IsPossible() const;
  // Whether it is known to be taken away before the stream ends.
  bool IsNeeded() const;
  std::optional<attempt_target> ChooseTarget() const;

  const forward_services& mServices;
  const forwarded_request& mForwarded;
  const running_attempt& mAttempt;
  const relay_progress& mProgress;
  // The latest move; null before the first one.
  run_move_ptr mMove;
  // The engines to which a move was begun.
  std::vector<upstream_ptr> mTried;
  steady_time mNextMoveAt{};
};

} // namespace sapphirespar::gateway
