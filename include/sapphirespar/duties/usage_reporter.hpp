// Reports the usage of each window to the platform, while this gateway holds
// the duties. A report is fixed in the platform's store before it is sent, so
// that a later holder repeats it instead of making another one.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/duties/duty_calls.hpp"
#include "sapphirespar/duties/usage_book.hpp"
#include "sapphirespar/model/platform.hpp"
#include "sapphirespar/policy/fleet_clock.hpp"
#include "sapphirespar/telemetry/metrics.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace sapphirespar::duties {

// Kind and name of the object that holds the latest report.
inline constexpr std::string_view kReportKind = "duties";
inline constexpr std::string_view kReportName = "usage";

struct usage_reporter_settings
{
  std::chrono::milliseconds mWindowLength{ 5000 };
  // A report is due this long after the end of its window.
  std::chrono::milliseconds mDelay{ 10000 };
};

struct usage_reporter_hooks
{
  // The fleet's wall clock.
  std::function<policy::wall_time()> mNow;
  // The live gateways that count requests, with this one.
  std::function<std::vector<vm_id>()> mCounting;
  // Sends a report; see duty_calls.
  decltype(duty_calls::mReport) mReport;
  // Called once a further window is fixed, so that all gateways learn it.
  std::function<void()> mFixed;
};

class usage_reporter
{
public:
  // All references must outlive the reporter.
  usage_reporter(platform_api& aPlatform,
                 timer_service& aTimers,
                 metrics& aMetrics,
                 duty_lease& aLease,
                 const usage_book& aBook,
                 usage_reporter_settings aSettings,
                 usage_reporter_hooks aHooks);
  ~usage_reporter();
  usage_reporter(const usage_reporter&) = delete;
  usage_reporter& operator=(const usage_reporter&) = delete;

  void Start();

  // Called when this gateway has taken or lost the duties.
  void OnHolderChanged();

  // Records that the report of a window is fixed, as another gateway tells.
  // After a restore of the store, its object may be older.
  void NoteFixed(usage_window aWindow);

  // The latest window that is known to be fixed; zero if none is.
  usage_window LastFixed() const;

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::duties
