// The store's calls, gateways' settings and processes.
#include "deployment.hpp"

#include <boost/json.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

namespace json = boost::json;

json::value
ParseOr(const std::string& aText, json::value aElse)
{
  json::error_code error;
  auto value =
    json::parse(json::string_view(aText.data(), aText.size()), error);
  return error ? std::move(aElse) : value;
}

std::uint64_t
RevisionIn(const http_call& aCall, const json::value& aBody)
{
  constexpr std::string_view kName = "revision=";
  const auto at = aCall.mTarget.find(kName);
  if (at != std::string::npos) {
    return std::stoull(aCall.mTarget.substr(at + kName.size()));
  }
  const auto* object = aBody.if_object();
  const auto* metadata = object ? object->if_contains("metadata") : nullptr;
  const auto* found = metadata && metadata->is_object()
                        ? metadata->get_object().if_contains("revision")
                        : nullptr;
  return found ? found->to_number<std::uint64_t>() : 0;
}

// Below the ports that outgoing connections use.
constexpr std::uint16_t kFirstPort = 18080;

std::string
Quoted(const std::string& aText)
{
  return "\"" + aText + "\"";
}

} // namespace

record::record(const std::string& aFile)
  : mFile(aFile)
{
}

void
record::Add(const std::string& aLine)
{
  const std::scoped_lock lock(mMutex);
  mFile << Now() << " ms " << aLine << std::endl;
}

std::int64_t
record::Now() const
{
  return std::chrono::duration_cast<milliseconds>(clock::now() - mBegin)
    .count();
}

store::store()
  : mServer(std::make_unique<http_server>(
      address{},
      [this](const http_call& aCall, connection& aConnection) {
        return Serve(aCall, aConnection);
      }))
{
}

void
store::Put(const std::string& aKind,
           const std::string& aName,
           const std::string& aValue)
{
  const std::scoped_lock lock(mMutex);
  mObjects[aKind][aName] = { ++mRevision, aValue };
}

void
store::Remove(const std::string& aKind, const std::string& aName)
{
  const std::scoped_lock lock(mMutex);
  ++mRevision;
  mObjects[aKind].erase(aName);
}

std::string
store::Text(const std::string& aName, const object& aObject)
{
  return R"({"metadata":{"name":)" + Quoted(aName) + R"(,"revision":)" +
         std::to_string(aObject.mRevision) +
         R"(,"created":1,"finalizers":[],"deletion_pending":false},"spec":)" +
         aObject.mValue + R"(,"status":null})";
}

bool
store::Serve(const http_call& aCall, connection& aConnection)
{
  constexpr milliseconds kAnswerTime{ 4 };
  std::this_thread::sleep_for(kAnswerTime);
  const auto [status, body] = Answer(aCall);
  return aConnection.Write(
    ToText(status, { { "content-type", "application/json" } }, body));
}

std::pair<int, std::string>
store::Answer(const http_call& aCall)
{
  constexpr std::string_view kPrefix = "/objects/";
  const auto path = aCall.mTarget.substr(0, aCall.mTarget.find('?'));
  if (!path.starts_with(kPrefix)) {
    return { 404, "{}" };
  }
  const auto rest = path.substr(kPrefix.size());
  const auto slash = rest.find('/');
  const auto kind = rest.substr(0, slash);
  const auto name = slash == std::string::npos ? "" : rest.substr(slash + 1);
  const std::scoped_lock lock(mMutex);
  auto& objects = mObjects[kind];
  if (aCall.mMethod != "GET") {
    return Write(aCall, kind, name);
  }
  if (!name.empty()) {
    const auto found = objects.find(name);
    return found == objects.end()
             ? std::pair<int, std::string>{ 404, "{}" }
             : std::pair<int, std::string>{ 200, Text(name, found->second) };
  }
  std::string entries;
  for (const auto& [key, object] : objects) {
    entries += (entries.empty() ? "" : ",") + Text(key, object);
  }
  return { 200,
           R"({"entries":[)" + entries + R"(],"has_more":false,"at":)" +
             std::to_string(mRevision) + "}" };
}

