// Implements the health state machine with Boost.MSM.
#include "health_machine.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace sapphirespar::upstream {
namespace {

namespace msm = boost::msm;
using boost::msm::front::none;

template<health_event Event>
struct on
{
};

struct healthy : msm::front::state<>
{};
struct slow : msm::front::state<>
{};
struct ejected : msm::front::state<>
{};
struct probing : msm::front::state<>
{};
struct leaving : msm::front::state<>
{};

template<class From, health_event Event, class To>
using step = msm::front::Row<From, on<Event>, To, none, none>;

struct health_front : msm::front::state_machine_def<health_front>
{
  using initial_state = healthy;
  using activate_deferred_events = int;
  using no_exception_thrown = int;
  using no_message_queue = int;

  // An upstream leaves the leaving state only by a Returned event.
  struct transition_table
    : boost::mpl::vector<step<healthy, health_event::Suspected, probing>,
                         step<healthy, health_event::Failed, ejected>,
                         step<healthy, health_event::Slowed, slow>,
                         step<healthy, health_event::Left, leaving>,
                         step<slow, health_event::Suspected, probing>,
                         step<slow, health_event::Failed, ejected>,
                         step<slow, health_event::Recovered, healthy>,
                         step<slow, health_event::Left, leaving>,
                         step<probing, health_event::Answered, healthy>,
                         step<probing, health_event::Failed, ejected>,
                         step<probing, health_event::Left, leaving>,
                         step<ejected, health_event::Retried, probing>,
                         step<ejected, health_event::Left, leaving>,
                         step<leaving, health_event::Returned, probing>>
  {};

  template<class Machine, class Event>
  void no_transition(const Event&, Machine&, int)
  {
  }
};

using machine = msm::back::state_machine<health_front>;

} // namespace

struct health_machine::impl
{
  machine mMachine;
};

health_machine::health_machine()
  : mImpl(std::make_unique<impl>())
{
  mImpl->mMachine.start();
}

health_machine::~health_machine() = default;
health_machine::health_machine(health_machine&&) noexcept = default;
health_machine& health_machine::operator=(health_machine&&) noexcept = default;

void
health_machine::Process(health_event aEvent)
{
  auto& machine = mImpl->mMachine;
  switch (aEvent) {
    case health_event::Suspected:
      machine.process_event(on<health_event::Suspected>{});
      break;
    case health_event::Failed:
      machine.process_event(on<health_event::Failed>{});
      break;
    case health_event::Slowed:
      machine.process_event(on<health_event::Slowed>{});
      break;
    case health_event::Recovered:
      machine.process_event(on<health_event::Recovered>{});
      break;
    case health_event::Retried:
      machine.process_event(on<health_event::Retried>{});
      break;
    case health_event::Answered:
      machine.process_event(on<health_event::Answered>{});
      break;
    case health_event::Left:
      machine.process_event(on<health_event::Left>{});
      break;
    case health_event::Returned:
      machine.process_event(on<health_event::Returned>{});
      break;
  }
}

upstream_state
health_machine::State() const
{
  // Boost.MSM numbers the states in the order of their first appearance as a
  // source state of the transition table.
  constexpr std::array kStates{ upstream_state::Healthy,
                                upstream_state::Slow,
                                upstream_state::Probing,
                                upstream_state::Ejected,
                                upstream_state::Leaving };
  return kStates.at(
    static_cast<std::size_t>(mImpl->mMachine.current_state()[0]));
}

} // namespace sapphirespar::upstream
