// Starts and stops the router's threads, dispatches requests by path and drains
// the router on shutdown.
#include "sapphirespar/router/router_app.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/router/control_plane.hpp"
#include "sapphirespar/router/exchange.hpp"
#include "sapphirespar/router/pages.hpp"
#include "sapphirespar/router/refusal_response.hpp"
#include "sapphirespar/router/tls_contexts.hpp"
#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <future>
#include <iterator>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>
#include <vector>

namespace sapphirespar::router {
namespace {

using work_guard = asio::executor_work_guard<asio::io_context::executor_type>;

// A traffic thread with its own I/O context and upstream connections.
struct worker
{
  explicit worker(wire::tls_context_ptr aUpstreamTls)
    : mClient(mContext.get_executor(), { .mTls = std::move(aUpstreamTls) })
  {
  }

  asio::io_context mContext{ 1 };
  work_guard mGuard{ mContext.get_executor() };
  wire::http_client mClient;
  std::thread mThread;
};

// The worker that runs on the current thread; null on all other threads.
thread_local worker* sWorker = nullptr;

policy::scheduler_ptr
MakeSchedulerOrThrow(const std::string& aName)
{
  auto scheduler = policy::MakeScheduler(aName);
  if (!scheduler) {
    throw std::invalid_argument("no such scheduler: " + aName);
  }
  return scheduler;
}

// Uses the wall clock in microseconds as the incarnation number, so that a
// restarted process gets a higher one.
process_id
MakeProcessId(const vm_id& aVm)
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto count =
    std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  return { aVm, static_cast<incarnation_number>(count) };
}

bool
IsExchange(const wire::http_request& aRequest)
{
  const auto path = wire::SplitTarget(aRequest.mTarget).mPath;
  const bool completion =
    path == "/v1/chat/completions" || path == "/v1/completions";
  return (completion && aRequest.mMethod == "POST") ||
         path.starts_with("/v1/services/");
}

} // namespace

struct router_app::state
{
  state(router_settings aSettings, router_options aOptions);
  ~state();

  asio::awaitable<void> Serve(const wire::http_request& aRequest,
                              wire::http_reply& aReply);
  wire::http_server_settings ServerSettings() const;
  exchange_hooks ExchangeHooks();
  at_most_once_hooks AtMostOnceHooks();
  policy::retry_decision DecideRetry(const policy::failed_attempt& aAttempt);
  void Observe(const call& aCall,
               const upstream_id& aUpstream,
               const attempt_result& aResult);
  std::vector<asio::io_context*> WorkerContexts();

  void Drain();
  void FinishDrain();
  void StopThreads();

  router_settings mSettings;
  router_options mOptions;
  process_id mSelf;
  tls_contexts mTls;
  metrics mMetrics;
  span_buffer mSpans;
  request_history_log mHistories;
  snapshot_cell mSnapshots;
  pause_registry mPauses;
  shared_account_limiter mAccounts;
  std::mutex mRetryMutex;
  // Guarded by mRetryMutex.
  policy::retry_budget mRetryBudget;
  // Members that may hold a coroutine's timer are declared below, so that they
  // are destroyed before the contexts of the workers.
  std::vector<std::unique_ptr<worker>> mWorkers;
  asio::io_context mControlContext{ 1 };
  work_guard mControlGuard{ mControlContext.get_executor() };
  // These three are empty only during construction.
  std::unique_ptr<control_plane> mControl;
  std::optional<exchange_services> mExchange;
  std::optional<page_services> mPages;
  // Declared after everything that its handler uses, so that it stops accepting
  // before any of that is destroyed.
  std::unique_ptr<wire::http_server> mServer;
  std::thread mControlThread;
  // Used on the control thread only.
  asio::steady_timer mDrainTimer{ mControlContext };
  bool mDraining = false;
  std::promise<void> mDrained;
};

router_app::state::state(router_settings aSettings, router_options aOptions)
  : mSettings(std::move(aSettings))
  , mOptions(std::move(aOptions))
  , mSelf(MakeProcessId(mSettings.mVm))
  , mTls(LoadTls(mSettings))
{
  std::generate_n(std::back_inserter(mWorkers),
                  std::max(mSettings.mTrafficThreads, 1U),
                  [this] { return std::make_unique<worker>(mTls.mUpstreams); });
  mServer = std::make_unique<wire::http_server>(
    mControlContext,
    WorkerContexts(),
    ServerSettings(),
    [this](const wire::http_request& aRequest, wire::http_reply& aReply) {
      return Serve(aRequest, aReply);
    });
  const control_services services{
    mControlContext, mSnapshots, mPauses, mAccounts, mMetrics, mSpans, mTls
  };
  mControl =
    std::make_unique<control_plane>(mSettings,
                                    mSelf,
                                    MakeSchedulerOrThrow(mOptions.mScheduler),
                                    mServer->Port(),
                                    services);
  const report_sinks sinks{ mMetrics, mSpans, mHistories };
  mExchange.emplace(exchange_services{ mSnapshots,
                                       mControl->Dispatcher(),
                                       mPauses,
                                       sinks,
                                       ExchangeHooks(),
                                       mSettings.mTraceSample });
  mPages.emplace(page_services{
    mControlContext, *mControl, mSnapshots, mMetrics, mSpans, mHistories });
  mControl->Start();
  mControlThread = std::thread([this] { mControlContext.run(); });
  for (const auto& item : mWorkers) {
    item->mThread = std::thread([own = item.get()] {
      sWorker = own;
      own->mContext.run();
    });
  }
}