// Called with the lock held.
std::pair<int, std::string>
store::Write(const http_call& aCall,
             const std::string& aKind,
             const std::string& aName)
{
  const auto body = ParseOr(aCall.mBody, json::object{});
  auto& objects = mObjects[aKind];
  const auto* members = body.if_object();
  auto name = aName;
  if (aCall.mMethod == "POST") {
    name = std::string(body.at("metadata").at("name").as_string());
  }
  const auto found = objects.find(name);
  const bool exists = found != objects.end();
  const auto expected = RevisionIn(aCall, body);
  const bool conflict =
    aCall.mMethod == "POST"
      ? exists
      : exists && expected != 0 && expected != found->second.mRevision;
  if (conflict) {
    return { 409, Text(name, found->second) };
  }
  if (aCall.mMethod != "POST" && !exists) {
    return { 404, "{}" };
  }
  if (aCall.mMethod == "DELETE") {
    const auto last = Text(name, found->second);
    objects.erase(found);
    ++mRevision;
    return { 200, last };
  }
  const auto* value = members ? members->if_contains("spec") : nullptr;
  auto& object = objects[name];
  auto text = value ? json::serialize(*value) : std::string("null");
  if (object.mValue != text || !exists) {
    object = { ++mRevision, std::move(text) };
  }
  return { 200, Text(name, object) };
}

store_path::store_path(store& aStore)
  : mStore(aStore)
  , mServer(std::make_unique<http_server>(
      address{},
      [this](const http_call& aCall, connection& aConnection) {
        constexpr milliseconds kStep{ 20 };
        bool wasCut = false;
        while (mCut) {
          wasCut = true;
          std::this_thread::sleep_for(kStep);
        }
        if (wasCut || !mStore.Serve(aCall, aConnection)) {
          return false;
        }
        mListRead = mListRead || aCall.mTarget == "/objects/servers";
        return true;
      }))
{
}

void
store_path::SetCut(bool aCut)
{
  mListRead = false;
  mCut = aCut;
}

gateway::gateway(const std::string& aSubnet,
                 unsigned aNumber,
                 const std::string& aDirectory)
  : mName("edge-" + std::to_string(aNumber))
  , mDirectory(aDirectory)
  , mIp(aSubnet + std::to_string(aNumber))
{
  auto port = kFirstPort;
  for (auto* listen : { &mCallers, &mReadiness, &mAdmin, &mEntry }) {
    *listen = { mIp, FreePort(mIp, port) };
    port = static_cast<std::uint16_t>(listen->mPort + 1);
  }
  mMetrics = FreePort(mIp, port);
}

gateway::~gateway()
{
  Kill();
}

void
gateway::WriteSettings(const std::string& aStore,
                       const std::vector<std::string>& aSeeds,
                       bool aFirstStart)
{
  // Datagrams go to the same port on all machines.
  constexpr std::string_view kGossipPort = "17340";
  std::string seeds;
  for (const auto& seed : aSeeds) {
    seeds += (seeds.empty() ? "" : ",") + Quoted(seed);
  }
  std::ofstream file(mDirectory + "/" + mName + ".toml");
  file << "[node]\nvm = " << Quoted(mName) << "\ndata_centre = \"valmiera\"\n"
       << (aFirstStart ? "first_start = true\n" : "")
       << "\n[listen]\ncallers = " << Quoted(mCallers.Text())
       << "\nreadiness = " << Quoted(mReadiness.Text())
       << "\nentry = " << Quoted(mEntry.Text())
       << "\nadmin = " << Quoted(mAdmin.Text()) << "\naddress = " << Quoted(mIp)
       << "\ngossip_port = " << kGossipPort << "\nmetrics_port = " << mMetrics
       << "\n\n[platform]\naddress = " << Quoted(aStore)
       << "\n\n[peers]\nseeds = [" << seeds << "]\n"
       << R"(
[limits]
open_files = 4100
processor = 0.25
memory_mb = 260

[bounds]
key_freshness_ms = 5000
routing_change_ms = 2000
upstream_change_ms = 2000
upstream_heartbeat_ms = 1200
drain_s = 8
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 58
entry_ttl_s = 5

[engines]
prefill_tokens_per_ms = 81.9
first_event_ms = 41
chunk_tokens = 4096
step_ms = 3.74
step_ms_per_request = 0.081

[zones]
own_first = true

[log]
level = "info"
)";
}

void
gateway::Start(const std::string& aProgram)
{
  const auto settings = mDirectory + "/" + mName + ".toml";
  const auto log = mDirectory + "/" + mName + ".log";
  std::array<std::string, 3> words{ aProgram, "--settings", settings };
  std::array<char*, 4> arguments{
    words[0].data(), words[1].data(), words[2].data(), nullptr
  };
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  constexpr int kMode = 0600;
  ::posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kMode);
  const int failed = ::posix_spawn(
    &mProcess, aProgram.c_str(), &actions, nullptr, arguments.data(), environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    mProcess = 0;
    throw std::runtime_error("cannot start " + aProgram);
  }
}

void
gateway::Signal(int aSignal) const
{
  if (mProcess != 0) {
    ::kill(mProcess, aSignal);
  }
}

