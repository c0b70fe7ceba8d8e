// A workload, read from a TOML file: classes of requests with their rates,
// bursts, and faults that are set during the run.
#pragma once

#include "sapphirespar/base/failure.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar::tools {

// The source of a call's idempotency key.
enum class key_source
{
  None,
  // The caller generates a random key and keeps it over retries.
  CallerGenerated,
  // The caller requests a token from an entry, and a new one after `not_run`.
  Token,
};

// The requests of one class.
struct class_load
{
  // Sent as X-Class.
  std::string mClass;
  upstream_kind mKind = upstream_kind::Engine;
  // The next four members apply to engine classes only.
  std::string mModel;
  unsigned mPromptWords = 30;
  unsigned mMaximumTokens = 256;
  bool mStream = true;
  // The next two members apply to service classes only.
  std::string mService;
  std::string mPath;
  // API key of the client account, sent as bearer token.
  std::string mBearer;
  // Average rate of requests outside bursts.
  double mRatePerSecond = 1;
  key_source mKey = key_source::None;
  // An answer counts as in time if it meets both targets.
  std::chrono::milliseconds mFirstTokenTarget{ 1000 };
  std::chrono::milliseconds mAnswerTarget{ 30000 };
  // Maximum number of further tries, each at the next entry.
  unsigned mRetries = 0;
  // Whether a try whose outcome is `unknown` is retried with the same key.
  bool mRetriesUnknown = false;
};

// Multiplies a class's rate by mFactor from mFrom until mUntil, both measured
// from the start of the run.
struct load_burst
{
  std::string mClass;
  std::chrono::milliseconds mFrom{ 0 };
  std::chrono::milliseconds mUntil{ 0 };
  double mFactor = 1;
};

// Sets faults of one stand-in. The command line maps its name to an address.
struct fault_step
{
  // From the start of the run.
  std::chrono::milliseconds mAt{ 0 };
  std::string mStandin;
  // JSON body for PUT /faults.
  std::string mFaults;
};

struct workload
{
  std::string mName;
  std::uint64_t mSeed = 1;
  std::chrono::milliseconds mDuration{ 10000 };
  // How long a caller waits for a response that is not streamed, and for each
  // read of a stream.
  std::chrono::milliseconds mCallerTimeout{ 30000 };
  // Simulated callers. The first try of each of a caller's requests goes to the
  // same entry.
  unsigned mCallers = 20;
  std::vector<class_load> mClasses;
  std::vector<load_burst> mBursts;
  std::vector<fault_step> mFaults;
};

// Parses and validates a workload. Fails with config_failure, which contains
// aFile, the line and the key.
result<workload> ParseWorkload(std::string_view aText, std::string_view aFile);
result<workload> LoadWorkload(const std::string& aPath);

// One request and the time at which it is sent. The load is open-loop: the time
// does not depend on earlier requests.
struct arrival
{
  // From the start of the run.
  std::chrono::microseconds mAt{ 0 };
  // Index into workload::mClasses.
  std::size_t mClass = 0;
  // Unique within the run.
  std::uint64_t mNumber = 0;
};

// Returns the Poisson arrivals of a workload in order of time. The same seed
// gives the same arrivals.
std::vector<arrival> Arrivals(const workload& aWorkload);

// Returns the prompt of one arrival, which is unique within the run.
std::string PromptFor(const workload& aWorkload, const arrival& aArrival);

} // namespace sapphirespar::tools
