// Keeps one record with a health state machine for each upstream of the bundle.
#include "sapphirespar/upstream/health_tracker.hpp"

#include "health_machine.hpp"
#include "sapphirespar/base/log.hpp"
#include "speed_tracker.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace sapphirespar::upstream {
namespace {

// Returns the names of the pools that an upstream serves: its models, or its
// service with a leading slash.
std::vector<std::string>
PoolsOf(const upstream_spec& aSpec)
{
  if (aSpec.mKind == upstream_kind::Service) {
    return { '/' + aSpec.mService };
  }
  std::vector<std::string> pools;
  std::ranges::transform(aSpec.mModels,
                         std::back_inserter(pools),
                         [](const auto& aModel) { return aModel.mText; });
  return pools;
}

// Returns the name of the speed comparison group, which contains the upstreams
// that serve the same pools.
std::string
GroupOf(const std::vector<std::string>& aPools)
{
  std::string group;
  for (const auto& pool : aPools) {
    group += pool + '\n';
  }
  return group;
}

bool
IsOutOfService(upstream_state aState)
{
  return aState == upstream_state::Ejected || aState == upstream_state::Probing;
}

} // namespace

class health_tracker::state : public std::enable_shared_from_this<state>
{
public:
  state(blackboard& aBoard,
        timer_service& aTimers,
        health_hooks aHooks,
        const health_settings& aSettings)
    : mBoard(aBoard)
    , mTimers(aTimers)
    , mHooks(std::move(aHooks))
    , mSettings(aSettings)
    , mSpeeds(aSettings.mSpeedRetention)
    , mTick(aTimers.Every(aSettings.mTick, [this] { Tick(); }))
    , mLoadTimer(
        aTimers.Every(aSettings.mLoadInterval, [this] { OnLoadInterval(); }))
  {
    OnBundle();
  }

  void Observe(const upstream_id& aId, const attempt_result& aResult);
  void OnBundle();
  void SetDrained(std::set<upstream_id> aIds);

private:
  struct record
  {
    upstream_spec mSpec;
    std::vector<std::string> mPools;
    health_machine mMachine;
    // Consecutive failures.
    unsigned mFailures = 0;
    // Number of ejections since mAnswers last reached mFailureLimit. A
    // successful probe raises it to at least one.
    unsigned mEjections = 0;
    // Answers since the last ejection or successful probe.
    unsigned mAnswers = 0;
    // When an ejected upstream is probed next.
    steady_time mRetryAt{};
    // Number of the latest probe; answers to earlier probes are ignored.
    std::uint64_t mProbe = 0;
  };

  void OnFailure(record& aRecord);
  void OnAnswer(record& aRecord, const attempt_result& aResult);
  bool MayEject(const record& aRecord) const;
  void Eject(record& aRecord);
  void Probe(record& aRecord);
  void OnProbe(const upstream_id& aId, std::uint64_t aProbe, bool aAnswered);
  void Tick();
  void CompareSpeeds();
  void OnLoadInterval();
  void OnLoadReport(const upstream_id& aId, const load_report& aReport);
  void Apply(record& aRecord, health_event aEvent);
  void ApplyLeaving(record& aRecord);

  blackboard& mBoard;
  timer_service& mTimers;
  const health_hooks mHooks;
  const health_settings mSettings;
  std::map<upstream_id, record> mRecords;
  speed_tracker mSpeeds;
  std::set<upstream_id> mDrained;
  timer_subscription mTick;
  timer_subscription mLoadTimer;
};

// Makes records and statuses match the bundle. Upstreams that stay in the
// bundle keep their health.
void
health_tracker::state::OnBundle()
{
  if (!mBoard.mBundle) {
    return;
  }
  const auto& bundle = *mBoard.mBundle;
  const auto isRemoved = [&](const auto& aItem) {
    return FindUpstream(bundle, aItem.first) == nullptr;
  };
  for (const auto& [id, entry] : mRecords) {
    if (FindUpstream(bundle, id) == nullptr) {
      mSpeeds.Leave(id);
    }
  }
  std::erase_if(mRecords, isRemoved);
  std::erase_if(mBoard.mUpstreams, isRemoved);
  for (const auto& spec : bundle.mUpstreams) {
    auto& entry = mRecords[spec.mId];
    entry.mSpec = spec;
    entry.mPools = PoolsOf(spec);
    mSpeeds.Join(spec.mId, GroupOf(entry.mPools));
    mBoard.mUpstreams[spec.mId].mId = spec.mId;
    ApplyLeaving(entry);
  }
}

