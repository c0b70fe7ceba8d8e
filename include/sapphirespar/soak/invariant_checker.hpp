// Checks the guarantees given to callers while a soak runs, from the requests
// and responses that callers and upstreams observe.
#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sapphirespar::soak {

enum class request_kind
{
  // Runs at most once.
  AtMostOnce,
  // May run more than once.
  Idempotent,
  // A stream that runs at most once.
  Stream,
  // A stream that another upstream may continue.
  ResumableStream,
};

struct request_record
{
  request_kind mKind = request_kind::Idempotent;
  // API key that the caller sent, and the gateway that it sent it to.
  std::string mKey;
  unsigned mGateway = 0;
  std::chrono::steady_clock::time_point mSentAt{};
  // How often an upstream began to run the request.
  unsigned mRuns = 0;
  // The response said that the request has not run and never will.
  bool mReportedNotRun = false;
};

// Requests by outcome, and the number of injected faults.
struct soak_totals
{
  unsigned mRequests = 0;
  // Status 200.
  unsigned mServed = 0;
  // Status 408, 421, 429 or 503. For an at-most-once request this reports that
  // it did not run.
  unsigned mRefused = 0;
  // Any other status, or no response.
  unsigned mLost = 0;
  // Streams that callers took up again, and those of them that went on.
  unsigned mTakenUp = 0;
  unsigned mWentOn = 0;
  // Runs that went on at another upstream.
  unsigned mMoved = 0;
  unsigned mFaults = 0;
};

class invariant_checker
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  // Must precede the other records of a request.
  void RecordSent(const std::string& aId,
                  request_kind aKind,
                  std::string aKey,
                  unsigned aGateway);

  // Records that a request reaches an upstream, whether it runs there or not.
  void RecordArrival(const std::string& aId, unsigned aUpstream);

  // Records that a gateway has passed on an answer by which the upstream is
  // shutting down.
  void RecordLeaving(unsigned aUpstream, unsigned aGateway);

  // Records that the upstream answers a request with 503 and wants no other
  // from its gateway for this long.
  void RecordTurnedAway(const std::string& aId,
                        unsigned aUpstream,
                        std::chrono::milliseconds aFor);

  // Records that the upstream answers a request with the rate that it accepts
  // from all gateways together, in requests per second.
  void RecordNamedRate(const std::string& aId,
                       unsigned aUpstream,
                       double aRate);

  // Records that an upstream names no rate any more.
  void EndNamedRate(unsigned aUpstream);

  // Drops what an upstream has said to the gateways, after it was replaced.
  void ForgetUpstream(unsigned aUpstream);

  // Excuses an upstream whose link is disturbed, or a gateway that is paused or
  // restarted, from the rules on leaving and refusing upstreams. Each call of
  // Begin needs one of End.
  void BeginUpstreamExcuse(unsigned aUpstream);
  void EndUpstreamExcuse(unsigned aUpstream);
  void BeginGatewayExcuse(unsigned aGateway);
  void EndGatewayExcuse(unsigned aGateway);

  // Records that an upstream begins to run a request; aAccount is the client
  // account in the forwarded request.
  void RecordRun(const std::string& aId, const std::string& aAccount);

  // Records the response that the caller received; status 0 means no response.
  void RecordResponse(const std::string& aId,
                      unsigned aStatus,
                      const std::string& aBody);

  // Records the status of a request for a resumable stream, 0 if the answer is
  // incomplete; see RecordStream for its body.
  void RecordPart(const std::string& aId, unsigned aStatus);

  // Returns the key of a request that was sent.
  std::string KeyOf(const std::string& aId) const;

  // Records what the caller holds of the resumable stream of a request, in one
  // answer or over several tries, with the lines of WithSoftware; aComplete if
  // the last answer has ended like a complete one.
  void RecordStream(const std::string& aId,
                    const std::string& aHeld,
                    bool aComplete);

  // Returns the events without the lines of WithSoftware, and the versions.
  static std::pair<std::string, std::set<std::string>> WithoutSoftware(
    const std::string& aEvents);

  // Records that the store has acknowledged the removal of a key.
  void RecordKeyRevoked(const std::string& aKey);

  // Returns the body of a complete response to a request.
  static std::string ExpectedBody(const std::string& aId, request_kind aKind);

  // Adds a violated guarantee; aId names a request or a gateway.
  void AddViolation(const std::string& aRule, const std::string& aId);

  // One line for each violated guarantee, with the request's id.
  const std::vector<std::string>& Violations() const { return mViolations; }
  soak_totals& Totals() { return mTotals; }

private:
  // Numbers of an upstream and of a gateway.
  using upstream_gateway = std::pair<unsigned, unsigned>;

  // The time from shortly after a refusal to the end that it named.
  struct turned_away
  {
    time_point mFrom;
    time_point mUntil;
    unsigned mArrivals = 0;
  };

  // What an upstream that names a rate has got.
  struct named_rate
  {
    double mRate = 0;
    // When each gateway was first told.
    std::map<unsigned, time_point> mTold;
    // Requests from gateways that had been told, with their gateways.
    std::vector<std::pair<time_point, unsigned>> mArrivals;
  };

  // Counts the status and checks what it promises.
  void CountStatus(request_record& aRequest,
                   const std::string& aId,
                   unsigned aStatus);
  void CheckNamedRate(const std::string& aId, const upstream_gateway& aLink);
  void ForgetGateway(unsigned aGateway);
  bool IsExcused(const upstream_gateway& aLink) const;

  std::map<std::string, request_record> mRequests;
  // When the gateway first passed the upstream's leaving on.
  std::map<upstream_gateway, time_point> mLeaving;
  std::map<upstream_gateway, turned_away> mTurnedAway;
  // By upstream.
  std::map<unsigned, named_rate> mNamedRates;
  // Numbers of excuses in force.
  std::map<unsigned, unsigned> mUpstreamExcuses;
  std::map<unsigned, unsigned> mGatewayExcuses;
  // Removed keys with the time at which the removal was acknowledged.
  std::map<std::string, time_point> mRevoked;
  std::vector<std::string> mViolations;
  soak_totals mTotals;
};

// Number of events in a stream.
inline constexpr int kStreamEvents = 6;

// Returns the event with number aNumber, from 1, of the stream for a request.
std::string ExpectedEvent(const std::string& aId, int aNumber);

// Adds a line to an event that names the software version of its upstream.
std::string WithSoftware(const std::string& aEvent,
                         const std::string& aSoftware);

} // namespace sapphirespar::soak
