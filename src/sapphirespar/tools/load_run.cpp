// Distributes arrivals over threads and collects the results.
#include "sapphirespar/tools/load_run.hpp"

#include "load_call.hpp"
#include "standin_http.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

namespace sapphirespar::tools {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr std::size_t kMaxIdleConnections = 1024;

struct load_counters
{
  std::atomic<std::uint64_t> mSent{ 0 };
  std::atomic<std::uint64_t> mEnded{ 0 };
  std::atomic<std::uint64_t> mAnswered{ 0 };
};

wire::http_client_settings
ClientSettings()
{
  wire::http_client_settings settings;
  settings.mMaxIdlePerEndpoint = kMaxIdleConnections;
  return settings;
}

// One sending thread: its share of the arrivals and their results.
class load_thread
{
public:
  load_thread(const workload& aWorkload,
              const load_targets& aTargets,
              load_counters& aCounters,
              steady::time_point aStart)
    : mClient(mContext.get_executor(), ClientSettings())
    , mCallContext{ aWorkload, aTargets, mClient }
    , mCounters(aCounters)
    , mStart(aStart)
  {
  }

  // In order of time; set before Run.
  std::vector<arrival> mArrivals;
  // In order of completion; complete when Run returns.
  std::vector<call_record> mRecords;

  void Run()
  {
    asio::co_spawn(mContext, SendAll(), asio::detached);
    mContext.run();
  }

private:
  asio::awaitable<void> SendAll()
  {
    for (const auto& item : mArrivals) {
      const auto wait = mStart + item.mAt - steady::now();
      co_await Sleep(std::chrono::duration_cast<microseconds>(wait));
      ++mCounters.mSent;
      asio::co_spawn(mContext, SendOne(item), asio::detached);
    }
  }

  asio::awaitable<void> SendOne(arrival aArrival)
  {
    auto record = co_await PerformCall(mCallContext, aArrival);
    ++mCounters.mEnded;
    mCounters.mAnswered += record.mAnswered ? 1 : 0;
    mRecords.push_back(std::move(record));
  }

  asio::io_context mContext;
  wire::http_client mClient;
  call_context mCallContext;
  load_counters& mCounters;
  steady::time_point mStart;
};

// Sets the faults of stand-ins when they are due.
asio::awaitable<void>
ApplyFaults(const call_context& aContext, steady::time_point aStart)
{
  auto steps = aContext.mWorkload.mFaults;
  std::ranges::stable_sort(steps, {}, &fault_step::mAt);
  for (const auto& step : steps) {
    const auto& standins = aContext.mTargets.mStandins;
    const auto found =
      std::ranges::find(standins, step.mStandin, &named_standin::mName);
    if (found == standins.end()) {
      continue;
    }
    const auto wait = aStart + step.mAt - steady::now();
    co_await Sleep(std::chrono::duration_cast<microseconds>(wait));
    wire::http_request request;
    request.mMethod = "PUT";
    request.mTarget = "/faults";
    request.mBody = step.mFaults;
    constexpr milliseconds kTimeout{ 5000 };
    co_await aContext.mClient.Fetch(
      found->mEndpoint, std::move(request), kTimeout);
  }
}

// Reports progress until every request has ended.
asio::awaitable<void>
ReportProgress(const load_counters& aCounters,
               std::uint64_t aTotal,
               steady::time_point aStart,
               progress_callback aProgress)
{
  constexpr milliseconds kPollInterval{ 50 };
  constexpr milliseconds kReportPeriod{ 1000 };
  auto next = aStart + kReportPeriod;
  while (aCounters.mEnded < aTotal) {
    co_await Sleep(kPollInterval);
    const auto now = steady::now();
    if (aProgress && now >= next) {
      next += kReportPeriod;
      load_progress progress;
      progress.mElapsed =
        std::chrono::duration_cast<milliseconds>(now - aStart);
      progress.mSent = aCounters.mSent;
      progress.mEnded = aCounters.mEnded;
      progress.mAnswered = aCounters.mAnswered;
      aProgress(progress);
    }
  }
}

asio::awaitable<void>
RunAudit(const call_context& aContext, upstream_audit& aAudit)
{
  aAudit = co_await AuditUpstreams(aContext);
}

} // namespace

load_outcome
RunLoad(const workload& aWorkload,
        const load_targets& aTargets,
        const progress_callback& aProgress)
{
  const auto arrivals = Arrivals(aWorkload);
  const auto start = steady::now();
  load_counters counters;
  std::vector<std::unique_ptr<load_thread>> loadThreads;
  for (unsigned index = 0; index < aTargets.mThreads; ++index) {
    loadThreads.push_back(
      std::make_unique<load_thread>(aWorkload, aTargets, counters, start));
  }
  for (const auto& item : arrivals) {
    loadThreads[item.mNumber % loadThreads.size()]->mArrivals.push_back(item);
  }
  std::vector<std::jthread> threads;
  for (const auto& loadThread : loadThreads) {
    threads.emplace_back([&loadThread] { loadThread->Run(); });
  }

  asio::io_context context;
  wire::http_client client(context.get_executor(), ClientSettings());
  const call_context callContext{ aWorkload, aTargets, client };
  asio::co_spawn(context, ApplyFaults(callContext, start), asio::detached);
  asio::co_spawn(context,
                 ReportProgress(counters, arrivals.size(), start, aProgress),
                 asio::detached);
  context.run();
  threads.clear();

  load_outcome result;
  for (const auto& loadThread : loadThreads) {
    std::ranges::move(loadThread->mRecords, std::back_inserter(result.mCalls));
  }
  std::ranges::stable_sort(result.mCalls, {}, &call_record::mAt);
  context.restart();
  asio::co_spawn(context, RunAudit(callContext, result.mAudit), asio::detached);
  context.run();
  return result;
}

} // namespace sapphirespar::tools
