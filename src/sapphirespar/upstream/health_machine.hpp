// The states of one upstream's health.
#pragma once

#include "sapphirespar/model/blackboard.hpp"

#include <memory>

namespace sapphirespar::upstream {

enum class health_event
{
  // So many failures in a row that a probe has to decide.
  Suspected,
  // Failed again soon after a probe had found it alive, or the probe failed.
  Failed,
  // Turned slower than its peers.
  Slowed,
  // Is as fast as its peers again.
  Recovered,
  // Its time outside is over: a probe has been started.
  Retried,
  // The probe was answered.
  Answered,
  // Operators take it out of service, or back in.
  Left,
  Returned,
};

class health_machine
{
public:
  health_machine();
  ~health_machine();
  health_machine(health_machine&&) noexcept;
  health_machine& operator=(health_machine&&) noexcept;

  // Events that mean nothing in the current state are ignored.
  void Process(health_event aEvent);
  upstream_state State() const;

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace sapphirespar::upstream