std::optional<int>
gateway::Wait(milliseconds aTime)
{
  constexpr milliseconds kStep{ 5 };
  const auto until = clock::now() + aTime;
  while (mProcess != 0) {
    int status = 0;
    if (::waitpid(mProcess, &status, WNOHANG) == mProcess) {
      mProcess = 0;
      return status;
    }
    if (clock::now() >= until) {
      break;
    }
    std::this_thread::sleep_for(kStep);
  }
  return std::nullopt;
}

void
gateway::Kill()
{
  constexpr milliseconds kLong{ 5000 };
  Signal(SIGCONT);
  Signal(SIGKILL);
  Wait(kLong);
}

bool
gateway::IsReady() const
{
  constexpr milliseconds kTime{ 500 };
  http_call call;
  call.mTarget = "/readyz";
  constexpr int kOk = 200;
  return Call(mReadiness, call, kTime).mStatus == kOk;
}

fleet::fleet(unsigned aGateways)
{
  const auto* program = std::getenv("GATEWAY");
  mProgram = program ? program : "target/sapphirespar-gateway";
  auto name = (std::filesystem::temp_directory_path() / "case_XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  mDirectory = name;
  // Runs at the same time have networks of their own.
  constexpr int kNetworks = 200;
  const auto process = static_cast<int>(::getpid());
  const auto subnet = "127." + std::to_string(20 + process % kNetworks) + "." +
                      std::to_string(1 + process / kNetworks % kNetworks) + ".";
  for (unsigned number = 1; number <= aGateways; ++number) {
    mPaths.push_back(std::make_unique<store_path>(mStore));
    mGateways.push_back(std::make_unique<gateway>(subnet, number, mDirectory));
  }
}

fleet::~fleet()
{
  for (const auto& gateway : mGateways) {
    gateway->Kill();
  }
  if (std::getenv("KEEP") != nullptr) {
    std::cerr << "logs: " << mDirectory << '\n';
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(mDirectory, ignored);
}

void
fleet::StartProcesses(bool aFirstStart)
{
  constexpr std::size_t kMaximumSeeds = 3;
  std::vector<std::string> seeds;
  for (const auto& gateway : mGateways) {
    if (seeds.size() < kMaximumSeeds) {
      seeds.push_back(gateway->Seed());
    }
  }
  for (std::size_t index = 0; index < mGateways.size(); ++index) {
    auto& gateway = *mGateways[index];
    gateway.WriteSettings(Path(index).Address().Text(), seeds, aFirstStart);
    gateway.Start(mProgram);
  }
}

bool
fleet::Start()
{
  constexpr milliseconds kStart{ 10000 };
  StartProcesses(true);
  return AwaitReady(kStart);
}

void
fleet::KillAll()
{
  for (const auto& gateway : mGateways) {
    gateway->Signal(SIGKILL);
  }
  for (const auto& gateway : mGateways) {
    gateway->Kill();
  }
  constexpr milliseconds kRestart{ 500 };
  std::this_thread::sleep_for(kRestart);
  StartProcesses(false);
}

bool
fleet::AwaitReady(milliseconds aTime) const
{
  constexpr milliseconds kStep{ 50 };
  const auto until = clock::now() + aTime;
  while (clock::now() < until) {
    if (std::ranges::all_of(mGateways, &gateway::IsReady)) {
      return true;
    }
    std::this_thread::sleep_for(kStep);
  }
  return false;
}

std::string
server_entry::Text() const
{
  const auto version =
    mVersion.empty() ? std::string() : R"(,"version":)" + mVersion;
  return R"({"service":)" + Quoted(mService) + R"(,"address":)" +
         Quoted(mAddress.Text()) + R"(,"zone":"valmiera")" + version +
         R"(,"slots":)" + std::to_string(mSlots) + R"(,"state":)" +
         Quoted(mState) + R"(,"cold_remaining_ms":0,"sequence":4,"born":)" +
         std::to_string(mBorn) + "}";
}

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

int
RunCase(int aCount,
        char** aArguments,
        const std::function<int(record&, bool aTrouble)>& aCase)
{
  const std::string folder = aCount > 1 ? aArguments[1] : ".";
  const auto* trouble = std::getenv("TROUBLE");
  record record(folder + "/record.txt");
  int status = kNotRun;
  try {
    status = aCase(record, trouble == nullptr || std::string(trouble) != "0");
  } catch (const std::exception& problem) {
    record.Add(std::string("not run: ") + problem.what());
  }
  const std::array<std::string, 3> results{ "held", "broken", "not run" };
  record.Add("result: " + results.at(static_cast<std::size_t>(status)));
  std::cout << results.at(static_cast<std::size_t>(status)) << std::endl;
  // Threads of stand-ins may still serve.
  std::_Exit(status);
}

} // namespace review
