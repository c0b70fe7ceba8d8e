// Health, speed and external load of the fake engines.
#include "sapphirespar/experiment/fleet.hpp"

#include "sapphirespar/experiment/workload.hpp"

#include <algorithm>
#include <numeric>
#include <string>
#include <utility>

namespace sapphirespar::experiment {

namespace {

using namespace std::chrono_literals;

constexpr steady_duration kProbePeriod = 2s;

// Refreshes between changes of the external load, and from a change to its
// report.
constexpr unsigned kLoadChangePeriod = 20;
constexpr unsigned kReportLagRefreshes = 3;

constexpr unsigned kMaxExternalLoad = 4;

// Weight of the newest response in the moving average of an engine's pace.
constexpr double kPaceWeight = 0.2;

// Shorter responses give too noisy an estimate of an engine's pace.
constexpr unsigned kMinPaceTokens = 8;

// An engine below this relative speed counts as slow.
constexpr double kSlowSpeed = 0.6;

} // namespace

fleet::fleet(timer_service& aTimers,
             const fleet_settings& aSettings,
             std::uint64_t aSeed,
             report_hook aReport)
  : mTimers(aTimers)
  , mRandom(aSeed)
{
  for (unsigned i = 0; i < aSettings.mEngines; ++i) {
    engine added;
    added.mView.mId = { "engine" + std::to_string(i) };
    added.mView.mPools = { std::string(kPool) };
    added.mView.mSlots = engine_settings{}.mSlots;
    added.mView.mCanPause = aSettings.mCanPause;
    added.mFake = std::make_unique<fake_engine>(
      aTimers,
      engine_settings{},
      [aReport, id = added.mView.mId](const engine_report& aEngineReport) {
        aReport(id, aEngineReport);
      });
    mEngines.push_back(std::move(added));
  }
}

fleet::engine&
fleet::Find(const upstream_id& aUpstream)
{
  return *std::ranges::find(mEngines, aUpstream, [](const engine& aEngine) {
    return aEngine.mView.mId;
  });
}

bool
fleet::Start(const upstream_id& aUpstream,
             const request_id& aRequest,
             unsigned aPromptTokens,
             unsigned aTokens)
{
  return Find(aUpstream).mFake->Start(aRequest, aPromptTokens, aTokens);
}

void
fleet::SetPaused(const upstream_id& aUpstream,
                 const request_id& aRequest,
                 bool aPaused)
{
  Find(aUpstream).mFake->SetPaused(aRequest, aPaused);
}

unsigned
fleet::Cancel(const upstream_id& aUpstream, const request_id& aRequest)
{
  return Find(aUpstream).mFake->Cancel(aRequest);
}

void
fleet::SetCrashed(std::size_t aIndex, bool aCrashed)
{
  mEngines[aIndex].mFake->SetCrashed(aCrashed);
}

void
fleet::SetSlowFactor(std::size_t aIndex, double aFactor)
{
  mEngines[aIndex].mFake->SetSlowFactor(aFactor);
}

void
fleet::RecordFailure(const upstream_id& aUpstream)
{
  auto& failed = Find(aUpstream);
  failed.mView.mState = upstream_state::Ejected;
  failed.mNextProbe = mTimers.Now() + kProbePeriod;
}

void
fleet::RecordPace(const upstream_id& aUpstream,
                  steady_duration aTime,
                  unsigned aTokens)
{
  if (aTokens < kMinPaceTokens) {
    return;
  }
  const std::chrono::duration<double> time = aTime;
  const auto pace = time.count() / (aTokens - 1);
  auto& mean = Find(aUpstream).mSecondsPerToken;
  mean = mean == 0 ? pace : mean + kPaceWeight * (pace - mean);
}

void
fleet::Refresh()
{
  UpdateExternalLoad();
  UpdateSpeeds();
  for (auto& engine : mEngines) {
    auto& state = engine.mView.mState;
    if (state == upstream_state::Ejected &&
        mTimers.Now() >= engine.mNextProbe) {
      state = upstream_state::Probing;
    } else if (state == upstream_state::Probing) {
      state = upstream_state::Healthy;
    }
  }
}

void
fleet::UpdateExternalLoad()
{
  const auto phase = mRefreshes++ % kLoadChangePeriod;
  for (auto& engine : mEngines) {
    if (phase == 0) {
      engine.mActualExternalLoad = mRandom() % (kMaxExternalLoad + 1);
      engine.mFake->SetExternalLoad(engine.mActualExternalLoad);
    }
    if (phase == kReportLagRefreshes) {
      engine.mView.mExternalLoad = engine.mActualExternalLoad;
    }
  }
}

void
fleet::UpdateSpeeds()
{
  std::vector<double> paces;
  std::ranges::transform(
    mEngines, std::back_inserter(paces), &engine::mSecondsPerToken);
  const auto median = paces.begin() + paces.size() / 2;
  std::ranges::nth_element(paces, median);
  for (auto& engine : mEngines) {
    if (*median == 0 || engine.mSecondsPerToken == 0) {
      continue;
    }
    engine.mView.mRelativeSpeed = *median / engine.mSecondsPerToken;
    const bool slow = engine.mView.mRelativeSpeed < kSlowSpeed;
    if (engine.mView.mState == upstream_state::Healthy && slow) {
      engine.mView.mState = upstream_state::Slow;
    } else if (engine.mView.mState == upstream_state::Slow && !slow) {
      engine.mView.mState = upstream_state::Healthy;
    }
  }
}

std::vector<policy::upstream_view>
fleet::Views() const
{
  std::vector<policy::upstream_view> views;
  std::ranges::transform(mEngines, std::back_inserter(views), &engine::mView);
  return views;
}

std::uint64_t
fleet::Generated() const
{
  return std::transform_reduce(
    mEngines.begin(),
    mEngines.end(),
    std::uint64_t{ 0 },
    std::plus<>{},
    [](const engine& aEngine) { return aEngine.mFake->Generated(); });
}

} // namespace sapphirespar::experiment
