// Runs each order through its steps: acquire a weight store slot (loads only),
// write the order record, send, verify, close the record.
#include "sapphirespar/upstream/order_controller.hpp"

#include "order_record.hpp"
#include "sapphirespar/base/log.hpp"
#include "sapphirespar/upstream/object_update.hpp"
#include "weight_store_slots.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace sapphirespar::upstream {
namespace {

constexpr std::chrono::seconds kUpdateTimeout{ 20 };

bool
IsCarriedOut(const engine_order& aOrder, const load_report& aReport)
{
  // A report without a list of models proves nothing.
  if (!aReport.mModels) {
    return false;
  }
  const auto& models = *aReport.mModels;
  const bool loaded = std::ranges::find(models, aOrder.mModel) != models.end();
  return loaded == (aOrder.mKind == order_kind::LoadModel);
}

} // namespace

std::string_view
ToText(order_kind aKind)
{
  return aKind == order_kind::LoadModel ? "load_model" : "unload_model";
}

std::string_view
ToText(order_outcome aOutcome)
{
  switch (aOutcome) {
    case order_outcome::Done:
      return "done";
    case order_outcome::Superseded:
      return "superseded";
    case order_outcome::Unverified:
      return "unverified";
    case order_outcome::NotSent:
      break;
  }
  return "not_sent";
}

class order_controller::state : public std::enable_shared_from_this<state>
{
public:
  state(process_id aSelf,
        platform_api& aPlatform,
        timer_service& aTimers,
        order_hooks aHooks,
        const order_settings& aSettings)
    : mSelf(std::move(aSelf))
    , mPlatform(aPlatform)
    , mTimers(aTimers)
    , mHooks(std::move(aHooks))
    , mSettings(aSettings)
    , mSlots(
        std::make_shared<weight_store_slots>(aPlatform, aTimers, aSettings))
  {
  }

  bool Issue(const upstream_spec& aSpec,
             engine_order aOrder,
             order_callback aDone);

private:
  struct run
  {
    upstream_spec mSpec;
    engine_order mOrder;
    order_callback mDone;
    // Identifies this order in the record and in the slots.
    std::string mName;
    std::uint64_t mFence = 0;
    // The store's era in which the record was written.
    store_era mEra = 0;
    // Whether the order that this one replaced in the record may still be in
    // progress.
    bool mEarlierOpen = false;
    steady_time mSentAt{};
    timer_subscription mTimer;
  };

  using run_ptr = std::shared_ptr<run>;
  using run_step = void (state::*)(const run_ptr&);

  timer_callback BindStep(const run_ptr& aRun, run_step aStep);
  object_key RecordKey(const run& aRun) const;
  void Fence(const run_ptr& aRun);
  void OnFenced(const run_ptr& aRun, const update_result& aResult);
  void Confirm(const run_ptr& aRun);
  void Send(const run_ptr& aRun);
  void Verify(const run_ptr& aRun);
  void OnLoadReport(const run_ptr& aRun,
                    const std::optional<load_report>& aReport);
  void Close(const run_ptr& aRun);
  void End(const run_ptr& aRun, order_outcome aOutcome);
  bool IsRunning(const run_ptr& aRun) const;

  const process_id mSelf;
  platform_api& mPlatform;
  timer_service& mTimers;
  const order_hooks mHooks;
  const order_settings mSettings;
  std::shared_ptr<weight_store_slots> mSlots;
  // At most one for each upstream.
  std::map<upstream_id, run_ptr> mRuns;
};

bool
order_controller::state::Issue(const upstream_spec& aSpec,
                               engine_order aOrder,
                               order_callback aDone)
{
  if (mRuns.contains(aSpec.mId)) {
    return false;
  }
  const auto started = std::make_shared<run>();
  started->mSpec = aSpec;
  started->mOrder = std::move(aOrder);
  started->mDone = std::move(aDone);
  started->mName = mSelf.mVm.mText + '/' + NewRequestId().mText;
  mRuns[aSpec.mId] = started;
  if (started->mOrder.mKind != order_kind::LoadModel) {
    Fence(started);
    return true;
  }
  mSlots->Acquire(started->mName,
                  [weak = weak_from_this(), started](bool aAcquired) {
                    const auto self = weak.lock();
                    if (self && aAcquired) {
                      self->Fence(started);
                    } else if (self) {
                      self->End(started, order_outcome::NotSent);
                    }
                  });
  return true;
}

