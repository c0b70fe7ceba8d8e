// The store's calls, and the start and end of gateway processes.
#include "fleet.hpp"

#include <boost/json.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <stdexcept>

namespace review {
namespace {

namespace json = boost::json;
using std::chrono::steady_clock;

constexpr std::string_view kObjects = "/objects/";

std::string
QueryValue(const std::string& aTarget, const std::string& aName)
{
  const auto start = aTarget.find(aName + "=");
  if (start == std::string::npos) {
    return {};
  }
  const auto value = aTarget.substr(start + aName.size() + 1);
  return value.substr(0, value.find('&'));
}

http_message
Json(int aStatus, std::string aBody)
{
  return MakeResponse(
    aStatus,
    { { "Content-Type", "application/json" }, { "Store-Era", "1" } },
    std::move(aBody));
}

void
MakeSettings(const gateway& aGateway,
             const std::vector<gateway>& aAll,
             const address& aStore,
             const std::array<std::uint16_t, 5>& aPorts)
{
  const auto& host = aGateway.mCallers.mHost;
  const auto at = [&](std::uint16_t aPort) {
    return "\"" + host + ":" + std::to_string(aPort) + "\"\n";
  };
  const auto [entry, admin, gossip, metrics, unused] = aPorts;
  std::string seeds;
  for (const auto& seed : aAll) {
    seeds += (seeds.empty() ? "\"" : ",\"") + seed.mCallers.mHost + ":" +
             std::to_string(admin) + "\"";
  }
  // Filled in like platform/settings.toml.in with the bounds of the first
  // deployment.
  std::ofstream(aGateway.mSettings)
    << "[node]\nvm = \"" << aGateway.mName << "\"\ndata_centre = \"valmiera\"\n"
    << "first_start = true\n[listen]\ncallers = " << at(aGateway.mCallers.mPort)
    << "readiness = " << at(aGateway.mReadiness.mPort)
    << "entry = " << at(entry) << "admin = " << at(admin) << "address = \""
    << host << "\"\ngossip_port = " << gossip << "\nmetrics_port = " << metrics
    << "\n[platform]\naddress = \"" << aStore.Text() << "\"\n[peers]\nseeds = ["
    << seeds << "]\n"
    << "[limits]\nopen_files = 4100\nprocessor = 0.25\nmemory_mb = 260\n"
    << "[bounds]\nkey_freshness_ms = 5000\nrouting_change_ms = 2000\n"
    << "upstream_change_ms = 2000\nupstream_heartbeat_ms = 1200\ndrain_s = "
       "8\n"
    << "retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\n"
    << "entry_ttl_s = 5\n"
    << "[engines]\nprefill_tokens_per_ms = 81.9\nfirst_event_ms = 41\n"
    << "chunk_tokens = 4096\nstep_ms = 3.74\nstep_ms_per_request = 0.081\n"
    << "[log]\nlevel = \"info\"\n";
}

// The gateways that run, for the signal handler.
constexpr std::size_t kMostGateways = 16;
std::array<std::atomic<pid_t>, kMostGateways> sRunning{};

void
EndGateways(int /*aSignal*/)
{
  for (const auto& running : sRunning) {
    if (running != 0) {
      ::kill(running, SIGKILL);
    }
  }
  ::_exit(static_cast<int>(verdict::NotRun));
}

} // namespace

store::store(const std::string& aHost)
  : mListener(std::make_unique<listener>(aHost, [this](connection& aPeer) {
    Serve(aPeer);
  }))
{
}

steady_time
store::Write(const std::string& aKind,
             const std::string& aName,
             const std::string& aSpec)
{
  const std::scoped_lock lock(mMutex);
  mKinds[aKind][aName] = { aSpec, ++mRevision };
  return steady_clock::now();
}

void
store::Remove(const std::string& aKind, const std::string& aName)
{
  const std::scoped_lock lock(mMutex);
  ++mRevision;
  mKinds[aKind].erase(aName);
}

void
store::Serve(connection& aPeer)
{
  constexpr std::chrono::minutes kIdle{ 5 };
  while (const auto request = aPeer.Read(steady_clock::now() + kIdle)) {
    if (!aPeer.Write(review::ToText(Answer(*request)))) {
      return;
    }
  }
}

std::string
store::ToText(const std::string& aName, const object& aObject)
{
  return R"({"metadata":{"name":")" + aName + R"(","revision":)" +
         std::to_string(aObject.mRevision) + R"(},"spec":)" + aObject.mSpec +
         "}";
}

http_message
store::Answer(const http_message& aRequest)
{
  const auto target = aRequest.Target();
  const auto path = target.substr(0, target.find('?'));
  if (!path.starts_with(kObjects)) {
    return Json(404, "{}");
  }
  const auto rest = path.substr(kObjects.size());
  const auto slash = rest.find('/');
  const auto kind = rest.substr(0, slash);
  const auto name =
    slash == std::string::npos ? std::string() : rest.substr(slash + 1);
  const std::scoped_lock lock(mMutex);
  if (aRequest.Method() != "GET") {
    return Change(aRequest, kind, name, QueryValue(target, "revision"));
  }
  if (name.empty()) {
    return List(kind);
  }
  const auto& objects = mKinds[kind];
  const auto found = objects.find(name);
  return found == objects.end() ? Json(404, "{}")
                                : Json(200, ToText(name, found->second));
}

http_message
store::List(const std::string& aKind)
{
  std::string entries;
  for (const auto& [name, value] : mKinds[aKind]) {
    entries += (entries.empty() ? "" : ",") + ToText(name, value);
  }
  return Json(200,
              R"({"entries":[)" + entries + R"(],"has_more":false,"at":)" +
                std::to_string(mRevision) + "}");
}

http_message
store::Change(const http_message& aRequest,
              const std::string& aKind,
              const std::string& aName,
              const std::string& aRevision)
{
  auto& objects = mKinds[aKind];
  const auto body = aRequest.mBody.empty()
                      ? json::object()
                      : json::parse(aRequest.mBody).as_object();
  const auto* metadata = body.if_contains("metadata");
  auto name = aName;
  auto revision = aRevision;
  if (metadata) {
    const auto& fields = metadata->as_object();
    name = aName.empty() ? fields.at("name").as_string().c_str() : aName;
    if (const auto* told = fields.if_contains("revision")) {
      revision = json::serialize(*told);
    }
  }
  const auto found = objects.find(name);
  const bool exists = found != objects.end();
  const bool creates = aRequest.Method() == "POST";
  if (!creates && !exists) {
    return Json(404, "{}");
  }
  const bool wrong = exists && !revision.empty() &&
                     revision != std::to_string(found->second.mRevision);
  if ((creates && exists) || wrong) {
    return Json(409, ToText(name, found->second));
  }
  if (aRequest.Method() == "DELETE") {
    auto text = ToText(name, found->second);
    objects.erase(found);
    ++mRevision;
    return Json(200, text);
  }
  objects[name] = { json::serialize(body.at("spec")), ++mRevision };
  return Json(200, ToText(name, objects[name]));
}

fleet::fleet(fleet_options aOptions, const address& aStore)
  : mOptions(std::move(aOptions))
{
  auto name = (std::filesystem::temp_directory_path() / "case_XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  mDirectory = name;
  constexpr unsigned kFirstHost = 10;
  for (unsigned number = 0; number < mOptions.mGateways; ++number) {
    gateway one;
    one.mName = "edge-valmiera-" + std::to_string(number + 1);
    one.mCallers.mHost = LoopbackHost(kFirstHost + number);
    one.mReadiness.mHost = one.mCallers.mHost;
    one.mSettings = mDirectory / (one.mName + ".toml");
    one.mLog = mDirectory / (one.mName + ".log");
    mGateways.push_back(std::move(one));
  }
  // Ports are the same on all machines; each has an address of its own.
  std::array<std::uint16_t, 5> ports{};
  std::ranges::generate(
    ports, [&] { return FreePort(mGateways.front().mCallers.mHost); });
  const auto callers = FreePort(mGateways.front().mCallers.mHost);
  for (auto& one : mGateways) {
    one.mCallers.mPort = callers;
    one.mReadiness.mPort = ports.back();
  }
  std::signal(SIGTERM, EndGateways);
  std::signal(SIGINT, EndGateways);
  try {
    for (auto& one : mGateways) {
      MakeSettings(one, mGateways, aStore, ports);
      Start(one);
    }
  } catch (...) {
    Stop();
    throw;
  }
}

fleet::~fleet()
{
  Stop();
}

void
fleet::Stop()
{
  for (std::size_t number = 0; number < mGateways.size(); ++number) {
    auto& one = mGateways[number];
    if (one.mPid != 0) {
      ::kill(one.mPid, SIGKILL);
      ::waitpid(one.mPid, nullptr, 0);
      one.mPid = 0;
    }
    sRunning.at(number) = 0;
  }
  const char* keep = std::getenv("KEEP_LOGS");
  if (keep == nullptr || *keep == '\0') {
    std::error_code ignored;
    std::filesystem::remove_all(mDirectory, ignored);
  }
}

void
fleet::Start(gateway& aGateway)
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
  std::string program = mOptions.mProgram;
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
    aGateway.mPid = 0;
    throw std::runtime_error("cannot start " + program);
  }
  const auto number = static_cast<std::size_t>(&aGateway - mGateways.data());
  sRunning.at(number) = aGateway.mPid;
}

