// The fleet of fake engines.
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

// Refreshes between changes of the others' load, and until it is reported.
constexpr unsigned kForeignChange = 20;
constexpr unsigned kReportLag = 3;

constexpr unsigned kMaximumForeign = 4;

// Weight of the newest answer in the moving mean of an engine's pace.
constexpr double kPaceWeight = 0.2;

// Answers shorter than this say little of an engine's pace.
constexpr unsigned kLeastTokens = 8;

// Below this relative speed an engine counts as slow.
constexpr double kSlowSpeed = 0.6;

} // namespace

fleet::fleet(timer_service& aTimers,
             const fleet_shape& aShape,
             std::uint64_t aSeed,
             report_hook aReport)
  : mTimers(aTimers)
  , mRandom(aSeed)
{
  for (unsigned i = 0; i < aShape.mEngines; ++i) {
    engine made;
    made.mView.mId = { "engine" + std::to_string(i) };
    made.mView.mPools = { std::string(kPool) };
    made.mView.mSlots = engine_shape{}.mSlots;
    made.mView.mCanPause = aShape.mCanPause;
    made.mFake = std::make_unique<fake_engine>(
      aTimers,
      engine_shape{},
      [aReport, id = made.mView.mId](const engine_report& aItem) {
        aReport(id, aItem);
      });
    mEngines.push_back(std::move(made));
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
fleet::NoteFailure(const upstream_id& aUpstream)
{
  auto& failed = Find(aUpstream);
  failed.mView.mState = upstream_state::Ejected;
  failed.mNextProbe = mTimers.Now() + kProbePeriod;
}

void
fleet::NotePace(const upstream_id& aUpstream,
                steady_duration aTime,
                unsigned aTokens)
{
  if (aTokens < kLeastTokens) {
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
  ChangeForeignLoad();
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
fleet::ChangeForeignLoad()
{
  const auto phase = mRefreshes++ % kForeignChange;
  for (auto& engine : mEngines) {
    if (phase == 0) {
      engine.mForeign = mRandom() % (kMaximumForeign + 1);
      engine.mFake->SetForeign(engine.mForeign);
    }
    if (phase == kReportLag) {
      engine.mView.mExternalLoad = engine.mForeign;
    }
  }
}

void
fleet::UpdateSpeeds()
{
  std::vector<double> paces;
  std::ranges::transform(
    mEngines, std::back_inserter(paces), &engine::mSecondsPerToken);
  const auto middle = paces.begin() + paces.size() / 2;
  std::ranges::nth_element(paces, middle);
  for (auto& engine : mEngines) {
    if (*middle == 0 || engine.mSecondsPerToken == 0) {
      continue;
    }
    engine.mView.mRelativeSpeed = *middle / engine.mSecondsPerToken;
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
