// Servers fail part of their requests and say so as an event stream: whether a
// stream that another server began goes on with the failure, as if it were
// complete.
#include "../common/streams.hpp"

#include <iostream>

namespace {

using namespace review;

constexpr unsigned kServers = 9;
constexpr unsigned kSlots = 64;
constexpr int kEvents = 20;

// A sound server may fall silent for a second or so and go on.
constexpr milliseconds kSilence{ 1300 };
constexpr milliseconds kBetweenSilences{ 900 };

// The first servers fail for so long, each for two of five requests.
constexpr unsigned kFailing = 3;
constexpr milliseconds kFailFor{ 4000 };
constexpr unsigned kFailures = 2;
constexpr unsigned kOutOf = 5;

constexpr std::string_view kFailureText = "this server has failed";

// Fails for two of five requests, and says so in the form of the route's
// answers.
std::function<std::optional<bool>(connection&, const http_message&, int)>
MakeFailing(const std::string& aId, const std::atomic<bool>& aFails)
{
  const auto requests = std::make_shared<std::atomic<unsigned>>(0);
  return [aId, requests, &aFails](connection& aPeer,
                                  const http_message& aRequest,
                                  int aNextEvent) -> std::optional<bool> {
    if (!aFails || ++*requests % kOutOf >= kFailures) {
      return std::nullopt;
    }
    constexpr int kNotFound = 404;
    const auto id = aRequest.Header("X-Request-Id");
    return aPeer.Write(ToText(
      MakeResponse(kNotFound,
                   { { "X-Request-Id", id },
                     { "X-Upstream-Signature", "made-" + aId + "-" + id },
                     { "Content-Type", "text/event-stream" } },
                   stream_server::Event(aNextEvent, kFailureText))));
  };
}

// Whether a complete answer has each event once and nothing else.
bool
IsWhole(const std::string& aBody)
{
  std::size_t at = 0;
  for (int event = 1; event <= kEvents; ++event) {
    const auto start = "id: " + std::to_string(event) + "\ndata: by ";
    if (aBody.compare(at, start.size(), start) != 0) {
      return false;
    }
    at = aBody.find("\n\n", at) + 2;
  }
  return at == aBody.size();
}

// Counts the complete answers that aren't the servers' events.
std::size_t
CountWrong(record& aRecord, const ledger& aSeen)
{
  constexpr int kSuccess = 200;
  std::size_t whole = 0;
  std::size_t failed = 0;
  std::size_t other = 0;
  for (const auto& item : aSeen.Outcomes()) {
    const bool success = item.mStatus == kSuccess;
    const bool sound = success && IsWhole(item.mBody);
    whole += sound ? 1 : 0;
    if (success && !sound) {
      const bool spliced = item.mBody.find(kFailureText) != std::string::npos;
      (spliced ? failed : other) += 1;
      aRecord.Line("MIXED ", item.mId, " got 200, complete, with the body:");
      aRecord.Line(item.mBody);
    }
  }
  aRecord.Line("complete streams: ",
               whole,
               " whole, ",
               failed,
               " with a server's failure in them, ",
               other,
               " wrong in another way");
  return failed + other;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  record written(aCount > 1 ? aArguments[1] : "record.txt");
  ledger seen;
  std::atomic<bool> fails{ false };
  store platform("127.0.0.1");
  std::vector<std::unique_ptr<stream_server>> servers;
  for (unsigned number = 0; number < kServers; ++number) {
    stream_server::options options;
    options.mId = "i-90bb13a" + std::to_string(number);
    options.mText = "by " + options.mId;
    options.mEvents = kEvents;
    options.mInstead =
      number < kFailing ? MakeFailing(options.mId, fails) : nullptr;
    servers.push_back(
      std::make_unique<stream_server>(std::move(options), seen));
    const auto& server = *servers.back();
    platform.Write(
      "servers",
      server.Id(),
      ServerEntry(
        "sapphirespar-pool", server.Where(), "ready", 1, "v1", 1, kSlots));
  }
  constexpr int kTimeoutMs = 15000;
  constexpr int kTargetMs = 300;
  platform.Write("config",
                 "main",
                 ConfigSpec(4,
                            { { "lohu930",
                                "streaming",
                                "sapphirespar-pool",
                                kTimeoutMs,
                                2,
                                true,
                                kTargetMs,
                                true } }));
  fleet gateways({}, platform.Where());
  if (!gateways.WaitUntilReady(std::chrono::seconds(20))) {
    written.Line("gateways are not ready");
    return static_cast<int>(verdict::NotRun);
  }
  clients callers(gateways, seen);
  clients::plan plan;
  plan.mRoute = "lohu930";
  plan.mKind = "streaming";
  plan.mDeadlineMs = kTimeoutMs;
  plan.mPrompt = true;
  constexpr unsigned kClients = 60;
  for (unsigned number = 0; number < kClients; ++number) {
    callers.Start(
      plan, number % gateways.Gateways().size(), "c" + std::to_string(number));
  }
  unsigned silences = 0;
  const auto play = [&](milliseconds aTime) {
    const auto until = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() + kBetweenSilences < until) {
      std::this_thread::sleep_for(kBetweenSilences);
      servers[silences++ * 2 % kServers]->FallSilent(kSilence);
    }
    std::this_thread::sleep_until(until);
  };
  constexpr milliseconds kCalm{ 8000 };
  play(kCalm);
  fails = !WithoutTrouble();
  written.Line("three servers ",
               fails ? "fail part of their requests" : "stay");
  play(kFailFor);
  fails = false;
  written.Line("all servers are sound");
  play(kCalm);
  callers.Stop();
  if (gateways.AnyEnded()) {
    written.Line("a gateway has ended");
    return static_cast<int>(verdict::NotRun);
  }
  WriteAll(written, seen);
  const auto judged =
    CountWrong(written, seen) > 0 ? verdict::Broken : verdict::Held;
  std::cout << "verdict " << static_cast<int>(judged) << '\n';
  return static_cast<int>(judged);
}
