// Gateway processes and the run of a soak.
#include "sapphirespar/soak/soak_harness.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <stdexcept>

namespace sapphirespar::soak {
namespace {

using asio::ip::tcp;

// All gateways use the same ports, each on a loopback address of its own.
constexpr unsigned kCallerPort = 18080;
constexpr unsigned kReadinessPort = 18081;
constexpr unsigned kEntryPort = 18082;
constexpr unsigned kAdminPort = 18083;
constexpr unsigned kMetricsPort = 18084;
constexpr unsigned kGossipPort = 18085;

tcp::endpoint
Loopback(std::uint16_t aPort)
{
  return { asio::ip::make_address("127.0.0.1"), aPort };
}

std::string
MakeSettings(const gateway_process& aGateway, std::uint16_t aDutyPort)
{
  // An earlier build may not know duties.
  const auto duties =
    aDutyPort == 0
      ? std::string()
      : "[duties]\naddress = \"127.0.0.1:" + std::to_string(aDutyPort) +
          "\"\nassigned = [\"metering\"]\nlease_ms = 600\n"
          "report_window_s = 0.5\nreport_delay_s = 2\n";
  const auto listenAddress = [&](unsigned aPort) {
    return "\"" + aGateway.mAddress + ":" + std::to_string(aPort) + "\"\n";
  };
  return "[node]\nvm = \"" + aGateway.mName + "\"\ndata_centre = \"here\"\n" +
         "[listen]\ncallers = " + listenAddress(kCallerPort) +
         "readiness = " + listenAddress(kReadinessPort) +
         "entry = " + listenAddress(kEntryPort) +
         "admin = " + listenAddress(kAdminPort) + "address = \"" +
         aGateway.mAddress +
         "\"\ngossip_port = " + std::to_string(kGossipPort) +
         "\nmetrics_port = " + std::to_string(kMetricsPort) +
         "\n[platform]\naddress = \"127.0.0.1:" +
         std::to_string(aGateway.mStorePath->Port()) +
         "\"\n[bounds]\nretry_slack = 100\n" + duties;
}

} // namespace

soak_harness::soak_harness(soak_options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mStore(mContext, tools::platform_settings{})
  , mDuties(mContext,
            [this](const std::string& aRule, const std::string& aHolder) {
              mChecker.AddViolation(aRule, aHolder);
            })
  , mStoreClient(mContext.get_executor(), wire::http_client_settings{})
{
  std::string name =
    (std::filesystem::temp_directory_path() / "soak_XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  mDirectory = name;
  mKeys = { "k0", "k1", "k2" };
  const std::array workers{ &mContext };
  for (unsigned number = 0; number < mOptions.mUpstreams; ++number) {
    soak_upstream upstream;
    upstream.mServer = std::make_unique<wire::http_server>(
      mContext,
      workers,
      wire::http_server_settings{},
      [this, number](const wire::http_request& aRequest,
                     wire::http_reply& aReply) {
        return HandleUpstreamRequest(number, aRequest, aReply);
      });
    upstream.mPath = std::make_unique<fault_proxy>(
      mContext, Loopback(upstream.mServer->Port()));
    mUpstreams.push_back(std::move(upstream));
  }
  for (unsigned number = 0; number < mOptions.mGateways; ++number) {
    MakeGateway(number);
  }
}

soak_harness::~soak_harness()
{
  for (const auto& gateway : mGateways) {
    if (gateway->mPid != 0) {
      ::kill(gateway->mPid, SIGKILL);
      Reap(*gateway);
    }
  }
}

void
soak_harness::MakeGateway(unsigned aNumber)
{
  auto gateway = std::make_unique<gateway_process>();
  gateway->mName = "gateway-" + std::to_string(aNumber);
  const bool other = aNumber % 2 == 1 && !mOptions.mOtherProgram.empty();
  gateway->mProgram = other ? mOptions.mOtherProgram : mOptions.mGatewayProgram;
  // The subnet depends on the process id, so that soaks can run concurrently.
  const auto subnet = 1 + static_cast<unsigned>(::getpid()) % 250;
  gateway->mAddress =
    "127.1." + std::to_string(subnet) + "." + std::to_string(10 + aNumber);
  gateway->mSettings = mDirectory / (gateway->mName + ".toml");
  gateway->mLog = mDirectory / (gateway->mName + ".log");
  gateway->mStorePath =
    std::make_unique<fault_proxy>(mContext, Loopback(mStore.Port()));
  std::ofstream(gateway->mSettings)
    << MakeSettings(*gateway, other ? 0 : mDuties.Port());
  mGateways.push_back(std::move(gateway));
}

void
soak_harness::StartGateway(gateway_process& aGateway)
{
  posix_spawn_file_actions_t files;
  ::posix_spawn_file_actions_init(&files);
  constexpr mode_t kMode = 0644;
  ::posix_spawn_file_actions_addopen(&files,
                                     STDOUT_FILENO,
                                     aGateway.mLog.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     kMode);
  ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  std::string program = aGateway.mProgram;
  std::string flag = "--settings";
  std::string settings = aGateway.mSettings.string();
  std::array<char*, 4> arguments{
    program.data(), flag.data(), settings.data(), nullptr
  };
  const int error = ::posix_spawn(&aGateway.mPid,
                                  program.c_str(),
                                  &files,
                                  nullptr,
                                  arguments.data(),
                                  environ);
  ::posix_spawn_file_actions_destroy(&files);
  if (error != 0) {
    throw std::runtime_error("cannot start " + program);
  }
}

void
soak_harness::Reap(gateway_process& aGateway)
{
  ::waitpid(aGateway.mPid, nullptr, 0);
  aGateway.mPid = 0;
  aGateway.mFaultActive = false;
}

void
soak_harness::Signal(gateway_process& aGateway, int aSignal)
{
  if (aGateway.mPid != 0) {
    ::kill(aGateway.mPid, aSignal);
  }
}

unsigned
soak_harness::Draw(unsigned aBelow)
{
  return std::uniform_int_distribution<unsigned>(0, aBelow - 1)(mRandom);
}

bool
soak_harness::IsOver() const
{
  return std::chrono::steady_clock::now() >= mEnd;
}

asio::awaitable<wire::http_response>
soak_harness::CallStore(std::string aMethod,
                        std::string aTarget,
                        std::string aBody)
{
  constexpr milliseconds kTimeout{ 2000 };
  wire::http_request request;
  request.mMethod = std::move(aMethod);
  request.mTarget = std::move(aTarget);
  request.mBody = std::move(aBody);
  wire::endpoint store;
  store.mAddress = "127.0.0.1";
  store.mPort = mStore.Port();
  const auto response =
    co_await mStoreClient.Fetch(store, std::move(request), kTimeout);
  wire::http_response noResponse;
  noResponse.mStatus = 0;
  co_return response ? response.value() : noResponse;
}

void
soak_harness::Run()
{
  std::exception_ptr problem;
  asio::co_spawn(mContext, RunSoak(), [&](std::exception_ptr aProblem) {
    problem = aProblem;
    mContext.stop();
  });
  mContext.run();
  if (problem) {
    std::rethrow_exception(problem);
  }
}

asio::awaitable<void>
soak_harness::RunSoak()
{
  constexpr milliseconds kStartupTime{ 1500 };
  constexpr milliseconds kSettleTime{ 5500 };
  co_await WriteRouting();
  co_await WriteUpstreams();
  for (const auto& gateway : mGateways) {
    StartGateway(*gateway);
  }
  asio::steady_timer timer(mContext, kStartupTime);
  co_await timer.async_wait(asio::use_awaitable);
  mEnd = std::chrono::steady_clock::now() + mOptions.mDuration;
  for (unsigned number = 0; number < mOptions.mCallers; ++number) {
    asio::co_spawn(mContext, RunCaller(number), asio::detached);
  }
  co_await InjectFaults();
  // Requests in progress end by their route's timeout. A request that runs
  // after it was reported as not run would be detected in this time.
  timer.expires_after(kSettleTime);
  co_await timer.async_wait(asio::use_awaitable);
}

} // namespace sapphirespar::soak
