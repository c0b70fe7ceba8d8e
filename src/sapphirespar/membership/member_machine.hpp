// The state machine of one member, for use by member_table.cpp only.
#pragma once

#include "sapphirespar/model/blackboard.hpp"

#include <memory>

namespace sapphirespar::membership {

class member_machine
{
public:
  member_machine();
  ~member_machine();
  member_machine(member_machine&&) noexcept;
  member_machine& operator=(member_machine&&) noexcept;

  member_state State() const;

  // A sign of life of the current incarnation.
  void Hear(bool aLeaving);
  // Signs of life are overdue.
  void Miss();
  // Signs of life have been overdue for long.
  void Lose();
  // A later incarnation has taken the place of the current one.
  void Restart();

private:
  struct impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace sapphirespar::membership
