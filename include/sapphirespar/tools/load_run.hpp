// Sends a workload to a set of entries and records what became of every
// request.
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

// A stand-in whose faults the workload may switch.
struct named_standin
{
  std::string mName;
  wire::endpoint mPlace;
};

struct load_targets
{
  std::vector<wire::endpoint> mEntries;
  // Audited after the run.
  std::vector<wire::endpoint> mServices;
  std::vector<wire::endpoint> mEngines;
  std::vector<named_standin> mStandins;
  unsigned mThreads = 1;
};

// How one request ended, as its caller saw it.
struct call_record
{
  // Index into workload::mClasses.
  std::size_t mClass = 0;
  std::chrono::microseconds mAt{ 0 };
  // What the caller was told or, for a whole answer, Done.
  outcome mOutcome = outcome::Unknown;
  // Whether the caller holds an answer that ended properly.
  bool mAnswered = false;
  answer_verdict mVerdict = answer_verdict::Cut;
  std::chrono::microseconds mFirstByte{ 0 };
  std::chrono::microseconds mTotal{ 0 };
  // Received, whatever became of the answer.
  unsigned mTokens = 0;
  unsigned mTries = 0;
  // Whether every try that reached an entry was told `not_run`.
  bool mOnlyNotRun = true;
  // The code of the last refusal, or what broke.
  std::string mReason;
  // Marks the prompt at engines.
  std::string mMarker;
  // Idempotency keys used, in order.
  std::vector<std::string> mKeys;
};

// What the upstreams themselves counted.
struct upstream_audit
{
  // Runs by idempotency key, over all services.
  std::map<std::string, unsigned> mRuns;
  // Starts by prompt marker, over all engines.
  std::map<std::string, unsigned> mStarts;
  std::uint64_t mTokensGenerated = 0;
  // Upstreams that could not be asked.
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

// Called about once a second, on the calling thread.
using progress_hook = std::function<void(const load_progress&)>;

// Runs until every request has ended and the upstreams have been audited.
load_outcome RunLoad(const workload& aWorkload,
                     const load_targets& aTargets,
                     const progress_hook& aProgress = {});

} // namespace sapphirespar::tools
