// Interface of the schedulers, which queue requests for a set of upstreams.
// Each call reports an event with its time and returns decisions. Schedulers do
// no I/O and read no clock.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/model/outcome.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace sapphirespar::policy {

// A request that waits for a slot.
struct queued_request
{
  request_id mId;
  class_id mClass;
  account_id mAccount;
  // A model's name, or a service's with a leading '/'.
  std::string mPool;
  unsigned mPromptTokens = 0;
  unsigned mMaximumTokens = 0;
  // Hash of the prompt's prefix; zero if unknown.
  std::uint64_t mPrefixHash = 0;
  steady_time mArrival{};
  steady_time mFirstTokenBy{};
  steady_time mAnswerBy{};
  // Set by the scheduler for a class that must not run twice: if its upstream
  // crashes, the request is lost.
  bool mRunsOnce = false;
  // Upstreams at which this request has already failed.
  std::vector<upstream_id> mExcluded;
};

// An upstream as described by the router that runs the scheduler.
struct upstream_view
{
  upstream_id mId;
  // The pools it serves now.
  std::vector<std::string> mPools;
  unsigned mSlots = 0;
  upstream_state mState = upstream_state::Healthy;
  double mRelativeSpeed = 1.0;
  // Running requests that this scheduler has not assigned. The caller decays
  // the number as the report gets old.
  unsigned mExternalLoad = 0;
  // Hashes of the prefixes that are probably cached, newest first.
  std::vector<std::uint64_t> mCachedPrefixes;
  // Whether running requests can be paused and resumed there.
  bool mCanPause = false;
};

struct assignment
{
  request_id mRequest;
  upstream_id mUpstream;
};

struct rejection
{
  request_id mRequest;
  refusal mRefusal;
};

struct pause_order
{
  request_id mRequest;
  upstream_id mUpstream;
  bool mResume = false;
};

// Actions for the caller, to be carried out in the order of the members.
struct decisions
{
  std::vector<rejection> mRejections;
  std::vector<pause_order> mPauses;
  std::vector<assignment> mAssignments;
};

// Result of a request that held a slot.
struct completion
{
  request_id mRequest;
  bool mSucceeded = false;
  unsigned mTokens = 0;
  steady_duration mFirstToken{};
  steady_duration mTotal{};
};

// Current numbers of one pool.
struct scheduler_counts
{
  std::string mPool;
  unsigned mSlots = 0;
  unsigned mOutstanding = 0;
  unsigned mQueued = 0;
};

class scheduler
{
public:
  virtual ~scheduler() = default;

  // Replaces the declared classes and accounts.
  virtual void Configure(bundle_ptr aBundle) = 0;

  // Replaces the upstreams. Requests that hold a slot of an upstream that is
  // not in the new list keep it until they finish.
  virtual decisions SetUpstreams(std::span<const upstream_view> aUpstreams,
                                 steady_time aNow) = 0;

  // Submits a new request: it gets a slot, waits or is rejected.
  virtual decisions Submit(queued_request aRequest, steady_time aNow) = 0;

  // Records that a request already runs at aUpstream, so that it holds a slot
  // there.
  virtual void Adopt(queued_request aRequest,
                     const upstream_id& aUpstream,
                     steady_time aNow) = 0;

  // Frees the slot of a request that has ended at its upstream.
  virtual decisions Finish(const completion& aCompletion, steady_time aNow) = 0;

  // Removes a waiting request whose caller has disconnected.
  virtual decisions Withdraw(const request_id& aRequest, steady_time aNow) = 0;

  // To be called periodically: rejects requests that can no longer be in time.
  virtual decisions Tick(steady_time aNow) = 0;

  // Returns the current numbers of each pool.
  virtual std::vector<scheduler_counts> Counts() const = 0;
};

using scheduler_ptr = std::unique_ptr<scheduler>;

enum class scheduler_kind
{
  // Tiers, minimum shares, order by latest start, and early refusal.
  Tiered,
  // Baseline: one FIFO queue for each pool, round robin over the upstreams.
  Fifo,
  // Baseline: one FIFO queue for each pool, upstream with the fewest
  // outstanding requests.
  LeastOutstanding,
};

// Creates a scheduler by its name: "tiered", "fifo" or "least_outstanding".
// Returns null for any other name.
scheduler_ptr MakeScheduler(std::string_view aName);
scheduler_ptr MakeScheduler(scheduler_kind aKind);

} // namespace sapphirespar::policy
