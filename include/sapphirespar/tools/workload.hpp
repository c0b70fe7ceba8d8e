// A workload as a person writes it in TOML: classes of requests with their
// rates, bursts, and faults that are switched on the way.
#pragma once

#include "sapphirespar/base/failure.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar::tools {

// Where the idempotency key of a call comes from.
enum class key_source
{
  None,
  // The caller makes one up and keeps it over retries.
  CallerGenerated,
  // The caller asks an entry for a token, and for another one after `not_run`.
  Token,
};

struct class_load
{
  // Sent as X-Class.
  std::string mClass;
  upstream_kind mKind = upstream_kind::Engine;
  // Of an engine class.
  std::string mModel;
  unsigned mPromptWords = 30;
  unsigned mMaximumTokens = 256;
  bool mStream = true;
  // Of a service class.
  std::string mService;
  std::string mPath;
  // Bearer key of the client account.
  std::string mBearer;
  double mRatePerSecond = 1;
  key_source mKey = key_source::None;
  std::chrono::milliseconds mFirstTokenTarget{ 1000 };
  std::chrono::milliseconds mAnswerTarget{ 30000 };
  // Further tries at other entries after `not_run`.
  unsigned mRetries = 0;
  // Whether a try that ended in `unknown` is asked after with the same key.
  bool mRetriesUnknown = false;
};

// Multiplies a class's rate for a while.
struct load_burst
{
  std::string mClass;
  std::chrono::milliseconds mFrom{ 0 };
  std::chrono::milliseconds mUntil{ 0 };
  double mFactor = 1;
};

// Sets faults of one stand-in, which the command line names.
struct fault_step
{
  std::chrono::milliseconds mAt{ 0 };
  std::string mStandin;
  // JSON for PUT /faults.
  std::string mFaults;
};

struct workload
{
  std::string mName;
  std::uint64_t mSeed = 1;
  std::chrono::milliseconds mDuration{ 10000 };
  // How long a caller waits for the next byte.
  std::chrono::milliseconds mCallerTimeout{ 30000 };
  // Callers, each of which keeps to one entry while it works.
  unsigned mCallers = 20;
  std::vector<class_load> mClasses;
  std::vector<load_burst> mBursts;
  std::vector<fault_step> mFaults;
};

// Reads and checks a workload; aFile is only named in failures.
result<workload> ParseWorkload(std::string_view aText, std::string_view aFile);
result<workload> LoadWorkload(const std::string& aPath);

// One request to be sent, whatever became of earlier ones.
struct arrival
{
  // From the start of the run.
  std::chrono::microseconds mAt{ 0 };
  // Index into workload::mClasses.
  std::size_t mClass = 0;
  // Unique within the run.
  std::uint64_t mNumber = 0;
};

// The Poisson arrivals of a workload in order of time; the same for the same
// seed.
std::vector<arrival> Arrivals(const workload& aWorkload);

// The prompt of one arrival, which no other arrival has.
std::string PromptFor(const workload& aWorkload, const arrival& aArrival);

} // namespace sapphirespar::tools