// Returns a timer callback that calls aStep unless the order or the controller
// has been destroyed.
timer_callback
order_controller::state::BindStep(const run_ptr& aRun, run_step aStep)
{
  return [weak = weak_from_this(), run = std::weak_ptr(aRun), aStep] {
    const auto self = weak.lock();
    const auto live = run.lock();
    if (self && live) {
      ((*self).*aStep)(live);
    }
  };
}

object_key
order_controller::state::RecordKey(const run& aRun) const
{
  return { std::string(kOrderKind), aRun.mSpec.mId.mText };
}

// Writes this order into the upstream's record. The version of that write, with
// the store's era, is the fencing number, which rises with every order of any
// process.
void
order_controller::state::Fence(const run_ptr& aRun)
{
  const auto decide = [aRun](std::string_view aValue, store_era aEra) {
    const auto current = ReadOrderRecord(aValue);
    const bool latest = IsLatest(current, aEra);
    if (current.mOrder == aRun->mName && latest) {
      return object_change{ change_kind::Keep, {} };
    }
    aRun->mEarlierOpen = current.mOpen || !latest;
    return object_change{ change_kind::Write,
                          WriteOrderRecord({ aRun->mName, true, aEra }) };
  };
  UpdateObject(mPlatform,
               mTimers,
               RecordKey(*aRun),
               decide,
               kUpdateTimeout,
               weak_from_this(),
               [this, aRun](const auto& aResult) { OnFenced(aRun, aResult); });
}

// An upstream that checks fencing numbers refuses earlier orders itself, so the
// order can be sent at once. For any other upstream, waits until an earlier
// order that may be in progress must have ended, and then confirms the record.
void
order_controller::state::OnFenced(const run_ptr& aRun,
                                  const update_result& aResult)
{
  if (aResult.mStatus != update_status::Ok) {
    End(aRun, order_outcome::NotSent);
    return;
  }
  aRun->mFence = FencingNumber(aResult.mEra, aResult.mVersion);
  aRun->mEra = aResult.mEra;
  if (aRun->mSpec.mChecksFencing) {
    Send(aRun);
  } else if (aRun->mEarlierOpen) {
    aRun->mTimer = mTimers.After(mSettings.mMaxOrderDuration,
                                 BindStep(aRun, &state::Confirm));
  } else {
    Confirm(aRun);
  }
}

// Checks, for an upstream that ignores fencing numbers, that the record still
// contains this order. An answer that arrives after mSendWindow, for example
// because the process was paused, may be stale, so the check is repeated. After
// a restore of the store, later orders may be missing in the record, so it is
// written again.
void
order_controller::state::Confirm(const run_ptr& aRun)
{
  const auto startedAt = mTimers.Now();
  const auto decide = [aRun](std::string_view aValue, store_era) {
    const auto own = ReadOrderRecord(aValue).mOrder == aRun->mName;
    return object_change{ own ? change_kind::Keep : change_kind::Stop, {} };
  };
  const auto done = [this, aRun, startedAt](const update_result& aResult) {
    if (aResult.mStatus == update_status::Stopped) {
      End(aRun, order_outcome::Superseded);
    } else if (aResult.mStatus == update_status::TimedOut) {
      End(aRun, order_outcome::NotSent);
    } else if (aResult.mEra != 0 && aResult.mEra != aRun->mEra) {
      Fence(aRun);
    } else if (mTimers.Now() - startedAt > mSettings.mSendWindow) {
      Confirm(aRun);
    } else {
      Send(aRun);
    }
  };
  UpdateObject(mPlatform,
               mTimers,
               RecordKey(*aRun),
               decide,
               kUpdateTimeout,
               weak_from_this(),
               done);
}

