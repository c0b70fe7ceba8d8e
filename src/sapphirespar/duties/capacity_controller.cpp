// Plans the capacity of each pool and sends the orders that differ from what
// was ordered before.
#include "sapphirespar/duties/capacity_controller.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace sapphirespar::duties {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 500 };

// An order that shows no effect is repeated this long after the time that
// upstreams take to start or to leave.
constexpr milliseconds kSettleTime{ 6000 };

// Where upstreams that had been listed are gone, so that the order was carried
// out, it is repeated after this.
constexpr milliseconds kReplacePause{ 1000 };

// Pause before preemptible upstreams are ordered again where there were none.
constexpr milliseconds kNoneLeftPause{ 4000 };

// An upstream may be listed this much later than after its start time.
constexpr milliseconds kStartDelay{ 3000 };

// A list that has not changed for this long is taken to be complete when the
// duties have just been taken. After an outage of the store, upstreams write
// their entries again within two seconds.
constexpr milliseconds kListTime{ 3000 };

constexpr milliseconds kFirstPause{ 1000 };
constexpr milliseconds kLongestPause{ 8000 };

constexpr int kMaximumCalls = 4;

// Part of the platform's rate that orders may use.
constexpr double kRatePart = 0.2;

} // namespace

struct capacity_controller::state : std::enable_shared_from_this<state>
{
  state(timer_service& aTimers,
        metrics& aMetrics,
        duty_lease& aLease,
        capacity_settings aSettings,
        capacity_hooks aHooks)
    : mTimers(aTimers)
    , mMetrics(aMetrics)
    , mLease(aLease)
    , mSettings(aSettings)
    , mHooks(std::move(aHooks))
  {
  }

  // The last order for one pool, data centre and kind of upstream.
  struct last_order
  {
    // Unset if it may not have been carried out.
    std::optional<unsigned> mUpstreams;
    steady_time mSentAt{};
    // A further order needs a higher token: the platform may carry this one out
    // later, unless it has seen a higher one by then.
    fencing_token mUnanswered = 0;
    bool mInProgress = false;
    // The most upstreams that have been listed since the order was sent.
    unsigned mMostPresent = 0;
    // Since when fewer are listed than ordered; the epoch if all are.
    steady_time mShortSince{};
    // The platform had no upstreams of this kind; it is asked again then. The
    // epoch if it had, or has not been asked.
    steady_time mNoneLeftUntil{};
  };

  struct pool_state
  {
    explicit pool_state(const capacity_bounds& aBounds)
      : mWithRefused(aBounds.mStartTime + kStartDelay)
    {
    }

    policy::capacity_need mNeed;
    // With what refused requests need. It is kept only until upstreams that
    // were ordered for them have started: their work counts in mNeed then.
    policy::capacity_need mWithRefused;
    // The upstreams listed last, and since when.
    unsigned mPresent = 0;
    steady_time mPresentSince{};
    // The list was complete once, and orders follow from it.
    bool mIsPlanned = false;
  };

  using subject = std::tuple<std::string, data_centre_id, bool>;

  void Tick()
  {
    mBudget = std::min(mBudget + kRatePart * mSettings.mCallsPerSecond *
                                   std::chrono::duration<double>(kTick).count(),
                       std::max(1.0, kRatePart * mSettings.mCallsPerSecond));
    if (!mHooks.mIsOn() || !mLease.Token() || mTimers.Now() < mPausedUntil) {
      return;
    }
    for (const auto& pool : mHooks.mPools()) {
      PlanPool(pool);
    }
  }

  void PlanPool(const ordered_pool& aPool)
  {
    auto zones = aPool.mZones;
    unsigned present = 0;
    for (auto& zone : zones) {
      present += zone.mRegular + zone.mPreemptible;
      NoteOrders(aPool, zone);
    }
    const auto kept = UpstreamsToKeep(aPool, present);
    if (!kept) {
      return;
    }
    const auto needed = *kept;
    const auto plan = policy::PlanCapacity(aPool.mBounds, zones, needed);
    // What would be ordered if the platform had preemptible upstreams again.
    auto open = zones;
    std::ranges::for_each(open,
                          [](auto& aZone) { aZone.mNoPreemptible = false; });
    const auto openPlan = policy::PlanCapacity(aPool.mBounds, open, needed);
    mMetrics.Set("duties_capacity_needed", { { "pool", aPool.mName } }, needed);
    for (std::size_t index = 0; index < zones.size(); ++index) {
      const auto& zone = zones[index];
      const auto order = [&](bool aPreemptible, unsigned aWanted) {
        return capacity_order{
          aPool.mName, zone.mDataCentre, aPreemptible, aWanted
        };
      };
      if (aPool.mBounds.mPreemptiblePrice) {
        Consider(aPool,
                 order(true, openPlan[index].mPreemptible),
                 zone.mPreemptible,
                 needed);
      }
      Consider(
        aPool, order(false, plan[index].mRegular), zone.mRegular, needed);
    }
  }

