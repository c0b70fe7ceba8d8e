// The states and transitions of a member, as a Boost.MSM state machine.
#include "member_state_machine.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace sapphirespar::membership {
namespace {

namespace msm = boost::msm;
using msm::front::Row;

struct heard
{};
struct heard_leaving
{};
struct missed
{};
struct lost
{};
struct restarted
{};

// A state that stores itself in the machine's mState when it is entered.
template<member_state State>
struct recorded_state : msm::front::state<>
{
  template<class Event, class Machine>
  void on_entry(const Event&, Machine& aMachine)
  {
    aMachine.mState = State;
  }
};

using joining = recorded_state<member_state::Joining>;
using live = recorded_state<member_state::Live>;
using leaving = recorded_state<member_state::Leaving>;
using suspect = recorded_state<member_state::Suspect>;
using dead = recorded_state<member_state::Dead>;

struct machine_def : msm::front::state_machine_def<machine_def>
{
  using initial_state = joining;

  // Boost.MSM requires the names transition_table and no_transition.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table
    : boost::mpl::vector<Row<joining, heard, live>,
                         Row<joining, heard_leaving, leaving>,
                         Row<joining, missed, suspect>,
                         Row<joining, lost, dead>,
                         Row<live, heard_leaving, leaving>,
                         Row<live, missed, suspect>,
                         Row<live, lost, dead>,
                         Row<live, restarted, joining>,
                         // The platform's list stopped marking the member as
                         // leaving.
                         Row<leaving, heard, live>,
                         Row<leaving, lost, dead>,
                         Row<leaving, restarted, joining>,
                         Row<suspect, heard, live>,
                         Row<suspect, heard_leaving, leaving>,
                         Row<suspect, lost, dead>,
                         Row<suspect, restarted, joining>,
                         // The process was only paused or partitioned.
                         Row<dead, heard, live>,
                         Row<dead, heard_leaving, leaving>,
                         Row<dead, restarted, joining>>
  {};

  // Events without a row are ignored.
  template<class Machine, class Event>
  void no_transition(const Event&, Machine&, int)
  {
  }

  member_state mState = member_state::Joining;
};

} // namespace

struct member_state_machine::impl : msm::back::state_machine<machine_def>
{};

member_state_machine::member_state_machine()
  : mImpl(std::make_unique<impl>())
{
  mImpl->start();
}

member_state_machine::~member_state_machine() = default;
member_state_machine::member_state_machine(member_state_machine&&) noexcept =
  default;
member_state_machine& member_state_machine::operator=(
  member_state_machine&&) noexcept = default;

member_state
member_state_machine::State() const
{
  return mImpl->mState;
}

void
member_state_machine::OnHeard(bool aLeaving)
{
  if (aLeaving) {
    mImpl->process_event(heard_leaving{});
  } else {
    mImpl->process_event(heard{});
  }
}

void
member_state_machine::OnMissed()
{
  mImpl->process_event(missed{});
}

void
member_state_machine::OnLost()
{
  mImpl->process_event(lost{});
}

void
member_state_machine::OnRestarted()
{
  mImpl->process_event(restarted{});
}

} // namespace sapphirespar::membership
