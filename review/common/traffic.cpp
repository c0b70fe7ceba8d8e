// Servers of plain services, and clients.
#include "traffic.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace review {
namespace {

namespace json = boost::json;
using std::chrono::steady_clock;

} // namespace

std::size_t
ledger::Add(arrival aArrival)
{
  const std::scoped_lock lock(mMutex);
  mArrivals.push_back(std::move(aArrival));
  return mArrivals.size() - 1;
}

void
ledger::MarkRan(std::size_t aNumber)
{
  const std::scoped_lock lock(mMutex);
  mArrivals.at(aNumber).mRan = true;
}

void
ledger::MarkAnswered(std::size_t aNumber)
{
  const std::scoped_lock lock(mMutex);
  mArrivals.at(aNumber).mAnswered = true;
}

void
ledger::Add(outcome aOutcome)
{
  const std::scoped_lock lock(mMutex);
  mOutcomes.push_back(std::move(aOutcome));
}

std::vector<arrival>
ledger::Arrivals() const
{
  const std::scoped_lock lock(mMutex);
  return mArrivals;
}

std::vector<outcome>
ledger::Outcomes() const
{
  const std::scoped_lock lock(mMutex);
  return mOutcomes;
}

app_server::app_server(std::string aId,
                       const std::string& aHost,
                       ledger& aLedger,
                       milliseconds aWork,
                       answer_hook aAnswer)
  : mId(std::move(aId))
  , mLedger(aLedger)
  , mWork(aWork)
  , mAnswer(std::move(aAnswer))
  , mListener(std::make_unique<listener>(aHost, [this](connection& aPeer) {
    Serve(aPeer);
  }))
{
}

void
app_server::Serve(connection& aPeer)
{
  constexpr std::chrono::seconds kIdle{ 30 };
  while (const auto request = aPeer.Read(steady_clock::now() + kIdle)) {
    if (request->Target() == kHealthPath) {
      if (!aPeer.Write(ToText(HealthAnswer(mId)))) {
        return;
      }
      continue;
    }
    const auto id = request->Header("X-Request-Id");
    const auto expected = request->Header("X-Expect-Instance");
    if (!expected.empty() && expected != mId) {
      const auto refusal = MakeResponse(
        421, { { "X-Request-Id", id }, { "X-Not-Executed", "1" } }, "");
      if (!aPeer.Write(ToText(refusal))) {
        return;
      }
      continue;
    }
    const auto number = mLedger.Add({ id, mId, steady_clock::now() });
    mLedger.MarkRan(number);
    std::this_thread::sleep_for(mWork);
    const auto answer = ToText(
      MakeResponse(200,
                   { { "X-Request-Id", id },
                     { "X-Upstream-Signature", "made-" + mId + "-" + id } },
                   "run by " + mId + " for " + id));
    const bool open =
      mAnswer ? mAnswer(aPeer, *request, answer) : aPeer.Write(answer);
    if (!open) {
      return;
    }
    mLedger.MarkAnswered(number);
  }
}

http_message
HealthAnswer(const std::string& aId)
{
  return MakeResponse(200, { { "X-Upstream-Instance", aId } }, "");
}

std::string
ConfigSpec(int aVersion, const std::vector<route_entry>& aRoutes)
{
  json::array routes;
  json::array services;
  std::set<std::string> known;
  for (const auto& route : aRoutes) {
    json::object item;
    item["name"] = route.mName;
    item["host"] = kHost;
    item["path_prefix"] = "/" + route.mName + "/";
    item["route_type"] = route.mKind;
    item["stream_resume"] = route.mResume;
    item["service"] = route.mService;
    item["timeout_ms"] = route.mTimeoutMs;
    item["target_latency_ms"] = route.mTargetMs;
    item["target_gap_ms"] = 250;
    item["max_attempts"] = route.mMaximumAttempts;
    item["priority"] = 0;
    routes.push_back(std::move(item));
    if (known.insert(route.mService).second) {
      json::object service{ { "name", route.mService },
                            { "health_path", "/healthz" },
                            { "max_connections", route.mEngine ? 370 : 110 } };
      if (route.mEngine) {
        service["runtime"] = json::object{ { "slots", 64 },
                                           { "kv_capacity", 695905 },
                                           { "stride", 5 } };
      }
      services.push_back(std::move(service));
    }
  }
  json::object config;
  config["version"] = aVersion;
  config["routes"] = std::move(routes);
  config["services"] = std::move(services);
  config["tenants"] = json::array{ json::object{
    { "name", "hule930" }, { "api_keys", json::array{ kKey } } } };
  config["limits"] = json::object{ { "max_header_bytes", 16384 },
                                   { "max_body_bytes", 4194304 },
                                   { "header_timeout_ms", 5000 },
                                   { "idle_timeout_ms", 15000 } };
  return json::serialize(config);
}