  // Returns how many upstreams the pool should keep beside those that may be
  // lost with a data centre; nothing until its list is complete and its demand
  // known.
  std::optional<unsigned> UpstreamsToKeep(const ordered_pool& aPool,
                                          unsigned aPresent)
  {
    const auto now = mTimers.Now();
    auto& state = mPools.try_emplace(aPool.mName, aPool.mBounds).first->second;
    if (std::exchange(state.mPresent, aPresent) != aPresent) {
      state.mPresentSince = now;
    }
    const bool settled =
      state.mIsPlanned || now - state.mPresentSince >= kListTime;
    if (!aPool.mNeeded || aPresent == 0 || !settled) {
      return std::nullopt;
    }
    state.mIsPlanned = true;
    const auto zones = aPool.mZones.size();
    const auto present = static_cast<unsigned>(aPresent * (zones - 1) / zones);
    const auto kept = state.mNeed.Update(*aPool.mNeeded, present, now);
    const auto withRefused =
      state.mWithRefused.Update(*aPool.mNeeded + aPool.mRefused, 0, now);
    return std::max(kept, withRefused);
  }

  // Sets what the last orders tell of the preemptible upstreams.
  void NoteOrders(const ordered_pool& aPool, policy::zone_capacity& aZone) const
  {
    const auto now = mTimers.Now();
    const subject key{ aPool.mName, aZone.mDataCentre, true };
    const auto last = mOrders.find(key);
    if (last == mOrders.end()) {
      return;
    }
    // Orders that are accepted may bring nothing.
    const auto startTime = aPool.mBounds.mStartTime + kStartDelay;
    const auto shortSince = last->second.mShortSince;
    const bool isOverdue =
      shortSince != steady_time{} && now - shortSince > startTime;
    aZone.mNoPreemptible =
      last->second.mNoneLeftUntil != steady_time{} || isOverdue;
    if (last->second.mUpstreams && now - last->second.mSentAt < startTime) {
      const auto ordered = *last->second.mUpstreams;
      aZone.mStarting = ordered - std::min(ordered, aZone.mPreemptible);
    }
  }

  void Consider(const ordered_pool& aPool,
                const capacity_order& aOrder,
                unsigned aPresent,
                unsigned aNeeded)
  {
    const auto now = mTimers.Now();
    auto& last = mOrders[SubjectOf(aOrder)];
    const bool settled =
      now - last.mSentAt > aPool.mBounds.mStartTime + kSettleTime;
    const bool differs = last.mUpstreams ? *last.mUpstreams != aOrder.mUpstreams
                                         : aPresent != aOrder.mUpstreams;
    last.mMostPresent = std::max(last.mMostPresent, aPresent);
    if (aPresent >= aOrder.mUpstreams) {
      last.mShortSince = {};
    } else if (last.mShortSince == steady_time{}) {
      last.mShortSince = now;
    }
    const bool gone =
      aPresent < std::min(last.mMostPresent, aOrder.mUpstreams) &&
      now - last.mSentAt > kReplacePause;
    const bool wanted =
      differs || gone || (settled && aPresent != aOrder.mUpstreams);
    const auto token = mLease.Token();
    if (!wanted || !token || last.mInProgress || mCalls >= kMaximumCalls ||
        mBudget < 1 || now < std::max(mPausedUntil, last.mNoneLeftUntil)) {
      return;
    }
    if (last.mUnanswered >= *token) {
      mLease.RaiseToken();
      return;
    }
    LogEvent(log_level::Info,
             "capacity_ordered",
             { { "pool", aOrder.mPool },
               { "data_centre", aOrder.mDataCentre.mText },
               { "preemptible", aOrder.mPreemptible ? 1 : 0 },
               { "upstreams", aOrder.mUpstreams },
               { "cause",
                 differs ? "plan"
                 : gone  ? "gone"
                         : "not_carried_out" },
               { "present", aPresent },
               { "demand", aPool.mNeeded.value_or(0) },
               { "refused", aPool.mRefused },
               { "needed", aNeeded },
               { "token", *token } });
    last.mMostPresent = aPresent;
    Send(aOrder, *token, last);
  }

