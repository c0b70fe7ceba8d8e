// Shows how the scheduler orders requests when there are too few slots: a
// booking preempts a tag, which is resumed afterwards.
#include "sapphirespar/policy/scheduler.hpp"

#include <iostream>
#include <memory>
#include <vector>

using namespace sapphirespar;
using namespace std::chrono_literals;

namespace {

constexpr steady_time kStart{ 1h };

policy::queued_request
Request(std::string aClass)
{
  policy::queued_request request;
  request.mId = { "the " + aClass };
  request.mClass = { std::move(aClass) };
  request.mPool = "model";
  request.mArrival = kStart;
  request.mFirstTokenBy = kStart + 500ms;
  request.mAnswerBy = kStart + 60s;
  return request;
}

void
Print(const char* aEvent, const policy::decisions& aDecisions)
{
  std::cout << aEvent << ":\n";
  for (const auto& order : aDecisions.mPauses) {
    std::cout << "  " << (order.mResume ? "resume " : "pause ")
              << order.mRequest << '\n';
  }
  for (const auto& assignment : aDecisions.mAssignments) {
    std::cout << "  start " << assignment.mRequest << " on "
              << assignment.mUpstream << '\n';
  }
  for (const auto& rejection : aDecisions.mRejections) {
    std::cout << "  refuse " << rejection.mRequest << ", retry after "
              << rejection.mRefusal.mRetryAfter.count() << " ms\n";
  }
}

} // namespace

int
main()
{
  auto rules = std::make_shared<bundle>();
  rules->mClasses.resize(2);
  rules->mClasses[0].mId = { "booking" };
  rules->mClasses[0].mTier = 1;
  rules->mClasses[1].mId = { "tag" };

  policy::upstream_view engine;
  engine.mId = { "engine" };
  engine.mPools = { "model" };
  engine.mSlots = 1;
  engine.mCanPause = true;
  const std::vector engines{ engine };

  const auto scheduler = policy::MakeScheduler("tiered");
  scheduler->Configure(rules);
  scheduler->SetUpstreams(engines, kStart);
  Print("a tag arrives", scheduler->Submit(Request("tag"), kStart));
  Print("a booking arrives",
        scheduler->Submit(Request("booking"), kStart + 400ms));
  policy::completion done;
  done.mRequest = { "the booking" };
  done.mSucceeded = true;
  const auto after = scheduler->Finish(done, kStart + 600ms);
  Print("the booking ends", after);
  return after.mPauses.size() == 1 && after.mPauses[0].mResume ? 0 : 1;
}
