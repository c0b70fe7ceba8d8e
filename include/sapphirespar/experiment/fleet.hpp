// The engines of one trial and the scheduler's view of their health: ejection
// after failures, relative speed by observed pace, and delayed load reports.
#pragma once

#include "sapphirespar/experiment/fake_engine.hpp"
#include "sapphirespar/policy/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace sapphirespar::experiment {

struct fleet_settings
{
  unsigned mEngines = 0;
  bool mCanPause = true;
};

class fleet
{
public:
  using report_hook =
    std::function<void(const upstream_id&, const engine_report&)>;

  fleet(timer_service& aTimers,
        const fleet_settings& aSettings,
        std::uint64_t aSeed,
        report_hook aReport);

  bool Start(const upstream_id& aUpstream,
             const request_id& aRequest,
             unsigned aPromptTokens,
             unsigned aTokens);
  void SetPaused(const upstream_id& aUpstream,
                 const request_id& aRequest,
                 bool aPaused);
  unsigned Cancel(const upstream_id& aUpstream, const request_id& aRequest);

  void SetCrashed(std::size_t aIndex, bool aCrashed);
  void SetSlowFactor(std::size_t aIndex, double aFactor);

  // Ejects the upstream until its next probe.
  void RecordFailure(const upstream_id& aUpstream);

  // Records that a response of aTokens took aTime after its first token.
  void RecordPace(const upstream_id& aUpstream,
                  steady_duration aTime,
                  unsigned aTokens);

  // Updates load reports, relative speeds and the states of ejected engines.
  void Refresh();

  std::vector<policy::upstream_view> Views() const;
  std::uint64_t Generated() const;

private:
  struct engine
  {
    policy::upstream_view mView;
    std::unique_ptr<fake_engine> mFake;
    // Current load of other clients, which load reports show with a delay.
    unsigned mActualExternalLoad = 0;
    steady_time mNextProbe{};
    // Exponential moving average; zero until the first observation.
    double mSecondsPerToken = 0;
  };

  engine& Find(const upstream_id& aUpstream);
  void UpdateExternalLoad();
  void UpdateSpeeds();

  timer_service& mTimers;
  std::mt19937_64 mRandom;
  std::vector<engine> mEngines;
  unsigned mRefreshes = 0;
};

} // namespace sapphirespar::experiment