void
health_tracker::state::SetDrained(std::set<upstream_id> aIds)
{
  mDrained = std::move(aIds);
  for (auto& [id, entry] : mRecords) {
    ApplyLeaving(entry);
  }
}

void
health_tracker::state::ApplyLeaving(record& aRecord)
{
  const auto leaving =
    aRecord.mSpec.mLeaving || mDrained.contains(aRecord.mSpec.mId);
  const auto left = aRecord.mMachine.State() == upstream_state::Leaving;
  if (leaving && !left) {
    Apply(aRecord, health_event::Left);
  } else if (!leaving && left) {
    aRecord.mFailures = 0;
    Apply(aRecord, health_event::Returned);
    Probe(aRecord);
  }
}

void
health_tracker::state::Observe(const upstream_id& aId,
                               const attempt_result& aResult)
{
  const auto found = mRecords.find(aId);
  if (found == mRecords.end()) {
    return;
  }
  if (aResult.mEnd == attempt_end::Answered) {
    OnAnswer(found->second, aResult);
  } else {
    OnFailure(found->second);
  }
}

void
health_tracker::state::OnAnswer(record& aRecord, const attempt_result& aResult)
{
  aRecord.mFailures = 0;
  ++aRecord.mAnswers;
  if (aRecord.mAnswers >= mSettings.mFailureLimit) {
    aRecord.mEjections = 0;
  }
  mSpeeds.Add(aRecord.mSpec.mId,
              aResult.mFirstToken,
              aResult.mTokensPerSecond,
              mTimers.Now());
}

// Failures may be caused by broken connections, so a probe over a new one
// decides. An upstream that fails again right after a successful probe is
// ejected without another probe.
void
health_tracker::state::OnFailure(record& aRecord)
{
  ++aRecord.mFailures;
  const auto state = aRecord.mMachine.State();
  if (IsOutOfService(state) || state == upstream_state::Leaving ||
      aRecord.mFailures < mSettings.mFailureLimit || !MayEject(aRecord)) {
    return;
  }
  if (aRecord.mEjections > 0 && aRecord.mAnswers < mSettings.mFailureLimit) {
    Eject(aRecord);
    return;
  }
  Apply(aRecord, health_event::Suspected);
  Probe(aRecord);
}

// Limits ejections to half of each pool, so that a fault of the network or of
// this router cannot eject all upstreams.
bool
health_tracker::state::MayEject(const record& aRecord) const
{
  const auto allows = [&](const std::string& aPool) {
    unsigned members = 0;
    unsigned out = 0;
    for (const auto& [id, other] : mRecords) {
      if (std::ranges::find(other.mPools, aPool) == other.mPools.end()) {
        continue;
      }
      ++members;
      out += IsOutOfService(other.mMachine.State()) ? 1 : 0;
    }
    return 2 * (out + 1) <= members;
  };
  return std::ranges::all_of(aRecord.mPools, allows);
}

void
health_tracker::state::Eject(record& aRecord)
{
  constexpr unsigned kMaxDoublings = 16;
  const auto doublings = std::min(aRecord.mEjections, kMaxDoublings);
  const auto backoff = std::min(mSettings.mInitialBackoff * (1U << doublings),
                                mSettings.mMaxBackoff);
  ++aRecord.mEjections;
  aRecord.mAnswers = 0;
  aRecord.mRetryAt = mTimers.Now() + backoff;
  Apply(aRecord, health_event::Failed);
}

void
health_tracker::state::Probe(record& aRecord)
{
  const auto id = aRecord.mSpec.mId;
  const auto probe = ++aRecord.mProbe;
  mHooks.mProbe(aRecord.mSpec,
                [weak = weak_from_this(), id, probe](const auto& aReport) {
                  if (const auto self = weak.lock()) {
                    self->OnProbe(id, probe, aReport.has_value());
                  }
                });
}

