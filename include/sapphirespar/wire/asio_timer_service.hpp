// The timer service of a running process, on the steady clock and an Asio
// executor.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

#include <boost/asio/any_io_executor.hpp>

namespace sapphirespar::wire {

// Callbacks run on aExecutor. Subscriptions must be created and destroyed on
// its thread.
class asio_timer_service : public timer_service
{
public:
  explicit asio_timer_service(boost::asio::any_io_executor aExecutor);

  steady_time Now() const override;
  timer_subscription After(steady_duration aDelay,
                           timer_callback aCallback) override;
  timer_subscription Every(steady_duration aPeriod,
                           timer_callback aCallback) override;

private:
  boost::asio::any_io_executor mExecutor;
};

} // namespace sapphirespar::wire
