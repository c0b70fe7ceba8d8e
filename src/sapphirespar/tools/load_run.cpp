// Spreads arrivals over threads and gathers what became of them.
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

constexpr std::size_t kIdleConnections = 1024;

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
  settings.mMaxIdlePerEndpoint = kIdleConnections;
  return settings;
}

// One thread's share of the arrivals.
class load_thread
{
public:
  load_thread(const workload& aWorkload,
              const load_targets& aTargets,
              load_counters& aCounters,
              steady::time_point aStart)
    : mClient(mContext.get_executor(), ClientSettings())
    , mShared{ aWorkload, aTargets, mClient }
    , mCounters(aCounters)
    , mStart(aStart)
  {
  }

  std::vector<arrival> mArrivals;
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
    auto record = co_await PerformCall(mShared, aArrival);
    ++mCounters.mEnded;
    mCounters.mAnswered += record.mAnswered ? 1 : 0;
    mRecords.push_back(std::move(record));
  }

  asio::io_context mContext;
  wire::http_client mClient;
  call_context mShared;
  load_counters& mCounters;
  steady::time_point mStart;
};

// Switches the faults of stand-ins when they are due.
asio::awaitable<void>
SwitchFaults(const call_context& aContext, steady::time_point aStart)
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
      found->mPlace, std::move(request), kTimeout);
  }
}

// Reports progress until every arrival has ended.
asio::awaitable<void>
ReportProgress(const load_counters& aCounters,
               std::uint64_t aAll,
               steady::time_point aStart,
               progress_hook aProgress)
{
  constexpr milliseconds kLook{ 50 };
  constexpr milliseconds kPeriod{ 1000 };
  auto next = aStart + kPeriod;
  while (aCounters.mEnded < aAll) {
    co_await Sleep(kLook);
    const auto now = steady::now();
    if (aProgress && now >= next) {
      next += kPeriod;
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
KeepAudit(const call_context& aContext, upstream_audit& aInto)
{
  aInto = co_await AuditUpstreams(aContext);
}

} // namespace

load_outcome
RunLoad(const workload& aWorkload,
        const load_targets& aTargets,
        const progress_hook& aProgress)
{
  const auto arrivals = Arrivals(aWorkload);
  const auto start = steady::now();
  load_counters counters;
  std::vector<std::unique_ptr<load_thread>> shares;
  for (unsigned index = 0; index < aTargets.mThreads; ++index) {
    shares.push_back(
      std::make_unique<load_thread>(aWorkload, aTargets, counters, start));
  }
  for (const auto& item : arrivals) {
    shares[item.mNumber % shares.size()]->mArrivals.push_back(item);
  }
  std::vector<std::jthread> threads;
  for (const auto& share : shares) {
    threads.emplace_back([&share] { share->Run(); });
  }

  asio::io_context context;
  wire::http_client client(context.get_executor(), ClientSettings());
  const call_context shared{ aWorkload, aTargets, client };
  asio::co_spawn(context, SwitchFaults(shared, start), asio::detached);
  asio::co_spawn(context,
                 ReportProgress(counters, arrivals.size(), start, aProgress),
                 asio::detached);
  context.run();
  threads.clear();

  load_outcome result;
  for (const auto& share : shares) {
    std::ranges::move(share->mRecords, std::back_inserter(result.mCalls));
  }
  std::ranges::stable_sort(result.mCalls, {}, &call_record::mAt);
  context.restart();
  asio::co_spawn(context, KeepAudit(shared, result.mAudit), asio::detached);
  context.run();
  return result;
}

} // namespace sapphirespar::tools
