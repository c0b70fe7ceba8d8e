// Stand-ins of servers and clients: plain services that run requests, and
// clients that send them and keep what they were answered.
#pragma once

#include "fleet.hpp"

#include <set>

namespace review {

// What a server saw of one request.
struct arrival
{
  std::string mId;
  std::string mServer;
  steady_time mAt;
  // Whether the server began to work on it, and whether it finished.
  bool mRan = false;
  bool mAnswered = false;
};

// What a client got for one request.
struct outcome
{
  std::string mId;
  std::string mKind;
  std::string mGateway;
  steady_time mSent;
  steady_time mEnded;
  // Of the final answer; 0 without a complete one.
  int mStatus = 0;
  // Of the latest answer that isn't final; 0 without one.
  int mInterim = 0;
  std::string mBody;
};

// All that servers and clients have seen.
class ledger
{
public:
  std::size_t Add(arrival aArrival);
  void MarkRan(std::size_t aNumber);
  void MarkAnswered(std::size_t aNumber);
  void Add(outcome aOutcome);
  std::vector<arrival> Arrivals() const;
  std::vector<outcome> Outcomes() const;

private:
  mutable std::mutex mMutex;
  std::vector<arrival> mArrivals;
  std::vector<outcome> mOutcomes;
};

// A server of a plain service, which works on each request for a while.
class app_server
{
public:
  // Sends the answer to a request; the default sends it and nothing else.
  // Returns false if the connection shall end.
  using answer_hook = std::function<
    bool(connection& aPeer, const http_message& aRequest, std::string aAnswer)>;

  app_server(std::string aId,
             const std::string& aHost,
             ledger& aLedger,
             milliseconds aWork,
             answer_hook aAnswer = nullptr);

  const std::string& Id() const { return mId; }
  address Where() const { return mListener->Where(); }
  // The process ends: open connections end with it.
  void Exit() { mListener->Close(); }

private:
  void Serve(connection& aPeer);

  std::string mId;
  ledger& mLedger;
  milliseconds mWork;
  answer_hook mAnswer;
  std::unique_ptr<listener> mListener;
};

// Of all services.
inline constexpr std::string_view kHealthPath = "/healthz";
http_message HealthAnswer(const std::string& aId);

struct route_entry
{
  std::string mName;
  std::string mKind;
  std::string mService;
  int mTimeoutMs = 1000;
  int mMaximumAttempts = 1;
  bool mResume = false;
  int mTargetMs = 100;
  // Whether the service runs model servers.
  bool mEngine = false;
};

// The value of config/main, with one tenant, whose key is kKey.
inline constexpr std::string_view kHost = "ficu95.example";
inline constexpr std::string_view kKey = "n2ctnfzs989anu6wsjnb";
std::string ConfigSpec(int aVersion, const std::vector<route_entry>& aRoutes);

// The head and body of a request to the path of a route.
http_message MakeRequest(const std::string& aMethod,
                         const std::string& aRoute,
                         const std::string& aId,
                         int aDeadlineMs,
                         std::string aBody);

// Clients that each send one request after the other on a kept connection to a
// gateway, until they are stopped.
class clients
{
public:
  struct plan
  {
    std::string mMethod = "POST";
    std::string mRoute;
    std::string mKind;
    int mDeadlineMs = 1000;
    milliseconds mPause{ 100 };
    // Whether requests name a model, tokens and the parts of a prompt.
    bool mPrompt = false;
  };

  clients(const fleet& aFleet, ledger& aLedger)
    : mFleet(aFleet)
    , mLedger(aLedger)
  {
  }
  ~clients() { Stop(); }
  clients(const clients&) = delete;
  clients& operator=(const clients&) = delete;

  void Start(const plan& aPlan, std::size_t aGateway, std::string aPrefix);
  void Stop();

private:
  void Run(plan aPlan,
           address aGateway,
           std::string aName,
           std::string aPrefix);

  const fleet& mFleet;
  ledger& mLedger;
  std::atomic<bool> mStopped{ false };
  std::vector<std::thread> mThreads;
};

// Writes all that was sent, answered and run.
void WriteAll(record& aRecord, const ledger& aLedger);

} // namespace review