void
fleet::Signal(std::size_t aNumber, int aSignal)
{
  ::kill(mGateways.at(aNumber).mPid, aSignal);
}

bool
fleet::WaitUntilReady(milliseconds aTime)
{
  constexpr milliseconds kPause{ 100 };
  constexpr milliseconds kTimeout{ 500 };
  const auto until = steady_clock::now() + aTime;
  const auto isReady = [&](const gateway& aGateway) {
    const auto opened = connection::Open(aGateway.mReadiness, kTimeout);
    if (!opened || !opened->Write("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")) {
      return false;
    }
    const auto answer = opened->Read(steady_clock::now() + kTimeout);
    return answer && answer->Status() == 200;
  };
  while (steady_clock::now() < until) {
    if (std::ranges::all_of(mGateways, isReady)) {
      return true;
    }
    std::this_thread::sleep_for(kPause);
  }
  return false;
}

bool
fleet::AnyEnded()
{
  bool any = false;
  for (std::size_t number = 0; number < mGateways.size(); ++number) {
    auto& one = mGateways[number];
    if (one.mPid != 0 && ::waitpid(one.mPid, nullptr, WNOHANG) == one.mPid) {
      one.mPid = 0;
      sRunning.at(number) = 0;
    }
    any = any || one.mPid == 0;
  }
  return any;
}

std::string
ServerEntry(const std::string& aService,
            const address& aWhere,
            const std::string& aState,
            unsigned aSequence,
            const std::string& aVersion,
            unsigned aStarts,
            unsigned aSlots)
{
  json::object entry;
  entry["service"] = aService;
  entry["address"] = aWhere.Text();
  entry["zone"] = "valmiera";
  entry["version"] = aVersion;
  entry["slots"] = aSlots;
  entry["state"] = aState;
  entry["cold_remaining_ms"] = 0;
  entry["sequence"] = aSequence;
  constexpr std::int64_t kBorn = 1764892800000;
  entry["born"] = kBorn + aStarts;
  return json::serialize(entry);
}

std::string
LoopbackHost(unsigned aNumber)
{
  const auto process = static_cast<unsigned>(::getpid());
  constexpr unsigned kSpread = 250;
  return "127." + std::to_string(2 + process / kSpread % kSpread) + "." +
         std::to_string(1 + process % kSpread) + "." + std::to_string(aNumber);
}

bool
WithoutTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string_view(trouble) == "0";
}

} // namespace review
