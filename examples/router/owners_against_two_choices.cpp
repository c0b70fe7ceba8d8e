// Compares queues at owners with the usual design without them, in which every
// router sends each request to the less loaded of two random upstreams, by load
// reports that lag. Both run under virtual time with the same requests.
#include "sapphirespar/model/fake_network.hpp"
#include "sapphirespar/router/slot_broker.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <random>

namespace {

using namespace sapphirespar;
using namespace std::chrono_literals;

constexpr unsigned kRouters = 6;
constexpr unsigned kUpstreams = 9;
constexpr unsigned kSlots = 16;
constexpr double kMeanDurationSeconds = 4;
// Standard deviation of the logarithm of the duration.
constexpr double kLogStandardDeviation = 1;
constexpr auto kArrivals = 300s;
constexpr auto kReportPeriod = 1s;
constexpr auto kOneWayDelay = 500us;
// Longest wait after which the first token can still be in time.
constexpr std::chrono::duration<double> kWaitTarget = 320ms;
constexpr std::string_view kPool = "model";

struct job
{
  unsigned mRouter = 0;
  steady_time mArrival{};
  steady_duration mDuration{};
};

// An upstream that runs kSlots jobs at a time and queues the rest in order.
struct server
{
  unsigned mRunning = 0;
  std::deque<std::size_t> mQueue;

  unsigned Load() const
  {
    return mRunning + static_cast<unsigned>(mQueue.size());
  }
};

class trial
{
public:
  trial(double aLoad, std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    const double rate = aLoad * kUpstreams * kSlots / kMeanDurationSeconds;
    std::exponential_distribution<double> gap(rate);
    std::lognormal_distribution<double> duration(
      std::log(kMeanDurationSeconds) -
        kLogStandardDeviation * kLogStandardDeviation / 2,
      kLogStandardDeviation);
    std::chrono::duration<double> at(0);
    while (at < kArrivals) {
      job arriving;
      arriving.mRouter = static_cast<unsigned>(mRandom() % kRouters);
      arriving.mArrival =
        steady_time(std::chrono::duration_cast<steady_duration>(at));
      arriving.mDuration = std::chrono::duration_cast<steady_duration>(
        std::chrono::duration<double>(duration(mRandom)));
      mJobs.push_back(arriving);
      at += std::chrono::duration<double>(gap(mRandom));
    }
  }
  virtual ~trial() = default;

  // Returns the time in seconds that each job waited before it ran, sorted.
  std::vector<double> Run()
  {
    for (std::size_t number = 0; number < mJobs.size(); ++number) {
      mTimers.Advance(mJobs[number].mArrival - mTimers.Now());
      OnArrival(number);
    }
    while (mWaits.size() < mJobs.size()) {
      mTimers.Advance(1s);
    }
    std::ranges::sort(mWaits);
    return mWaits;
  }

protected:
  virtual void OnArrival(std::size_t aJob) = 0;
  virtual void OnJobEnded(std::size_t) {}

  // Sends a job to an upstream.
  void Dispatch(std::size_t aJob, unsigned aServer)
  {
    Schedule(kOneWayDelay, [this, aJob, aServer] {
      mServers[aServer].mQueue.push_back(aJob);
      StartJobs(aServer);
    });
  }

  void Schedule(steady_duration aDelay, timer_callback aWork)
  {
    const auto id = mNextTimer++;
    mPending[id] = mTimers.After(aDelay, [this, id, work = std::move(aWork)] {
      const auto done = mPending.extract(id);
      work();
    });
  }

  manual_timer_service mTimers;
  std::mt19937_64 mRandom;
  std::vector<job> mJobs;
  std::vector<server> mServers{ kUpstreams };

private:
  void StartJobs(unsigned aServer)
  {
    auto& target = mServers[aServer];
    while (target.mRunning < kSlots && !target.mQueue.empty()) {
      const auto number = target.mQueue.front();
      target.mQueue.pop_front();
      ++target.mRunning;
      const std::chrono::duration<double> wait =
        mTimers.Now() - mJobs[number].mArrival;
      mWaits.push_back(wait.count());
      Schedule(mJobs[number].mDuration, [this, aServer, number] {
        --mServers[aServer].mRunning;
        OnJobEnded(number);
        StartJobs(aServer);
      });
    }
  }

  std::uint64_t mNextTimer = 0;
  std::map<std::uint64_t, timer_subscription> mPending;
  std::vector<double> mWaits;
};

class two_choices_trial : public trial
{
public:
  using trial::trial;

private:
  void OnArrival(std::size_t aJob) override
  {
    if (mTimers.Now() - mReportedAt >= kReportPeriod) {
      mReportedAt = mTimers.Now();
      std::ranges::transform(
        mServers, mReported.begin(), [](const server& aServer) {
          return aServer.Load();
        });
      mSent.fill({});
    }
    const auto router = mJobs[aJob].mRouter;
    const auto first = static_cast<unsigned>(mRandom() % kUpstreams);
    const auto second = static_cast<unsigned>(mRandom() % kUpstreams);
    // Includes the jobs that this router has sent since the report.
    const auto load = [&](unsigned aServer) {
      return mReported[aServer] + mSent[router][aServer];
    };
    const auto chosen = load(first) <= load(second) ? first : second;
    ++mSent[router][chosen];
    Dispatch(aJob, chosen);
  }