router_app::state::~state()
{
  StopThreads();
}

std::vector<asio::io_context*>
router_app::state::WorkerContexts()
{
  std::vector<asio::io_context*> contexts;
  std::ranges::transform(mWorkers,
                         std::back_inserter(contexts),
                         [](const auto& aItem) { return &aItem->mContext; });
  return contexts;
}

wire::http_server_settings
router_app::state::ServerSettings() const
{
  wire::http_server_settings settings;
  settings.mAddress = mSettings.mAddress;
  settings.mPort = mSettings.mPort;
  settings.mMakeErrorResponse = MalformedRequestResponse;
  settings.mTls = mTls.mCallers;
  return settings;
}

at_most_once_hooks
router_app::state::AtMostOnceHooks()
{
  at_most_once_hooks hooks;
  hooks.mBegin = [this](ledger::dispatch_request aRequest,
                        ledger::dispatch_callback aDone) {
    asio::post(mControlContext, [this, aRequest, aDone] {
      mControl->AtMostOnce().Begin(aRequest, aDone);
    });
  };
  hooks.mFinished = [this](ledger::idempotency_key aKey,
                           outcome aOutcome,
                           ledger::stored_answer_ptr aAnswer) {
    asio::post(mControlContext, [this, aKey, aOutcome, aAnswer] {
      mControl->AtMostOnce().Finished(aKey, aOutcome, aAnswer);
    });
  };
  return hooks;
}

exchange_hooks
router_app::state::ExchangeHooks()
{
  exchange_hooks hooks;
  hooks.mOnce = AtMostOnceHooks();
  hooks.mAdmit = [this](const call& aCall) {
    return mAccounts.Admit(aCall.mAccount->mId);
  };
  hooks.mReleaseAdmission = [this](const call& aCall) {
    mAccounts.Finish(aCall.mAccount->mId);
  };
  hooks.mDecideRetry = [this](const policy::failed_attempt& aAttempt) {
    return DecideRetry(aAttempt);
  };
  hooks.mOnAttemptEnded = [this](const call& aCall,
                                 const upstream_id& aUpstream,
                                 const attempt_result& aResult) {
    Observe(aCall, aUpstream, aResult);
  };
  return hooks;
}

policy::retry_decision
router_app::state::DecideRetry(const policy::failed_attempt& aAttempt)
{
  const std::lock_guard lock(mRetryMutex);
  return policy::DecideRetry(
    aAttempt, mRetryBudget, std::chrono::steady_clock::now());
}

void
router_app::state::Observe(const call& aCall,
                           const upstream_id& aUpstream,
                           const attempt_result& aResult)
{
  if (aResult.mEnd == attempt_end::Complete) {
    const std::lock_guard lock(mRetryMutex);
    mRetryBudget.AddSuccess();
  }
  const auto prefix = aCall.mQueued.mPrefixHash;
  asio::post(mControlContext, [this, aUpstream, aResult, prefix] {
    mControl->Upstreams().Observe(aUpstream, aResult, prefix);
  });
}

asio::awaitable<void>
router_app::state::Serve(const wire::http_request& aRequest,
                         wire::http_reply& aReply)
{
  if (IsExchange(aRequest)) {
    co_await ServeExchange(*mExchange, sWorker->mClient, aRequest, aReply);
    co_return;
  }
  auto page = co_await ServePage(*mPages, aRequest);
  co_await aReply.Send(std::move(page));
}

void
router_app::state::Drain()
{
  if (mDraining) {
    return;
  }
  mDraining = true;
  LogEvent(log_level::Info, "leaving");
  mControl->Leave();
  mDrainTimer.expires_after(mOptions.mDrainGrace);
  mDrainTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      mServer->Drain();
      FinishDrain();
    }
  });
}

void
router_app::state::FinishDrain()
{
  constexpr std::chrono::milliseconds kDrainCheckPeriod{ 20 };
  mDrainTimer.expires_after(kDrainCheckPeriod);
  mDrainTimer.async_wait([this](const auto& aError) {
    if (aError) {
      return;
    }
    if (mServer->RequestsInProgress() > 0) {
      FinishDrain();
      return;
    }
    LogEvent(log_level::Info, "left");
    mDrained.set_value();
  });
}

void
router_app::state::StopThreads()
{
  mControlContext.stop();
  if (mControlThread.joinable()) {
    mControlThread.join();
  }
  for (const auto& item : mWorkers) {
    item->mContext.stop();
    if (item->mThread.joinable()) {
      item->mThread.join();
    }
  }
}

router_app::router_app(router_settings aSettings, router_options aOptions)
  : mState(std::make_unique<state>(std::move(aSettings), std::move(aOptions)))
{
}

router_app::~router_app() = default;

std::uint16_t
router_app::Port() const
{
  return mState->mServer->Port();
}

std::uint16_t
router_app::PeerPort() const
{
  return mState->mControl->PeerPort();
}

bool
router_app::Ready() const
{
  const auto snapshot = mState->mSnapshots.Load();
  return snapshot && snapshot->Bundle();
}

void
router_app::Drain()
{
  asio::post(mState->mControlContext, [this] { mState->Drain(); });
}

void
router_app::Wait()
{
  mState->mDrained.get_future().wait();
}

} // namespace sapphirespar::router