void
order_controller::state::Send(const run_ptr& aRun)
{
  aRun->mSentAt = mTimers.Now();
  mHooks.mSend(aRun->mSpec,
               aRun->mOrder,
               aRun->mFence,
               [weak = weak_from_this(), aRun](order_reply aReply) {
                 const auto self = weak.lock();
                 if (!self || !self->IsRunning(aRun)) {
                   return;
                 }
                 if (aReply == order_reply::Refused) {
                   self->End(aRun, order_outcome::Superseded);
                 }
               });
  // Unless the engine has refused the order, its load report decides whether
  // the order was carried out, whatever the reply.
  if (IsRunning(aRun)) {
    aRun->mTimer =
      mTimers.Every(mSettings.mVerifyInterval, BindStep(aRun, &state::Verify));
  }
}

void
order_controller::state::Verify(const run_ptr& aRun)
{
  const auto elapsed = mTimers.Now() - aRun->mSentAt;
  if (elapsed >= mSettings.mMaxOrderDuration) {
    End(aRun, order_outcome::Unverified);
    return;
  }
  if (elapsed < mSettings.mReportLag) {
    return;
  }
  mHooks.mFetchLoad(aRun->mSpec,
                    [weak = weak_from_this(), aRun](const auto& aReport) {
                      const auto self = weak.lock();
                      if (self && self->IsRunning(aRun)) {
                        self->OnLoadReport(aRun, aReport);
                      }
                    });
}

void
order_controller::state::OnLoadReport(const run_ptr& aRun,
                                      const std::optional<load_report>& aReport)
{
  if (aReport && IsCarriedOut(aRun->mOrder, *aReport)) {
    aRun->mTimer = {};
    Close(aRun);
  }
}

// Marks the record as closed, so that the next holder need not wait for
// mMaxOrderDuration. A record that stays open by accident costs only that wait.
void
order_controller::state::Close(const run_ptr& aRun)
{
  const auto decide = [aRun](std::string_view aValue, store_era aEra) {
    const auto current = ReadOrderRecord(aValue);
    const bool restored = aEra != 0 && aEra != aRun->mEra;
    if (current.mOrder != aRun->mName && !restored) {
      return object_change{ change_kind::Stop, {} };
    }
    if (!current.mOpen || restored) {
      return object_change{ change_kind::Keep, {} };
    }
    return object_change{ change_kind::Write,
                          WriteOrderRecord({ aRun->mName, false, aEra }) };
  };
  UpdateObject(mPlatform,
               mTimers,
               RecordKey(*aRun),
               decide,
               kUpdateTimeout,
               weak_from_this(),
               [this, aRun](const update_result& aResult) {
                 End(aRun,
                     aResult.mStatus == update_status::Stopped
                       ? order_outcome::Superseded
                       : order_outcome::Done);
               });
}

bool
order_controller::state::IsRunning(const run_ptr& aRun) const
{
  const auto found = mRuns.find(aRun->mSpec.mId);
  return found != mRuns.end() && found->second == aRun;
}

void
order_controller::state::End(const run_ptr& aRun, order_outcome aOutcome)
{
  if (!IsRunning(aRun)) {
    return;
  }
  mRuns.erase(aRun->mSpec.mId);
  aRun->mTimer = {};
  if (aRun->mOrder.mKind == order_kind::LoadModel) {
    mSlots->Release(aRun->mName);
  }
  LogEvent(log_level::Info,
           "order_ended",
           { { "upstream", aRun->mSpec.mId.mText },
             { "order", ToText(aRun->mOrder.mKind) },
             { "model", aRun->mOrder.mModel.mText },
             { "fence", aRun->mFence },
             { "end", ToText(aOutcome) } });
  aRun->mDone(aOutcome);
}

order_controller::order_controller(process_id aSelf,
                                   platform_api& aPlatform,
                                   timer_service& aTimers,
                                   order_hooks aHooks,
                                   order_settings aSettings)
  : mState(std::make_shared<state>(std::move(aSelf),
                                   aPlatform,
                                   aTimers,
                                   std::move(aHooks),
                                   aSettings))
{
}

order_controller::~order_controller() = default;

bool
order_controller::Issue(const upstream_spec& aSpec,
                        engine_order aOrder,
                        order_callback aDone)
{
  return mState->Issue(aSpec, std::move(aOrder), std::move(aDone));
}

} // namespace sapphirespar::upstream
