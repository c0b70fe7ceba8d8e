// What must hold, checked while the soak runs from what callers get and from
// what upstreams see.
#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sapphirespar::soak {

enum class request_kind
{
  // Runs at most once.
  Once,
  // May run again.
  Safe,
  // A stream that runs at most once.
  Stream,
  // A stream that may go on elsewhere.
  Resumable,
};

struct request_record
{
  request_kind mKind = request_kind::Safe;
  std::string mKey;
  std::chrono::steady_clock::time_point mSent{};
  unsigned mRuns = 0;
  // The caller was told that it has not run and never will.
  bool mPromisedNotRun = false;
};

struct soak_totals
{
  unsigned mRequests = 0;
  unsigned mServed = 0;
  unsigned mRefused = 0;
  unsigned mLost = 0;
  unsigned mFaults = 0;
};

class judge
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  void Sent(const std::string& aId, request_kind aKind, std::string aKey);

  // An upstream begins to run a request; aAccount is whose it says it is.
  void Runs(const std::string& aId, const std::string& aAccount);

  // The caller has got an answer; status 0 for none.
  void Answered(const std::string& aId,
                unsigned aStatus,
                const std::string& aBody);

  // The store has acknowledged that the key is gone.
  void Revoked(const std::string& aKey);

  // The body of the whole answer to a request.
  static std::string BodyOf(const std::string& aId, request_kind aKind);

  const std::vector<std::string>& Broken() const { return mBroken; }
  soak_totals& Totals() { return mTotals; }

private:
  void Break(const std::string& aRule, const std::string& aId);

  std::map<std::string, request_record> mRequests;
  std::map<std::string, time_point> mRevoked;
  std::vector<std::string> mBroken;
  soak_totals mTotals;
};

// Events in one stream.
inline constexpr int kStreamEvents = 6;

std::string EventOf(const std::string& aId, int aNumber);

} // namespace sapphirespar::soak
