// The queue in front of a set of upstreams. Events go in with the time they
// happened, decisions come out; there is no I/O and no clock here.
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
  // Hash of the prompt's beginning; zero when unknown.
  std::uint64_t mPrefixHash = 0;
  steady_time mArrival{};
  steady_time mFirstTokenBy{};
  steady_time mAnswerBy{};
  // Set by the scheduler: the class may not run twice, so that a request is
  // lost with its upstream.
  bool mRunsOnce = false;
  // Upstreams that have failed this request already.
  std::vector<upstream_id> mExcluded;
};

// An upstream as the scheduler's owner describes it.
struct upstream_view
{
  upstream_id mId;
  // The pools it serves now.
  std::vector<std::string> mPools;
  unsigned mSlots = 0;
  upstream_state mState = upstream_state::Healthy;
  double mRelativeSpeed = 1.0;
  // Work that others have put on it, aged by the owner.
  unsigned mExternalLoad = 0;
  // Prefixes believed cached, newest first.
  std::vector<std::uint64_t> mCachedPrefixes;
  // Whether its owner can pause and resume a running request there.
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

// What is to be done, in this order.
struct decisions
{
  std::vector<rejection> mRejections;
  std::vector<pause_order> mPauses;
  std::vector<assignment> mAssignments;
};

// How a request that had a slot ended.
struct completion
{
  request_id mRequest;
  bool mSucceeded = false;
  unsigned mTokens = 0;
  steady_duration mFirstToken{};
  steady_duration mTotal{};
};

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

  // Replaces the upstreams. Requests that hold a slot of one that is no longer
  // named keep it until they finish.
  virtual decisions SetUpstreams(std::span<const upstream_view> aUpstreams,
                                 steady_time aNow) = 0;

  virtual decisions Submit(queued_request aRequest, steady_time aNow) = 0;

  // Takes over a request that already runs at aUpstream.
  virtual void Adopt(queued_request aRequest,
                     const upstream_id& aUpstream,
                     steady_time aNow) = 0;

  // The request has left its upstream.
  virtual decisions Finish(const completion& aCompletion, steady_time aNow) = 0;

  // The caller has gone while the request was still waiting.
  virtual decisions Withdraw(const request_id& aRequest, steady_time aNow) = 0;

  // Time has passed: refuses what can no longer be in time.
  virtual decisions Tick(steady_time aNow) = 0;

  virtual std::vector<scheduler_counts> Counts() const = 0;
};

using scheduler_ptr = std::unique_ptr<scheduler>;

enum class scheduler_kind
{
  // Tiers, shares, laxity and early refusal.
  Tiered,
  // Baseline: one queue in order of arrival, upstreams in turn.
  Fifo,
  // Baseline: one queue in order of arrival, upstream with least outstanding.
  LeastOutstanding,
};

// Returns null for an unknown name; knows "tiered", "fifo" and
// "least_outstanding".
scheduler_ptr MakeScheduler(std::string_view aName);
scheduler_ptr MakeScheduler(scheduler_kind aKind);

} // namespace sapphirespar::policy
