// Connects the parts of the upstream module to the upstreams and the
// blackboard.
#include "sapphirespar/router/upstream_control.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/membership/owners.hpp"
#include "sapphirespar/router/snapshot.hpp"
#include "sapphirespar/router/upstream_client.hpp"
#include "sapphirespar/router/upstream_view.hpp"
#include "sapphirespar/upstream/drain_watcher.hpp"
#include "sapphirespar/upstream/health_tracker.hpp"
#include "sapphirespar/upstream/order_controller.hpp"
#include "sapphirespar/upstream/prefix_hints.hpp"
#include "sapphirespar/upstream/replica_planner.hpp"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>

namespace sapphirespar::router {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kCachePeriod{ 1 };
constexpr std::chrono::seconds kPlanPeriod{ 10 };

// Converts the result of an attempt for the health tracker. Returns nothing if
// the result says nothing about the upstream's health.
std::optional<upstream::attempt_result>
ToHealth(const attempt_result& aResult)
{
  upstream::attempt_result health;
  switch (aResult.mEnd) {
    case attempt_end::Complete:
    case attempt_end::Refused:
      health.mEnd = upstream::attempt_end::Answered;
      break;
    case attempt_end::NotSent:
      health.mEnd = upstream::attempt_end::ConnectFailed;
      break;
    case attempt_end::TimedOut:
      health.mEnd = upstream::attempt_end::TimedOut;
      break;
    case attempt_end::Broken:
      health.mEnd = upstream::attempt_end::Failed;
      break;
    case attempt_end::CallerLeft:
      return std::nullopt;
  }
  health.mFirstToken =
    std::chrono::duration_cast<milliseconds>(aResult.mFirstToken);
  const std::chrono::duration<double> streaming =
    aResult.mTotal - aResult.mFirstToken;
  if (aResult.mEventsSent > 1 && streaming.count() > 0) {
    health.mTokensPerSecond = (aResult.mEventsSent - 1) / streaming.count();
  }
  return health;
}

} // namespace

struct upstream_control::state : std::enable_shared_from_this<state>
{
  explicit state(upstream_control_services aServices);

  void Start();
  upstream::health_hooks HealthHooks();
  upstream::order_hooks OrderHooks();

  // Recomputes the upstreams that this router owns.
  void FindOwned();
  void FetchCaches();
  void IssuePlannedOrders();
  const upstream_spec* FindSpec(const upstream_id& aId) const;

  upstream_control_services mServices;
  upstream_client mClient;
  pause_sender mPauseSender;
  upstream::prefix_hints mPrefixes;
  std::set<upstream_id> mOwned;
  // Upstreams whose load reports this router fetches: the owned ones and those
  // that the replica planner needs.
  std::set<upstream_id> mReported;
  // Empty until Start.
  std::optional<upstream::health_tracker> mHealth;
  std::optional<upstream::drain_watcher> mDrains;
  std::optional<upstream::order_controller> mOrders;
  timer_subscription mCacheTick;
  timer_subscription mPlanTick;
};

upstream_control::state::state(upstream_control_services aServices)
  : mServices(std::move(aServices))
  , mClient(mServices.mExecutor, mServices.mTls)
  , mPauseSender(mServices.mPauses,
                 mServices.mTimers,
                 [this](const upstream_spec& aSpec,
                        const request_id& aRequest,
                        bool aPaused,
                        pause_callback aDone) {
                   mClient.SetPaused(
                     aSpec, aRequest, aPaused, std::move(aDone));
                 })
{
}

void
upstream_control::state::Start()
{
  mHealth.emplace(mServices.mBoard, mServices.mTimers, HealthHooks());
  mDrains.emplace(
    mServices.mPlatform, mServices.mTimers, [this](const auto& aIds) {
      mHealth->SetDrained(aIds);
      mServices.mOnChange();
    });
  mOrders.emplace(mServices.mBoard.mSelf,
                  mServices.mPlatform,
                  mServices.mTimers,
                  OrderHooks());
  mCacheTick = mServices.mTimers.Every(kCachePeriod, [this] { FetchCaches(); });
  mPlanTick =
    mServices.mTimers.Every(kPlanPeriod, [this] { IssuePlannedOrders(); });
}

upstream::health_hooks
upstream_control::state::HealthHooks()
{
  upstream::health_hooks hooks;
  hooks.mProbe = [this](const upstream_spec& aSpec,
                        upstream::load_callback aDone) {
    mClient.Probe(aSpec, std::move(aDone));
  };
  hooks.mFetchLoad = [this](const upstream_spec& aSpec,
                            upstream::load_callback aDone) {
    mClient.FetchLoad(aSpec, std::move(aDone));
  };
  hooks.mIsOwner = [this](const upstream_spec& aSpec) {
    return mReported.contains(aSpec.mId);
  };
  hooks.mOnChange = [this](const upstream_id& aId, upstream_state aState) {
    LogEvent(log_level::Info,
             "upstream_state",
             { { "upstream", aId.mText }, { "state", ToText(aState) } });
    if (aState == upstream_state::Ejected) {
      mPrefixes.Forget(aId);
    }
    mServices.mOnChange();
  };
  hooks.mOnModelsChange = [this](const upstream_status& aStatus) {
    const auto& loaded = aStatus.mLoaded;
    LogEvent(
      log_level::Info,
      "upstream_models",
      { { "upstream", aStatus.mId.mText },
        { "loaded", loaded ? std::to_string(loaded->size()) : "unknown" } });
    mServices.mOnChange();
  };
  return hooks;
}