  steady_time mReportedAt{ -kReportPeriod };
  std::array<unsigned, kUpstreams> mReported{};
  std::array<std::array<unsigned, kUpstreams>, kRouters> mSent{};
};

class owners_trial : public trial
{
public:
  owners_trial(double aLoad, std::uint64_t aSeed)
    : trial(aLoad, aSeed)
  {
    mNetwork.SetDeliveryRule([](const peer_message&) {
      return std::optional<steady_duration>(kOneWayDelay);
    });
    DeclareUpstreams();
    for (unsigned number = 0; number < kRouters; ++number) {
      member entry;
      entry.mProcess = { { "r" + std::to_string(number) }, 1 };
      entry.mState = member_state::Live;
      mMembers[entry.mProcess.mVm] = entry;
    }
    for (unsigned number = 0; number < kRouters; ++number) {
      StartRouter(number);
    }
    mReports = mTimers.Every(kReportPeriod, [this] { ShareLoads(); });
  }

private:
  struct router_node
  {
    blackboard mBoard;
    std::unique_ptr<peer_network> mLink;
    std::unique_ptr<router::slot_broker> mBroker;
    timer_subscription mTicks;
  };

  void DeclareUpstreams()
  {
    auto declared = std::make_shared<bundle>();
    for (unsigned number = 0; number < kUpstreams; ++number) {
      policy::upstream_view view;
      view.mId = { std::to_string(number) };
      view.mPools = { std::string(kPool) };
      view.mSlots = kSlots;
      mViews.push_back(view);
      upstream_spec spec;
      spec.mId = view.mId;
      declared->mUpstreams.push_back(spec);
    }
    mBundle = declared;
  }

  void StartRouter(unsigned aNumber)
  {
    auto& node = mNodes[aNumber];
    node.mBoard.mSelf = { { "r" + std::to_string(aNumber) }, 1 };
    node.mBoard.mMembers = mMembers;
    node.mLink = mNetwork.Attach(
      node.mBoard.mSelf,
      mTimers,
      [&node](const process_id& aFrom, const peer_message& aMessage) {
        node.mBroker->OnPeerMessage(aFrom, aMessage);
      });
    router::slot_broker_hooks hooks;
    hooks.mRandom = [this] { return mRandom(); };
    node.mBroker =
      std::make_unique<router::slot_broker>(node.mBoard,
                                            *node.mLink,
                                            mTimers,
                                            policy::MakeScheduler("tiered"),
                                            router::slot_broker_settings{},
                                            hooks);
    node.mBroker->Configure(mBundle);
    node.mBroker->SetUpstreams(mViews);
    node.mTicks = mTimers.Every(50ms, [&node] { node.mBroker->Tick(); });
  }

  void ShareLoads()
  {
    for (auto& from : mNodes) {
      for (auto& to : mNodes) {
        auto& entry = to.mBoard.mMembers[from.mBoard.mSelf.mVm];
        entry.mPools = from.mBroker->Loads();
        entry.mLastHeard = mTimers.Now();
      }
    }
  }

  void OnArrival(std::size_t aJob) override
  {
    constexpr auto kNeverDue = 1h;
    policy::queued_request request;
    request.mId = { std::to_string(aJob) };
    request.mPool = kPool;
    request.mArrival = mTimers.Now();
    request.mFirstTokenBy = request.mAnswerBy = mTimers.Now() + kNeverDue;
    auto& node = mNodes[mJobs[aJob].mRouter];
    node.mBroker->Acquire(request, [this, aJob](router::slot_outcome aOutcome) {
      const auto& upstream = std::get<upstream_id>(aOutcome);
      Dispatch(aJob, static_cast<unsigned>(std::stoul(upstream.mText)));
    });
  }

  void OnJobEnded(std::size_t aJob) override
  {
    policy::completion completion;
    completion.mRequest = { std::to_string(aJob) };
    completion.mSucceeded = true;
    mNodes[mJobs[aJob].mRouter].mBroker->Finish(completion);
  }

  fake_network mNetwork{ mTimers };
  std::vector<policy::upstream_view> mViews;
  bundle_ptr mBundle;
  std::map<vm_id, member> mMembers;
  std::array<router_node, kRouters> mNodes;
  timer_subscription mReports;
};

void
Print(double aLoad, const char* aDesign, const std::vector<double>& aWaits)
{
  const auto quantile = [&](double aShare) {
    const auto last = static_cast<double>(aWaits.size() - 1);
    return aWaits[static_cast<std::size_t>(aShare * last)];
  };
  const auto inTime = std::ranges::count_if(
    aWaits, [](double aWait) { return aWait <= kWaitTarget.count(); });
  std::printf("%5.2f  %-12s %8zu %10.3f %10.3f %10.3f %10.4f\n",
              aLoad,
              aDesign,
              aWaits.size(),
              quantile(0.5),
              quantile(0.99),
              aWaits.back(),
              static_cast<double>(inTime) / static_cast<double>(aWaits.size()));
}

} // namespace

int
main()
{
  constexpr std::uint64_t kSeed = 20261203;
  std::printf(" load  design       requests   wait p50   wait p99   wait max "
              "   in time\n");
  for (const double load : { 0.7, 0.85, 0.95 }) {
    Print(load, "two choices", two_choices_trial(load, kSeed).Run());
    Print(load, "owners", owners_trial(load, kSeed).Run());
  }
  return 0;
}
