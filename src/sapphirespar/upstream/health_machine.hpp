// State machine of one upstream's health.
#pragma once

#include "sapphirespar/model/blackboard.hpp"

#include <memory>

namespace sapphirespar::upstream {

enum class health_event
{
  // Consecutive failures have reached the limit; a probe has been started.
  Suspected,
  // The probe failed, or the upstream failed again soon after a successful
  // probe.
  Failed,
  // The upstream has become slower than its peers.
  Slowed,
  // The upstream is as fast as its peers again.
  Recovered,
  // The ejection backoff has expired; a probe has been started.
  Retried,
  // The probe was answered.
  Answered,
  // Operators have taken the upstream out of service.
  Left,
  // Operators have put the upstream back into service.
  Returned,
};

class health_machine
{
public:
  health_machine();
  ~health_machine();
  health_machine(health_machine&&) noexcept;
  health_machine& operator=(health_machine&&) noexcept;

  // Events without a transition from the current state are ignored.
  void Process(health_event aEvent);
  upstream_state State() const;

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace sapphirespar::upstream