upstream::order_hooks
upstream_control::state::OrderHooks()
{
  upstream::order_hooks hooks;
  hooks.mSend = [this](const upstream_spec& aSpec,
                       const upstream::engine_order& aOrder,
                       std::uint64_t aFence,
                       upstream::order_reply_callback aDone) {
    mClient.SendOrder(aSpec, aOrder, aFence, std::move(aDone));
  };
  hooks.mFetchLoad = [this](const upstream_spec& aSpec,
                            upstream::load_callback aDone) {
    mClient.FetchLoad(aSpec, std::move(aDone));
  };
  return hooks;
}

const upstream_spec*
upstream_control::state::FindSpec(const upstream_id& aId) const
{
  const auto& bundle = mServices.mBoard.mBundle;
  return bundle ? FindUpstream(*bundle, aId) : nullptr;
}

void
upstream_control::state::FindOwned()
{
  mOwned.clear();
  const auto& board = mServices.mBoard;
  if (!board.mBundle) {
    return;
  }
  const auto members = membership::ListMembers(board);
  for (const auto& item : membership::AssignOwners(*board.mBundle, members)) {
    if (item.mOwner == board.mSelf.mVm) {
      mOwned.insert(item.mUpstream->mId);
    }
  }
  mReported = mOwned;
}

void
upstream_control::state::FetchCaches()
{
  for (const auto& id : mOwned) {
    const auto* spec = FindSpec(id);
    if (spec == nullptr || spec->mKind != upstream_kind::Engine) {
      continue;
    }
    mClient.FetchCacheEvents(
      *spec,
      mPrefixes.NextEvent(id),
      [weak = weak_from_this(), id](const auto& aReport) {
        const auto self = weak.lock();
        if (self && aReport) {
          self->mPrefixes.Apply(id, *aReport, self->mServices.mTimers.Now());
        }
      });
  }
  mServices.mOnHints();
}

void
upstream_control::state::IssuePlannedOrders()
{
  const auto& board = mServices.mBoard;
  const std::vector<upstream_id> owned(mOwned.begin(), mOwned.end());
  mReported = mOwned;
  for (auto& id : upstream::ReportsNeeded(board, owned)) {
    mReported.insert(std::move(id));
  }
  for (const auto& order : upstream::PlanOrders(board)) {
    const auto* spec = FindSpec(order.mUpstream);
    if (spec == nullptr || !mOwned.contains(order.mUpstream)) {
      continue;
    }
    mOrders->Issue(*spec, order.mOrder, [order](upstream::order_outcome aEnd) {
      LogEvent(log_level::Info,
               "order",
               { { "upstream", order.mUpstream.mText },
                 { "order", upstream::ToText(order.mOrder.mKind) },
                 { "model", order.mOrder.mModel.mText },
                 { "end", upstream::ToText(aEnd) } });
    });
  }
}

upstream_control::upstream_control(upstream_control_services aServices)
  : mState(std::make_shared<state>(std::move(aServices)))
{
}

upstream_control::~upstream_control() = default;

void
upstream_control::Start()
{
  mState->Start();
}

void
upstream_control::OnBundle()
{
  mState->FindOwned();
  mState->mHealth->OnBundle();
}

void
upstream_control::OnMembers()
{
  mState->FindOwned();
}

void
upstream_control::Observe(const upstream_id& aUpstream,
                          const attempt_result& aResult,
                          std::uint64_t aPrefix)
{
  if (aResult.mEnd == attempt_end::Complete) {
    mState->mPrefixes.Touch(
      aUpstream, aPrefix, mState->mServices.mTimers.Now());
  }
  if (const auto health = ToHealth(aResult)) {
    mState->mHealth->Observe(aUpstream, *health);
  }
}

void
upstream_control::Pause(const policy::pause_order& aOrder)
{
  const auto* target = mState->FindSpec(aOrder.mUpstream);
  if (target != nullptr) {
    mState->mPauseSender.Set(*target, aOrder.mRequest, !aOrder.mResume);
  }
}

std::vector<policy::upstream_view>
upstream_control::Views() const
{
  const auto& board = mState->mServices.mBoard;
  const auto now = mState->mServices.mTimers.Now();
  std::vector<policy::upstream_view> views;
  std::ranges::transform(
    board.mBundle->mUpstreams,
    std::back_inserter(views),
    [&](const upstream_spec& aSpec) {
      const auto status = board.mUpstreams.find(aSpec.mId);
      auto view = MakeView(
        aSpec, status == board.mUpstreams.end() ? nullptr : &status->second);
      view.mCachedPrefixes = mState->mPrefixes.Prefixes(aSpec.mId, now);
      return view;
    });
  return views;
}

} // namespace sapphirespar::router