  void Send(const capacity_order& aOrder,
            fencing_token aToken,
            last_order& aLast)
  {
    aLast.mUpstreams = aOrder.mUpstreams;
    aLast.mSentAt = mTimers.Now();
    aLast.mInProgress = true;
    ++mCalls;
    mBudget -= 1;
    mLease.NoteCall();
    mHooks.mOrder(aOrder,
                  aToken,
                  [weak = weak_from_this(), aOrder, aToken, term = mTerm](
                    duty_reply aReply) {
                    const auto self = weak.lock();
                    if (self) {
                      --self->mCalls;
                      self->OnReply(aOrder, aToken, aReply, term);
                    }
                  });
  }

  void OnReply(const capacity_order& aOrder,
               fencing_token aToken,
               duty_reply aReply,
               std::uint64_t aTerm)
  {
    LogEvent(log_level::Info,
             "capacity_order_ended",
             { { "pool", aOrder.mPool },
               { "data_centre", aOrder.mDataCentre.mText },
               { "preemptible", aOrder.mPreemptible ? 1 : 0 },
               { "upstreams", aOrder.mUpstreams },
               { "token", aToken },
               { "reply", ToText(aReply) } });
    mMetrics.Count("duties_capacity_orders_total",
                   { { "reply", ToText(aReply) } });
    if (aTerm != mTerm) {
      return;
    }
    auto& last = mOrders[SubjectOf(aOrder)];
    last.mInProgress = false;
    if (aReply == duty_reply::Done) {
      last.mNoneLeftUntil = {};
      mPause = kFirstPause;
      return;
    }
    last.mUpstreams.reset();
    if (aReply == duty_reply::Throttled) {
      Pause();
      return;
    }
    last.mUnanswered = aToken;
    if (aReply == duty_reply::Unknown) {
      Pause();
    } else if (aOrder.mPreemptible) {
      // Refused for want of upstreams, unless another gateway holds the duties,
      // which the next write of the lease tells.
      last.mNoneLeftUntil = mTimers.Now() + kNoneLeftPause;
    }
  }

  // Sends nothing for a while, longer each time.
  void Pause()
  {
    if (mTimers.Now() < mPausedUntil) {
      return;
    }
    mPausedUntil = mTimers.Now() + mPause;
    mPause = std::min(2 * mPause, kLongestPause);
  }

  static subject SubjectOf(const capacity_order& aOrder)
  {
    return { aOrder.mPool, aOrder.mDataCentre, aOrder.mPreemptible };
  }

  timer_service& mTimers;
  metrics& mMetrics;
  duty_lease& mLease;
  const capacity_settings mSettings;
  const capacity_hooks mHooks;
  std::map<std::string, pool_state> mPools;
  std::map<subject, last_order> mOrders;
  // Calls that may be sent now, of a rate that never exceeds the platform's.
  double mBudget = 0;
  int mCalls = 0;
  // Counts how often the duties have been taken or lost.
  std::uint64_t mTerm = 0;
  steady_time mPausedUntil{};
  milliseconds mPause = kFirstPause;
  timer_subscription mTick;
};

capacity_controller::capacity_controller(timer_service& aTimers,
                                         metrics& aMetrics,
                                         duty_lease& aLease,
                                         capacity_settings aSettings,
                                         capacity_hooks aHooks)
  : mState(std::make_shared<state>(aTimers,
                                   aMetrics,
                                   aLease,
                                   aSettings,
                                   std::move(aHooks)))
{
}

capacity_controller::~capacity_controller() = default;

void
capacity_controller::Start()
{
  mState->mTick =
    mState->mTimers.Every(kTick, [self = mState.get()] { self->Tick(); });
}

void
capacity_controller::OnHolderChanged()
{
  ++mState->mTerm;
  mState->mOrders.clear();
  mState->mPools.clear();
}

} // namespace sapphirespar::duties