http_message
MakeRequest(const std::string& aMethod,
            const std::string& aRoute,
            const std::string& aId,
            int aDeadlineMs,
            std::string aBody)
{
  http_message request;
  request.mStart = aMethod + " /" + aRoute + "/2f HTTP/1.1";
  request.mHeaders = { { "Host", std::string(kHost) },
                       { "X-Request-Id", aId },
                       { "X-Deadline-Ms", std::to_string(aDeadlineMs) },
                       { "Authorization", "Bearer " + std::string(kKey) } };
  if (!aBody.empty()) {
    request.mHeaders.emplace_back("Content-Length",
                                  std::to_string(aBody.size()));
  }
  request.mBody = std::move(aBody);
  return request;
}

void
clients::Start(const plan& aPlan, std::size_t aGateway, std::string aPrefix)
{
  const auto& target = mFleet.Gateways().at(aGateway);
  mThreads.emplace_back(
    [this,
     plan = aPlan,
     where = target.mCallers,
     name = target.mName,
     prefix = std::move(aPrefix)] { Run(plan, where, name, prefix); });
}

void
clients::Stop()
{
  mStopped = true;
  std::ranges::for_each(mThreads, [](auto& aThread) { aThread.join(); });
  mThreads.clear();
}

void
clients::Run(plan aPlan,
             address aGateway,
             std::string aName,
             std::string aPrefix)
{
  constexpr milliseconds kConnectTimeout{ 1000 };
  constexpr milliseconds kPatience{ 500 };
  constexpr int kFinal = 200;
  std::unique_ptr<connection> kept;
  for (unsigned number = 0; !mStopped; ++number) {
    std::this_thread::sleep_for(aPlan.mPause);
    if (!kept || kept->ClosesWithin(milliseconds(0))) {
      kept = connection::Open(aGateway, kConnectTimeout);
    }
    outcome seen;
    seen.mId = aPrefix + "-" + std::to_string(number);
    seen.mKind = aPlan.mKind;
    seen.mGateway = aName;
    seen.mSent = steady_clock::now();
    const auto body = aPlan.mMethod == "POST" ? "lot " + seen.mId : "";
    auto request = MakeRequest(
      aPlan.mMethod, aPlan.mRoute, seen.mId, aPlan.mDeadlineMs, body);
    if (aPlan.mPrompt) {
      // The last part is the request's own.
      std::ostringstream prompt;
      prompt << "5c1e07a2:119,91bd3f06:79," << std::hex
             << std::hash<std::string>()(seen.mId) << ":430";
      request.mHeaders.emplace_back("X-Model", "m");
      request.mHeaders.emplace_back("X-Token-Usage", "628,100");
      request.mHeaders.emplace_back("X-Prefix-Hash", prompt.str());
    }
    std::optional<http_message> answer;
    if (kept && kept->Write(ToText(request))) {
      const auto until =
        seen.mSent + milliseconds(aPlan.mDeadlineMs) + kPatience;
      answer = kept->Read(until);
      while (answer && answer->Status() < kFinal) {
        seen.mInterim = answer->Status();
        answer = kept->Read(until);
      }
    }
    seen.mEnded = steady_clock::now();
    if (answer) {
      seen.mStatus = answer->Status();
      seen.mBody = answer->mBody;
    }
    if (!answer || answer->Header("Connection") == "close") {
      kept.reset();
    }
    mLedger.Add(std::move(seen));
  }
}

void
WriteAll(record& aRecord, const ledger& aLedger)
{
  for (const auto& seen : aLedger.Arrivals()) {
    aRecord.Line("server ",
                 seen.mServer,
                 " got ",
                 seen.mId,
                 " at_ms=",
                 aRecord.Elapsed(seen.mAt),
                 " ran=",
                 seen.mRan,
                 " answered=",
                 seen.mAnswered);
  }
  for (const auto& seen : aLedger.Outcomes()) {
    aRecord.Line("client sent ",
                 seen.mId,
                 " kind=",
                 seen.mKind,
                 " to ",
                 seen.mGateway,
                 " at_ms=",
                 aRecord.Elapsed(seen.mSent),
                 " ended_ms=",
                 aRecord.Elapsed(seen.mEnded),
                 " status=",
                 seen.mStatus,
                 " interim=",
                 seen.mInterim);
  }
}

} // namespace review
