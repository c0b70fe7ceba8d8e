// What the operator and the upstreams of a soak write to the store, and the
// store's faults.
#include "sapphirespar/soak/soak_harness.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <array>

namespace sapphirespar::soak {
namespace {

namespace json = boost::json;

constexpr std::string_view kNoFaults =
  R"({"outage":false,"throttle":false,"delay_ms":0,"lose_answers":0})";

asio::awaitable<void>
Sleep(std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

json::object
MakeRoute(std::string_view aPath, std::string_view aKind, bool aResumable)
{
  return { { "name", aPath },
           { "host", "soak" },
           { "path_prefix", aPath },
           { "route_type", aKind },
           { "stream_resume", aResumable },
           { "service", "pool" },
           { "timeout_ms", 4000 },
           { "target_latency_ms", 300 },
           { "target_gap_ms", 300 },
           { "max_attempts", 3 } };
}

} // namespace

asio::awaitable<std::uint64_t>
soak_harness::RevisionOf(std::string aTarget)
{
  std::string method = "GET";
  std::string body;
  const auto response =
    co_await CallStore(std::move(method), std::move(aTarget), std::move(body));
  if (response.mStatus != 200) {
    co_return 0;
  }
  co_return json::parse(response.mBody)
    .at_pointer("/metadata/revision")
    .to_number<std::uint64_t>();
}

asio::awaitable<bool>
soak_harness::WriteRouting()
{
  json::array accounts;
  for (const auto& key : mKeys) {
    accounts.push_back(json::object{ { "name", "account-" + key },
                                     { "api_keys", json::array{ key } } });
  }
  json::object routing;
  routing["version"] = mRoutingVersion;
  routing["routes"] = json::array{ MakeRoute("/once/", "non_idempotent", false),
                                   MakeRoute("/safe/", "idempotent", false),
                                   MakeRoute("/stream/", "streaming", false),
                                   MakeRoute("/resume/", "streaming", true) };
  const json::object engine{ { "slots", 64 },
                             { "kv_capacity", 1'000'000 },
                             { "moves", true } };
  routing["services"] =
    json::array{ json::object{ { "name", "pool" }, { "runtime", engine } } };
  routing["tenants"] = std::move(accounts);
  std::string object = "/objects/config/main";
  const auto revision = co_await RevisionOf(object);
  json::object body;
  body["metadata"] =
    json::object{ { "name", "main" }, { "revision", revision } };
  body["spec"] = std::move(routing);
  std::string method = revision == 0 ? "POST" : "PUT";
  std::string target = revision == 0 ? "/objects/config" : object;
  auto text = json::serialize(body);
  const auto response =
    co_await CallStore(std::move(method), std::move(target), std::move(text));
  co_return response.mStatus == 200;
}

asio::awaitable<void>
soak_harness::WriteUpstream(unsigned aNumber)
{
  const auto name = "upstream-" + std::to_string(aNumber);
  const std::string path = "/objects/servers/" + name;
  const auto revision = co_await RevisionOf(path);
  json::object entry;
  entry["service"] = "pool";
  entry["address"] =
    "127.0.0.1:" + std::to_string(mUpstreams[aNumber].mPath->Port());
  entry["zone"] = "here";
  entry["slots"] = 16;
  const bool reclaimed =
    mUpstreams[aNumber].mState == upstream_state::Reclaimed;
  entry["state"] = reclaimed ? "draining" : "ready";
  entry["preemptible"] = true;
  entry["born"] = mUpstreams[aNumber].mBorn;
  entry["version"] = SoftwareOf(aNumber);
  json::object body;
  body["metadata"] = json::object{ { "name", name }, { "revision", revision } };
  body["spec"] = std::move(entry);
  std::string method = revision == 0 ? "POST" : "PUT";
  std::string target = revision == 0 ? "/objects/servers" : path;
  auto text = json::serialize(body);
  co_await CallStore(std::move(method), std::move(target), std::move(text));
}

asio::awaitable<void>
soak_harness::WriteUpstreams()
{
  for (unsigned number = 0; number < mOptions.mUpstreams; ++number) {
    co_await WriteUpstream(number);
  }
}

asio::awaitable<void>
soak_harness::RestoreStore()
{
  if (mRestoring) {
    co_return;
  }
  std::string method = "PUT";
  std::string target = "/copy";
  std::string body;
  co_await CallStore(method, target, body);
  co_await Sleep(milliseconds(Draw(2500)));
  mRestoring = true;
  target = "/faults";
  body = R"({"outage":true})";
  co_await CallStore(method, target, body);
  co_await Sleep(milliseconds(Draw(1200)));
  target = "/restore";
  body.clear();
  co_await CallStore(method, target, body);
  target = "/faults";
  body = kNoFaults;
  co_await CallStore(method, target, body);
  co_await Sleep(milliseconds(Draw(600)));
  co_await WriteRouting();
  co_await WriteUpstreams();
  mRestoring = false;
}

asio::awaitable<void>
soak_harness::DisturbStore()
{
  constexpr std::array<std::string_view, 4> kStoreFaults{
    R"({"outage":true})",
    R"({"throttle":true})",
    R"({"delay_ms":400})",
    R"({"lose_answers":3})",
  };
  if (mRestoring) {
    co_return;
  }
  std::string method = "PUT";
  std::string target = "/faults";
  std::string body(kStoreFaults[Draw(kStoreFaults.size())]);
  co_await CallStore(method, target, body);
  co_await Sleep(milliseconds(200 + Draw(2500)));
  body = kNoFaults;
  if (!mRestoring) {
    co_await CallStore(method, target, body);
  }
  if (mKeys.size() > 1 && mChecker.Totals().mFaults % 3 == 0) {
    const auto key = mKeys.back();
    mKeys.pop_back();
    ++mRoutingVersion;
    if (co_await WriteRouting()) {
      mChecker.RecordKeyRevoked(key);
    }
  }
}

asio::awaitable<void>
soak_harness::SilenceDuties()
{
  mDuties.SetSilent(true);
  co_await Sleep(milliseconds(500 + Draw(2000)));
  mDuties.SetSilent(false);
}

} // namespace sapphirespar::soak
