// Measures the CPU time of scheduling events.
#include "event_cost.hpp"

#include "processor_time.hpp"

#include "sapphirespar/policy/scheduler.hpp"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace sapphirespar::experiment {

namespace {

using namespace std::chrono_literals;

// The upstreams that one owner has at most, and the load for the measurement.
constexpr unsigned kUpstreams = 9;
constexpr unsigned kSlots = 16;
constexpr unsigned kClasses = 4;
constexpr unsigned kRounds = 20000;
constexpr unsigned kTicks = 1000;

bundle_ptr
MakeBundle()
{
  auto newBundle = std::make_shared<bundle>();
  for (unsigned i = 0; i < kClasses; ++i) {
    auto& rules = newBundle->mClasses.emplace_back();
    rules.mId = { "class" + std::to_string(i) };
    rules.mTier = 1 + i % 3;
    rules.mQueueLimit = 1000000;
  }
  return newBundle;
}

class measurement
{
public:
  measurement()
  {
    mScheduler->Configure(MakeBundle());
    std::vector<policy::upstream_view> views(kUpstreams);
    for (unsigned i = 0; i < kUpstreams; ++i) {
      views[i].mId = { "engine" + std::to_string(i) };
      views[i].mPools = { "model" };
      views[i].mSlots = kSlots;
      views[i].mCanPause = true;
    }
    mScheduler->SetUpstreams(views, mNow);
  }

  event_cost Run(std::size_t aQueued)
  {
    for (std::size_t i = 0; i < aQueued + kUpstreams * kSlots; ++i) {
      Submit();
    }
    event_cost cost;
    cost.mQueued = aQueued;
    for (unsigned i = 0; i < kRounds; ++i) {
      cost.mFinishMicroseconds += Finish() / kRounds;
      cost.mSubmitMicroseconds += Submit() / kRounds;
    }
    for (unsigned i = 0; i < kTicks; ++i) {
      const auto start = ProcessorMicroseconds();
      RecordAssignments(mScheduler->Tick(mNow));
      cost.mTickMicroseconds += (ProcessorMicroseconds() - start) / kTicks;
    }
    return cost;
  }

private:
  double Submit()
  {
    policy::queued_request request;
    request.mId = { std::to_string(mNext) };
    request.mClass = { "class" + std::to_string(mNext % kClasses) };
    request.mAccount = { std::to_string(mNext % 100) };
    request.mPool = "model";
    request.mArrival = mNow;
    request.mFirstTokenBy = mNow + 100h + mNext * 1ms;
    request.mAnswerBy = request.mFirstTokenBy + 1h;
    ++mNext;
    const auto start = ProcessorMicroseconds();
    const auto decisions = mScheduler->Submit(std::move(request), mNow);
    const auto spent = ProcessorMicroseconds() - start;
    RecordAssignments(decisions);
    return spent;
  }

  double Finish()
  {
    mNow += 1ms;
    policy::completion done;
    done.mRequest = { mRunning.front() };
    done.mSucceeded = true;
    done.mTokens = 100;
    done.mFirstToken = 10ms;
    mRunning.pop_front();
    const auto start = ProcessorMicroseconds();
    const auto decisions = mScheduler->Finish(done, mNow);
    const auto spent = ProcessorMicroseconds() - start;
    RecordAssignments(decisions);
    return spent;
  }

  void RecordAssignments(const policy::decisions& aDecisions)
  {
    for (const auto& assignment : aDecisions.mAssignments) {
      mRunning.push_back(assignment.mRequest.mText);
    }
  }

  policy::scheduler_ptr mScheduler = policy::MakeScheduler("tiered");
  steady_time mNow{ 1h };
  std::uint64_t mNext = 0;
  std::deque<std::string> mRunning;
};

} // namespace

event_cost
MeasureEventCost(std::size_t aQueued)
{
  return measurement().Run(aQueued);
}

} // namespace sapphirespar::experiment
