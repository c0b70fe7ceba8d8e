// Sends a workload to a set of routers, its entries, and records the outcome of
// every request.
#pragma once

#include "sapphirespar/model/outcome.hpp"
#include "sapphirespar/tools/expected_answer.hpp"
#include "sapphirespar/tools/workload.hpp"
#include "sapphirespar/wire/byte_stream.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sapphirespar::tools {

// A stand-in whose faults the workload may set.
struct named_standin
{
  std::string mName;
  wire::endpoint mEndpoint;
};

struct load_targets
{
  // Routers that receive the requests; at least one.
  std::vector<wire::endpoint> mEntries;
  // Upstreams whose counts are fetched after the run.
  std::vector<wire::endpoint> mServices;
  std::vector<wire::endpoint> mEngines;
  // Fault steps for stand-ins that are not in this list are skipped.
  std::vector<named_standin> mStandins;
  // Threads that send requests; at least one.
  unsigned mThreads = 1;
};

// The result of one request, over all its tries, as its caller saw it.
struct call_record
{
  // Index into workload::mClasses.
  std::size_t mClass = 0;
  // The planned time of arrival, from the start of the run.
  std::chrono::microseconds mAt{ 0 };
  // The outcome of the last try: Done for an answer that ended properly, NotRun
  // if no byte of the request was sent, else the outcome in the error response
  // or error event; Unknown if there is none.
  outcome mOutcome = outcome::Unknown;
  // Whether the caller received an answer that ended properly.
  bool mAnswered = false;
  answer_check mCheck = answer_check::Truncated;
  // Time from the start of the first try to the first token, or to a successful
  // response that is not streamed. Zero if neither arrived.
  std::chrono::microseconds mFirstToken{ 0 };
  // Time from the start of the first try to the end of the last one.
  std::chrono::microseconds mTotal{ 0 };
  // Tokens received over all tries, including those of incomplete answers.
  unsigned mTokens = 0;
  unsigned mTries = 0;
  // Whether every try that reached an entry ended with `not_run`.
  bool mOnlyNotRun = true;
  // The error code of the last refusal, or the kind of failure. Empty if the
  // last try succeeded.
  std::string mReason;
  // Identifies the prompt in the audits of engines.
  std::string mMarker;
  // Idempotency keys used, in order.
  std::vector<std::string> mKeys;
};

// The counts that the upstreams themselves report, added up.
struct upstream_audit
{
  // Executions by idempotency key, over all services.
  std::map<std::string, unsigned> mRuns;
  // Received requests by prompt marker, over all engines.
  std::map<std::string, unsigned> mReceived;
  std::uint64_t mTokensGenerated = 0;
  // Upstreams that did not answer the audit.
  unsigned mUnreachable = 0;
};

struct load_outcome
{
  std::vector<call_record> mCalls;
  upstream_audit mAudit;
};

struct load_progress
{
  std::chrono::milliseconds mElapsed{ 0 };
  std::uint64_t mSent = 0;
  std::uint64_t mEnded = 0;
  std::uint64_t mAnswered = 0;
};

// Called about once a second, on the thread that called RunLoad.
using progress_callback = std::function<void(const load_progress&)>;

// Runs a workload. Returns once every request has ended, every fault step has
// been applied, and the upstreams have been audited.
load_outcome RunLoad(const workload& aWorkload,
                     const load_targets& aTargets,
                     const progress_callback& aProgress = {});

} // namespace sapphirespar::tools
