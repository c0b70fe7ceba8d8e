// Runs one soak: gateways are separate processes, and the platform's store and
// the upstreams run in this process. Gateways reach each of them through a
// fault proxy.
#pragma once

#include "sapphirespar/soak/duty_platform.hpp"
#include "sapphirespar/soak/fault_proxy.hpp"
#include "sapphirespar/soak/invariant_checker.hpp"

#include "sapphirespar/tools/standin_platform.hpp"
#include "sapphirespar/wire/http_client.hpp"
#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <sys/types.h>

#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace sapphirespar::soak {

struct soak_options
{
  std::uint64_t mSeed = 1;
  unsigned mGateways = 3;
  unsigned mUpstreams = 4;
  unsigned mCallers = 12;
  std::chrono::seconds mDuration{ 8 };
  // Path of the sapphirespar-gateway executable.
  std::string mGatewayProgram;
  // The same of another build, which every second gateway runs; empty if all
  // run the first one.
  std::string mOtherProgram;
  // Keep the gateways' logs even if nothing was broken.
  bool mKeepLogs = false;
};

// A gateway process and the proxy between it and the store.
struct gateway_process
{
  std::string mName;
  std::string mProgram;
  std::string mAddress;
  std::filesystem::path mSettings;
  std::filesystem::path mLog;
  std::unique_ptr<fault_proxy> mStorePath;
  // Zero while the process does not run.
  pid_t mPid = 0;
  // The process is being restarted or is paused.
  bool mFaultActive = false;
};

// What an upstream says in its answers.
enum class upstream_state
{
  Ready,
  // Says in every answer that it is shutting down.
  Leaving,
  // Answers 503 with Retry-After.
  TurnsAway,
  // Answers 503 without it.
  Refuses,
  // Sends an answer that doesn't end, as fast as it is read.
  EndlessBytes,
  // The same in small pieces with pauses.
  TrickledBytes,
  // Says nothing for a second in the middle of an answer, and goes on.
  Silent,
  // Closes the connection instead of answering, and runs nothing.
  Closes,
  // Names in every answer the rate that it accepts.
  NamesRate,
  // Closes the connection in the middle of each stream.
  BreaksOff,
  // Fails every second request, in the form of the route's answers.
  Fails,
  // Is about to be taken away, streams slowly and moves its runs.
  Reclaimed,
};

// A stream that an upstream sends: the request's id and the upstream's number.
using soak_run = std::pair<std::string, unsigned>;

// The copy of a run at another upstream.
struct soak_copy
{
  unsigned mUpstream = 0;
  // The run has stopped, and may go on from here.
  bool mStopped = false;
};

// An upstream's server and the proxy between the gateways and the server.
struct soak_upstream
{
  std::unique_ptr<wire::http_server> mServer;
  std::unique_ptr<fault_proxy> mPath;
  upstream_state mState = upstream_state::Ready;
  // Changes with each incarnation.
  unsigned mBorn = 1;
  // How long it wants no requests while it turns them away.
  std::chrono::milliseconds mRetryAfter{ 0 };
  // What it accepts while it names a rate, in requests per second.
  unsigned mRate = 0;
  // Requests that reached it while it fails some of them.
  unsigned mCount = 0;
  // When it is taken away; only while it is reclaimed.
  std::chrono::steady_clock::time_point mTakenAt{};
};

class soak_harness
{
public:
  // Throws std::runtime_error if no temporary directory can be created.
  explicit soak_harness(soak_options aOptions);
  ~soak_harness();
  soak_harness(const soak_harness&) = delete;
  soak_harness& operator=(const soak_harness&) = delete;

  // Runs callers and injects faults for the configured duration. Throws
  // std::runtime_error if a gateway can't be started.
  void Run();

  invariant_checker& Checker() { return mChecker; }
  const duty_platform& Duties() const { return mDuties; }
  const std::filesystem::path& Directory() const { return mDirectory; }

private:
  using milliseconds = std::chrono::milliseconds;

