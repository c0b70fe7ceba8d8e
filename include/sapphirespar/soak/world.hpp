// The processes and connections of one soak: gateways as real processes, the
// platform's store and the upstreams here, a fault proxy on each path between.
#pragma once

#include "sapphirespar/soak/fault_proxy.hpp"
#include "sapphirespar/soak/judge.hpp"

#include "sapphirespar/tools/standin_platform.hpp"
#include "sapphirespar/wire/http_client.hpp"
#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <sys/types.h>

#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sapphirespar::soak {

struct soak_options
{
  std::uint64_t mSeed = 1;
  unsigned mGateways = 3;
  unsigned mUpstreams = 4;
  unsigned mCallers = 12;
  std::chrono::seconds mLength{ 8 };
  std::string mGatewayProgram;
};

// One gateway and its path to the store.
struct gateway_process
{
  std::string mName;
  std::string mAddress;
  std::filesystem::path mSettings;
  std::filesystem::path mLog;
  std::unique_ptr<fault_proxy> mStorePath;
  // Zero while it does not run.
  pid_t mPid = 0;
  bool mStopped = false;
};

struct soak_upstream
{
  std::unique_ptr<wire::http_server> mServer;
  std::unique_ptr<fault_proxy> mPath;
};

class world
{
public:
  explicit world(soak_options aOptions);
  ~world();
  world(const world&) = delete;
  world& operator=(const world&) = delete;

  // Plays faults and callers; returns when the time is over.
  void Run();

  judge& Judge() { return mJudge; }
  const std::filesystem::path& Directory() const { return mDirectory; }

private:
  using milliseconds = std::chrono::milliseconds;

  asio::awaitable<void> Play();
  asio::awaitable<void> PlayFaults();
  asio::awaitable<void> PlayCaller(unsigned aNumber);
  asio::awaitable<void> Ask(wire::http_client& aClient, std::string aId);
  asio::awaitable<void> OneFault();
  asio::awaitable<void> Upstream(const wire::http_request& aRequest,
                                 wire::http_reply& aReply);

  asio::awaitable<void> WriteRouting(unsigned aVersion);
  asio::awaitable<void> WriteUpstreams();
  asio::awaitable<wire::http_response> CallStore(std::string aMethod,
                                                 std::string aTarget,
                                                 std::string aBody);

  void MakeGateway(unsigned aNumber);
  void StartGateway(gateway_process& aGateway);
  void Signal(gateway_process& aGateway, int aSignal);
  asio::awaitable<void> StopAndRestart(gateway_process& aGateway, int aSignal);
  asio::awaitable<void> Pause(gateway_process& aGateway);
  void Reap(gateway_process& aGateway);

  unsigned Draw(unsigned aBelow);
  bool Over() const;

  soak_options mOptions;
  std::mt19937_64 mRandom;
  std::filesystem::path mDirectory;
  asio::io_context mContext{ 1 };
  judge mJudge;
  tools::standin_platform mStore;
  wire::http_client mStoreClient;
  std::vector<soak_upstream> mUpstreams;
  std::vector<std::unique_ptr<gateway_process>> mGateways;
  // Keys that the routing holds; callers go on using the others.
  std::vector<std::string> mKeys;
  // Revision of the routing's object; zero before it exists.
  std::uint64_t mRoutingRevision = 0;
  std::chrono::steady_clock::time_point mEnd{};
};

} // namespace sapphirespar::soak
