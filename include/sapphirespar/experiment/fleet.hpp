// The engines of one trial and what is known of their health: ejection after
// failures, relative speed from observed paces, and lagging load reports.
#pragma once

#include "sapphirespar/experiment/fake_engine.hpp"
#include "sapphirespar/policy/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace sapphirespar::experiment {

struct fleet_shape
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
        const fleet_shape& aShape,
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
  void NoteFailure(const upstream_id& aUpstream);

  // Takes in that aTokens came within aTime after the first.
  void NotePace(const upstream_id& aUpstream,
                steady_duration aTime,
                unsigned aTokens);

  // Brings load reports, speeds and probes up to date.
  void Refresh();

  std::vector<policy::upstream_view> Views() const;
  std::uint64_t Generated() const;

private:
  struct engine
  {
    policy::upstream_view mView;
    std::unique_ptr<fake_engine> mFake;
    // Work of others as it is, which reports follow with a lag.
    unsigned mForeign = 0;
    steady_time mNextProbe{};
    // Moving mean; zero until first known.
    double mSecondsPerToken = 0;
  };

  engine& Find(const upstream_id& aUpstream);
  void ChangeForeignLoad();
  void UpdateSpeeds();

  timer_service& mTimers;
  std::mt19937_64 mRandom;
  std::vector<engine> mEngines;
  unsigned mRefreshes = 0;
};

} // namespace sapphirespar::experiment