  asio::awaitable<void> RunSoak();
  asio::awaitable<void> InjectFaults();
  asio::awaitable<void> RunCaller(unsigned aNumber);
  asio::awaitable<void> SendRequest(wire::http_client& aClient,
                                    std::string aId);
  // Sends the request for a resumable stream, and takes the stream up at other
  // gateways while it is incomplete.
  asio::awaitable<void> ReadStream(wire::http_client& aClient,
                                   wire::http_request aRequest,
                                   unsigned aGateway);
  // Adds the events of one answer to aHeld. Returns its status; 0 if it is
  // incomplete.
  asio::awaitable<unsigned> ReadPart(wire::http_client& aClient,
                                     wire::http_request aRequest,
                                     unsigned aGateway,
                                     std::string& aHeld);
  asio::awaitable<void> InjectFault();
  asio::awaitable<void> HandleUpstreamRequest(
    unsigned aNumber,
    const wire::http_request& aRequest,
    wire::http_reply& aReply);
  asio::awaitable<void> RunUpstreamRequest(wire::http_headers aHeaders,
                                           const wire::http_request& aRequest,
                                           wire::http_reply& aReply,
                                           upstream_state aState,
                                           unsigned aNumber);

  // Calls that are not requests of callers, at an upstream.
  static bool IsEngineCall(const wire::http_request& aRequest);
  asio::awaitable<void> HandleEngineCall(unsigned aNumber,
                                         const wire::http_request& aRequest,
                                         wire::http_reply& aReply);
  asio::awaitable<void> MoveRun(unsigned aNumber,
                                const wire::http_request& aRequest,
                                wire::http_reply& aReply);
  // Returns whether the request may go on from the copy that it names. Checks
  // that no other upstream works on the run.
  bool TakeCopy(unsigned aNumber,
                const wire::http_request& aRequest,
                const std::string& aId);
  // Takes an upstream away after a notice. A new incarnation follows.
  asio::awaitable<void> TakeAway(unsigned aNumber);

  // Half of the upstreams run another software version than the others.
  static std::string SoftwareOf(unsigned aNumber);

  // Puts the routing with mKeys and mRoutingVersion into the store. Returns
  // whether the store has acknowledged it.
  asio::awaitable<bool> WriteRouting();
  asio::awaitable<void> WriteUpstream(unsigned aNumber);
  asio::awaitable<void> WriteUpstreams();
  // Returns the revision of an object; zero if it can't be read.
  asio::awaitable<std::uint64_t> RevisionOf(std::string aTarget);
  // Takes a copy of the store, brings it back later, and writes again what the
  // operator and the upstreams had written.
  asio::awaitable<void> RestoreStore();
  asio::awaitable<void> DisturbStore();
  asio::awaitable<void> SilenceDuties();
  // Makes an upstream say something in its answers for some time. One that
  // leaves is replaced by a new incarnation afterwards.
  asio::awaitable<void> ChangeUpstream(unsigned aNumber, upstream_state aState);
  asio::awaitable<wire::http_response> CallStore(std::string aMethod,
                                                 std::string aTarget,
                                                 std::string aBody);

  void MakeGateway(unsigned aNumber);
  void StartGateway(gateway_process& aGateway);
  void Signal(gateway_process& aGateway, int aSignal);
  asio::awaitable<void> StopAndRestart(gateway_process& aGateway, int aSignal);
  // The same, with the gateway excused meanwhile.
  asio::awaitable<void> Restart(unsigned aGateway, int aSignal);
  // Kills all gateways at the same moment.
  void KillAll();
  asio::awaitable<void> Pause(gateway_process& aGateway);
  void Reap(gateway_process& aGateway);

  unsigned Draw(unsigned aBelow);
  bool IsOver() const;

  soak_options mOptions;
  std::mt19937_64 mRandom;
  std::filesystem::path mDirectory;
  asio::io_context mContext{ 1 };
  invariant_checker mChecker;
  tools::standin_platform mStore;
  duty_platform mDuties;
  wire::http_client mStoreClient;
  std::vector<soak_upstream> mUpstreams;
  // Whether each stream in progress is to end without its end.
  std::map<soak_run, bool> mRuns;
  // By their handles.
  std::map<std::string, soak_copy> mCopies;
  std::vector<std::unique_ptr<gateway_process>> mGateways;
  // Keys in the routing table; callers also go on using the removed ones.
  std::vector<std::string> mKeys;
  unsigned mRoutingVersion = 1;
  // The store is being restored, which no other fault of it may delay.
  bool mRestoring = false;
  // Time at which callers stop and the last fault is injected.
  std::chrono::steady_clock::time_point mEnd{};
};

} // namespace sapphirespar::soak
