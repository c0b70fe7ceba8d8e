// The states of a member and what moves it between them, by Boost.MSM.
#include "member_machine.hpp"

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

// A state that notes itself in its machine when it is entered.
template<member_state State>
struct noted_state : msm::front::state<>
{
  template<class Event, class Machine>
  void on_entry(const Event&, Machine& aMachine)
  {
    aMachine.mState = State;
  }
};

using joining = noted_state<member_state::Joining>;
using live = noted_state<member_state::Live>;
using leaving = noted_state<member_state::Leaving>;
using suspect = noted_state<member_state::Suspect>;
using dead = noted_state<member_state::Dead>;

struct machine_def : msm::front::state_machine_def<machine_def>
{
  using initial_state = joining;

  // The names of this table and of no_transition are the library's.
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
                         // The list no longer says that it leaves.
                         Row<leaving, heard, live>,
                         Row<leaving, lost, dead>,
                         Row<leaving, restarted, joining>,
                         Row<suspect, heard, live>,
                         Row<suspect, heard_leaving, leaving>,
                         Row<suspect, lost, dead>,
                         Row<suspect, restarted, joining>,
                         // It was only paused or cut off.
                         Row<dead, heard, live>,
                         Row<dead, heard_leaving, leaving>,
                         Row<dead, restarted, joining>>
  {};

  // An event without a row changes nothing.
  template<class Machine, class Event>
  void no_transition(const Event&, Machine&, int)
  {
  }

  member_state mState = member_state::Joining;
};

} // namespace

struct member_machine::impl : msm::back::state_machine<machine_def>
{};

member_machine::member_machine()
  : mImpl(std::make_unique<impl>())
{
  mImpl->start();
}

member_machine::~member_machine() = default;
member_machine::member_machine(member_machine&&) noexcept = default;
member_machine& member_machine::operator=(member_machine&&) noexcept = default;

member_state
member_machine::State() const
{
  return mImpl->mState;
}

void
member_machine::Hear(bool aLeaving)
{
  if (aLeaving) {
    mImpl->process_event(heard_leaving{});
  } else {
    mImpl->process_event(heard{});
  }
}

void
member_machine::Miss()
{
  mImpl->process_event(missed{});
}

void
member_machine::Lose()
{
  mImpl->process_event(lost{});
}

void
member_machine::Restart()
{
  mImpl->process_event(restarted{});
}

} // namespace sapphirespar::membership
