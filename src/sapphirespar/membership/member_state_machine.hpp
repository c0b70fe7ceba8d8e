// The state machine of one member. Used only by member_table.cpp.
#pragma once

#include "sapphirespar/model/blackboard.hpp"

#include <memory>

namespace sapphirespar::membership {

class member_state_machine
{
public:
  member_state_machine();
  ~member_state_machine();
  member_state_machine(member_state_machine&&) noexcept;
  member_state_machine& operator=(member_state_machine&&) noexcept;

  member_state State() const;

  // The current incarnation was heard.
  void OnHeard(bool aLeaving);
  // Heartbeats are overdue or a connection failed: the member becomes suspect.
  void OnMissed();
  // Heartbeats have been missing for so long that the member counts as dead.
  void OnLost();
  // A later incarnation has replaced the current one.
  void OnRestarted();

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace sapphirespar::membership
