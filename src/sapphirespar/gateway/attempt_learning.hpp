// Corrects the model of the engines by the timing of one attempt's answer.
// Internal to gateway.
#pragma once

#include "forward_state.hpp"

#include <array>
#include <optional>

namespace sapphirespar::gateway {

class attempt_learning
{
public:
  // The attempt starts now. All references must outlive this object.
  attempt_learning(const forward_services& aServices,
                   const forwarded_request& aForwarded,
                   const attempt_target& aTarget)
    : mServices(aServices)
    , mForwarded(aForwarded)
    , mTarget(aTarget)
  {
  }

  // Called when the first event, or the complete answer, has arrived.
  void OnFirstEvent(steady_time aNow);

  // Called when events of a stream have arrived.
  void OnEvents(steady_time aNow);

private:
  const forward_services& mServices;
  const forwarded_request& mForwarded;
  const attempt_target& mTarget;
  const steady_time mStarted = std::chrono::steady_clock::now();
  // When the latest events arrived; unset before the first. And the latest gaps
  // between events in milliseconds, oldest first; zero for each missing one.
  std::optional<steady_time> mLastEventAt;
  std::array<double, policy::engine_model::kGaps> mGaps{};
};

} // namespace sapphirespar::gateway