void
health_tracker::state::OnProbe(const upstream_id& aId,
                               std::uint64_t aProbe,
                               bool aAnswered)
{
  const auto found = mRecords.find(aId);
  if (found == mRecords.end() || found->second.mProbe != aProbe ||
      found->second.mMachine.State() != upstream_state::Probing) {
    return;
  }
  auto& probed = found->second;
  if (!aAnswered) {
    Eject(probed);
    return;
  }
  probed.mFailures = 0;
  probed.mAnswers = 0;
  // Makes OnFailure eject the upstream without another probe if the upstream
  // reaches the failure limit again before it has answered mFailureLimit
  // requests.
  probed.mEjections = std::max(probed.mEjections, 1U);
  Apply(probed, health_event::Answered);
}

void
health_tracker::state::Tick()
{
  for (auto& [id, entry] : mRecords) {
    if (entry.mMachine.State() == upstream_state::Ejected &&
        mTimers.Now() >= entry.mRetryAt) {
      Apply(entry, health_event::Retried);
      Probe(entry);
    }
  }
}

void
health_tracker::state::CompareSpeeds()
{
  for (const auto& [id, speed] : mSpeeds.RelativeSpeeds(mTimers.Now())) {
    auto& entry = mRecords.at(id);
    mBoard.mUpstreams[id].mRelativeSpeed = speed;
    if (speed < mSettings.mSlowBelow) {
      Apply(entry, health_event::Slowed);
    } else if (speed > mSettings.mRecoveredAbove) {
      Apply(entry, health_event::Recovered);
    }
  }
}

// Compares speeds and fetches the load reports of the engines that this router
// owns.
void
health_tracker::state::OnLoadInterval()
{
  CompareSpeeds();
  for (const auto& [id, entry] : mRecords) {
    if (entry.mSpec.mKind != upstream_kind::Engine ||
        !mHooks.mIsOwner(entry.mSpec)) {
      continue;
    }
    mHooks.mFetchLoad(entry.mSpec,
                      [weak = weak_from_this(), id = id](const auto& aReport) {
                        const auto self = weak.lock();
                        if (self && aReport) {
                          self->OnLoadReport(id, *aReport);
                        }
                      });
  }
}

void
health_tracker::state::OnLoadReport(const upstream_id& aId,
                                    const load_report& aReport)
{
  const auto found = mBoard.mUpstreams.find(aId);
  if (found == mBoard.mUpstreams.end()) {
    return;
  }
  auto& status = found->second;
  status.mReportedRunning = aReport.mRunning;
  status.mReportedQueued = aReport.mQueued;
  status.mReportedAt = mTimers.Now();
  if (status.mLoaded != aReport.mModels) {
    status.mLoaded = aReport.mModels;
    if (mHooks.mOnModelsChange) {
      mHooks.mOnModelsChange(status);
    }
  }
}

void
health_tracker::state::Apply(record& aRecord, health_event aEvent)
{
  const auto before = aRecord.mMachine.State();
  aRecord.mMachine.Process(aEvent);
  const auto after = aRecord.mMachine.State();
  if (before == after) {
    return;
  }
  const auto& id = aRecord.mSpec.mId;
  mBoard.mUpstreams[id].mState = after;
  LogEvent(log_level::Info,
           "upstream_state",
           { { "upstream", id.mText },
             { "from", ToText(before) },
             { "to", ToText(after) } });
  if (mHooks.mOnChange) {
    mHooks.mOnChange(id, after);
  }
}

health_tracker::health_tracker(blackboard& aBoard,
                               timer_service& aTimers,
                               health_hooks aHooks,
                               health_settings aSettings)
  : mState(
      std::make_shared<state>(aBoard, aTimers, std::move(aHooks), aSettings))
{
}

health_tracker::~health_tracker() = default;

void
health_tracker::Observe(const upstream_id& aId, const attempt_result& aResult)
{
  mState->Observe(aId, aResult);
}

void
health_tracker::OnBundle()
{
  mState->OnBundle();
}

void
health_tracker::SetDrained(std::set<upstream_id> aIds)
{
  mState->SetDrained(std::move(aIds));
}

} // namespace sapphirespar::upstream
