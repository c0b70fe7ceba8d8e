// Tests complete routers on loopback with stand-in upstreams and a stand-in
// platform, while parts of the system fail. Every answer is compared byte by
// byte, and every booking is audited.
#include "sapphirespar/config/signed_bundle.hpp"
#include "sapphirespar/config/signing.hpp"
#include "sapphirespar/model/platform.hpp"
#include "sapphirespar/router/router_app.hpp"
#include "sapphirespar/tools/report.hpp"
#include "sapphirespar/tools/standin_engine.hpp"
#include "sapphirespar/tools/standin_platform.hpp"
#include "sapphirespar/tools/standin_service.hpp"
#include "sapphirespar/wire/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace sapphirespar {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using namespace tools;

constexpr const char* kLoopback = "127.0.0.1";
constexpr const char* kBearer = "test-key";
constexpr unsigned kRouters = 3;
constexpr unsigned kEngines = 3;

engine_settings
QuickEngine()
{
  engine_settings settings;
  settings.mSlots = 64;
  settings.mFirstToken = 1ms;
  settings.mTokenInterval = 1ms;
  settings.mBatchSlowdown = 0;
  settings.mModels = { "m" };
  return settings;
}

request_class
MakeClass(std::string aName, unsigned aTier, at_most_once_mode aOnce)
{
  request_class item;
  item.mId = { std::move(aName) };
  item.mTier = aTier;
  item.mOnce = aOnce;
  item.mIdempotent = aOnce == at_most_once_mode::None;
  item.mKind =
    item.mIdempotent ? upstream_kind::Engine : upstream_kind::Service;
  item.mFirstTokenTarget = 60s;
  item.mAnswerTarget = 60s;
  item.mQueueLimit = 10000;
  return item;
}

class_load
EngineLoad(double aRate)
{
  class_load load;
  load.mClass = "draft";
  load.mModel = "m";
  load.mBearer = kBearer;
  load.mRatePerSecond = aRate;
  load.mMaximumTokens = 60;
  load.mFirstTokenTarget = 60s;
  load.mAnswerTarget = 60s;
  return load;
}

class_load
BookingLoad(double aRate, key_source aKey)
{
  class_load load;
  load.mClass = aKey == key_source::CallerGenerated ? "lease" : "confirmation";
  load.mKind = upstream_kind::Service;
  load.mService = "ledger";
  load.mPath = "book";
  load.mBearer = kBearer;
  load.mRatePerSecond = aRate;
  load.mKey = aKey;
  load.mFirstTokenTarget = 60s;
  load.mAnswerTarget = 60s;
  load.mRetries = 3;
  load.mRetriesUnknown = true;
  return load;
}

// Sends a booking with a key that the caller chose, and counts a complete
// answer.
asio::awaitable<void>
Book(wire::http_client& aClient,
     wire::endpoint aRouter,
     std::string aKey,
     std::map<std::string, unsigned>& aAnswered)
{
  wire::http_request request;
  request.mMethod = "POST";
  request.mTarget = "/v1/services/ledger/book";
  request.mBody = "{}";
  request.mHeaders.push_back({ "X-Class", "lease" });
  request.mHeaders.push_back({ "Idempotency-Key", aKey });
  request.mHeaders.push_back(
    { "Authorization", "Bearer " + std::string(kBearer) });
  const auto answer = co_await aClient.Fetch(aRouter, std::move(request), 30s);
  if (answer && answer.value().mStatus == 200) {
    ++aAnswered[aKey];
  }
}

// Upstreams, a platform and three routers in this process.
class whole_system : public testing::Test
{
protected:
  whole_system()
    : mPlatform(mContext, platform_settings{})
    , mService(mContext, service_settings{})
  {
    for (unsigned index = 0; index < kEngines; ++index) {
      mEngines.push_back(
        std::make_unique<standin_engine>(mContext, QuickEngine()));
    }
    mThread = std::jthread([this] { mContext.run(); });
    PutBundle(SignedBundle(MakeBundle(), nullptr));
    for (unsigned index = 0; index < kRouters; ++index) {
      mRouters.push_back(std::make_unique<router::router_app>(
        Settings("vm-" + std::to_string(index))));
    }
    Call(mPlatform.Port(), "PUT", "/vms", VmList());
    AwaitReady();
  }

  ~whole_system() override
  {
    mRouters.clear();
    mContext.stop();
  }

  // Replaces the bundle at the platform.
  void PutBundle(const signed_bundle& aBundle)
  {
    boost::json::object body;
    body["metadata"] = { { "name", "current" },
                         { "revision", mBundleVersion } };
    body["spec"] = Serialize(aBundle);
    const bool creates = mBundleVersion == kNoObject;
    const auto answer =
      Call(mPlatform.Port(),
           creates ? "POST" : "PUT",
           creates ? "/objects/bundle" : "/objects/bundle/current",
           boost::json::serialize(body));
    ASSERT_EQ(answer.mStatus, 200U);
    mBundleVersion = boost::json::parse(answer.mBody)
                       .at_pointer("/metadata/revision")
                       .to_number<object_version>();
  }

  signed_bundle SignedBundle(const bundle& aBundle,
                             const signed_bundle* aBase) const
  {
    return SignBundle(aBundle, "anna", mKey.mPrivateKey, aBase).value();
  }

  // Polls aCondition until it returns true; fails the test after 30 seconds.
  static void AwaitTrue(const std::function<bool()>& aCondition)
  {
    constexpr int kTries = 600;
    for (int left = kTries; left > 0 && !aCondition(); --left) {
      std::this_thread::sleep_for(50ms);
    }
    ASSERT_TRUE(aCondition());
  }

  // Sends one request. The status of the response is 0 if the request fails.
  wire::http_response Call(std::uint16_t aPort,
                           std::string aMethod,
                           std::string aTarget,
                           std::string aBody = {})
  {
    asio::io_context context;
    wire::http_client client(context.get_executor(), {});
    wire::http_request request;
    request.mMethod = std::move(aMethod);
    request.mTarget = std::move(aTarget);
    request.mBody = std::move(aBody);
    wire::http_response answer;
    answer.mStatus = 0;
    const auto fetch =
      [](wire::http_client& aClient,
         wire::endpoint aEndpoint,
         wire::http_request aRequest,
         wire::http_response& aAnswer) -> asio::awaitable<void> {
      auto fetched =
        co_await aClient.Fetch(aEndpoint, std::move(aRequest), 10s);
      if (fetched) {
        aAnswer = std::move(fetched).value();
      }
    };
    asio::co_spawn(
      context,
      fetch(client, { kLoopback, aPort }, std::move(request), answer),
      asio::detached);
    context.run();
    return answer;
  }

  void SetFaults(std::uint16_t aPort, std::string aFaults)
  {
    EXPECT_EQ(Call(aPort, "PUT", "/faults", std::move(aFaults)).mStatus, 200U);
  }

  // Books all keys at a router at once.
  static void BookAll(const std::vector<std::string>& aKeys,
                      std::uint16_t aPort)
  {
    asio::io_context context;
    wire::http_client client(context.get_executor(), {});
    std::map<std::string, unsigned> answered;
    const wire::endpoint target{ kLoopback, aPort };
    for (const auto& key : aKeys) {
      asio::co_spawn(
        context, Book(client, target, key, answered), asio::detached);
    }
    context.run();
  }

  // Returns how often each key has run.
  std::vector<std::int64_t> RunsOf(const std::vector<std::string>& aKeys)
  {
    const auto audit = Call(mService.Port(), "GET", "/audit");
    const auto runs = boost::json::parse(audit.mBody).at("runs").as_object();
    std::vector<std::int64_t> counts;
    for (const auto& key : aKeys) {
      const auto* count = runs.if_contains(key);
      counts.push_back(count ? count->as_int64() : 0);
    }
    return counts;
  }

  workload MakeWorkload(std::vector<class_load> aClasses) const
  {
    workload work;
    work.mName = "end to end";
    work.mSeed = 20261203;
    work.mDuration = 1500ms;
    work.mCallers = 9;
    work.mClasses = std::move(aClasses);
    return work;
  }

  load_targets Targets() const
  {
    load_targets targets;
    for (const auto& router : mRouters) {
      targets.mEntries.push_back({ kLoopback, router->Port() });
    }
    for (const auto& engine : mEngines) {
      targets.mEngines.push_back({ kLoopback, engine->Port() });
    }
    targets.mServices.push_back({ kLoopback, mService.Port() });
    targets.mStandins.push_back(
      { "platform", { kLoopback, mPlatform.Port() } });
    targets.mStandins.push_back(
      { "engine", { kLoopback, mEngines.front()->Port() } });
    targets.mStandins.push_back({ "service", { kLoopback, mService.Port() } });
    return targets;
  }

  load_report Run(const workload& aWorkload) const
  {
    auto report = MakeReport(aWorkload, RunLoad(aWorkload, Targets()));
    EXPECT_TRUE(report.KeptAllPromises()) << ToTable(report);
    return report;
  }

  asio::io_context mContext;
  standin_platform mPlatform;
  standin_service mService;
  std::vector<std::unique_ptr<standin_engine>> mEngines;
  std::jthread mThread;
  std::vector<std::unique_ptr<router::router_app>> mRouters;

  upstream_spec MakeUpstream(std::string aName, std::uint16_t aPort) const
  {
    upstream_spec item;
    item.mId = { std::move(aName) };
    item.mDataCentre = { "valmiera" };
    item.mAddress = kLoopback;
    item.mPort = aPort;
    item.mSlots = QuickEngine().mSlots;
    return item;
  }

  bundle MakeBundle() const
  {
    bundle declared;
    declared.mVersion = { 1, 1 };
    declared.mSigners = { { "anna", mKey.mPublicKey } };
    declared.mClasses = { MakeClass(
                            "confirmation", 1, at_most_once_mode::Token),
                          MakeClass("lease", 1, at_most_once_mode::Claim),
                          MakeClass("price", 2, at_most_once_mode::None),
                          MakeClass("draft", 3, at_most_once_mode::None) };
    // The first event of this class is due soon, so that an attempt at a frozen
    // engine times out early.
    declared.mClasses[2].mFirstTokenTarget = 1s;
    declared.mModels.push_back({ { "m" }, 1, kEngines });
    client_account account;
    account.mId = { "test" };
    account.mKeyHash = Sha256Hex(kBearer);
    account.mRequestsPerSecond = 1e6;
    account.mConcurrency = 100000;
    declared.mAccounts.push_back(account);
    for (const auto& engine : mEngines) {
      const auto port = engine->Port();
      auto item = MakeUpstream("engine-" + std::to_string(port), port);
      item.mModels = { { "m" } };
      declared.mUpstreams.push_back(std::move(item));
    }
    auto ledger = MakeUpstream("ledger", mService.Port());
    ledger.mKind = upstream_kind::Service;
    ledger.mService = "ledger";
    declared.mUpstreams.push_back(std::move(ledger));
    return declared;
  }

  router_settings Settings(std::string aVm) const
  {
    router_settings settings;
    settings.mVm = { std::move(aVm) };
    settings.mDataCentre = { "valmiera" };
    settings.mAddress = kLoopback;
    settings.mPlatform = { kLoopback, mPlatform.Port() };
    settings.mSigners = { { "anna", mKey.mPublicKey } };
    return settings;
  }

  std::string VmList() const
  {
    std::string vms;
    for (std::size_t index = 0; index < mRouters.size(); ++index) {
      vms += vms.empty() ? "" : ",";
      vms += R"({"vm":"vm-)" + std::to_string(index) +
             R"(","data_centre":"valmiera","address":"127.0.0.1","port":)" +
             std::to_string(mRouters[index]->Port()) + R"(,"peer_port":)" +
             std::to_string(mRouters[index]->PeerPort()) +
             R"(,"leaving":false})";
    }
    return R"({"vms":[)" + vms + "]}";
  }

  void AwaitReady()
  {
    AwaitTrue([this] {
      return std::ranges::all_of(
        mRouters, [](const auto& aRouter) { return aRouter->Ready(); });
    });
  }

  // Version of the bundle object at the platform.
  object_version mBundleVersion = kNoObject;
  const signing_key mKey = NewSigningKey();
};

TEST_F(whole_system, TwoThousandConcurrentStreamsReachTheirCallersComplete)
{
  auto work = MakeWorkload({ EngineLoad(20000) });
  work.mDuration = 100ms;
  const auto report = Run(work);
  const auto& drafts = report.mClasses.front();
  EXPECT_GT(drafts.mOffered, 1800U);
  EXPECT_EQ(drafts.mInTime, drafts.mOffered) << ToTable(report);
}

TEST_F(whole_system, AnEngineIsNotGivenMuchMoreThanItsSlots)
{
  // Until members know each other, each router considers itself the owner of
  // every engine.
  for (const auto& router : mRouters) {
    AwaitTrue([&] {
      const auto status = Call(router->Port(), "GET", "/v1/status");
      const auto page = boost::json::parse(status.mBody);
      const auto& members = page.at("members").as_array();
      return std::ranges::count_if(members, [](const auto& aMember) {
               return aMember.at("state").as_string() == "live";
             }) == kRouters;
    });
  }
  auto work = MakeWorkload({ EngineLoad(20000) });
  work.mDuration = 100ms;
  const auto report = Run(work);
  EXPECT_EQ(report.mClasses.front().mInTime, report.mClasses.front().mOffered);
  for (const auto& engine : mEngines) {
    const auto audit = Call(engine->Port(), "GET", "/audit");
    const auto page = boost::json::parse(audit.mBody);
    // If each of the three routers used all slots, twice as many requests as
    // slots would be waiting.
    EXPECT_LT(page.at("most_waiting").as_int64(), QuickEngine().mSlots / 2);
  }
}

class lost_answers
  : public whole_system
  , public testing::WithParamInterface<key_source>
{};

TEST_P(lost_answers,
       Fault_AnswerLost_Request_Dispatch_ABookingIsUnknownAndRunsOnce)
{
  constexpr unsigned kLost = 5;
  SetFaults(mService.Port(), R"({"lose_answers":5})");
  const auto report = Run(MakeWorkload({ BookingLoad(40, GetParam()) }));
  const auto& bookings = report.mClasses.front();
  EXPECT_EQ(bookings.mUnknown, kLost) << ToTable(report);
  EXPECT_EQ(bookings.mInTime, bookings.mOffered - kLost) << ToTable(report);
}

INSTANTIATE_TEST_SUITE_P(KeySources,
                         lost_answers,
                         testing::Values(key_source::Token,
                                         key_source::CallerGenerated),
                         [](const auto& aInfo) {
                           return aInfo.param == key_source::CallerGenerated
                                    ? "Claim"
                                    : "Token";
                         });

TEST_F(whole_system, AKeySentToAllRoutersAtOnceRunsOnce)
{
  constexpr int kKeys = 50;
  asio::io_context context;
  wire::http_client client(context.get_executor(), {});
  std::map<std::string, unsigned> answered;
  for (int index = 0; index < kKeys; ++index) {
    const auto key = "booking-" + std::to_string(index);
    for (const auto& router : mRouters) {
      const wire::endpoint target{ kLoopback, router->Port() };
      asio::co_spawn(
        context, Book(client, target, key, answered), asio::detached);
    }
  }
  context.run();
  const auto audit = Call(mService.Port(), "GET", "/audit");
  const auto runs = boost::json::parse(audit.mBody).at("runs").as_object();
  EXPECT_EQ(answered.size(), static_cast<std::size_t>(kKeys));
  for (const auto& [key, answers] : answered) {
    ASSERT_TRUE(runs.contains(key)) << key;
    EXPECT_EQ(runs.at(key).as_int64(), 1) << key;
  }
  EXPECT_EQ(runs.size(), answered.size());
}

TEST_F(whole_system,
       Fault_CrashAfter_Request_Stream_ACrashedEngineBreaksNoPromise)
{
  auto work =
    MakeWorkload({ EngineLoad(150), BookingLoad(20, key_source::Token) });
  work.mFaults.push_back({ 500ms, "engine", R"({"crash":true})" });
  const auto report = Run(work);
  const auto& drafts = report.mClasses.front();
  // Requests that ran at the crashed engine may be lost. Later ones are sent to
  // other engines.
  EXPECT_GT(drafts.Attainment(), 0.8) << ToTable(report);
  EXPECT_EQ(report.mClasses.back().mInTime, report.mClasses.back().mOffered);
}

TEST_F(whole_system,
       Fault_SilentInbound_Request_Stream_AFrozenEngineHoldsNoCallerForGood)
{
  auto price = EngineLoad(150);
  price.mClass = "price";
  auto work = MakeWorkload({ price });
  work.mCallerTimeout = 60s;
  work.mFaults.push_back({ 300ms, "engine", R"({"freeze":true})" });
  const auto report = Run(work);
  EXPECT_GT(report.mClasses.front().Attainment(), 0.7) << ToTable(report);
  EXPECT_EQ(
    std::ranges::count(report.mReasons, "timeout", &reason_count::mReason), 0)
    << ToTable(report);
}

TEST_F(whole_system,
       Fault_StoreOutage_Request_Stream_NeitherStreamsNorTokenBookingsStop)
{
  auto work =
    MakeWorkload({ EngineLoad(100), BookingLoad(30, key_source::Token) });
  work.mFaults.push_back({ 300ms, "platform", R"({"outage":true})" });
  const auto report = Run(work);
  for (const auto& item : report.mClasses) {
    EXPECT_EQ(item.mInTime, item.mOffered) << ToTable(report);
  }
}

TEST_F(whole_system,
       Fault_StoreOutage_Claim_Ask_ClaimedBookingsAreRefusedAsNotRun)
{
  auto lease = BookingLoad(40, key_source::CallerGenerated);
  lease.mRetries = 0;
  auto work = MakeWorkload({ lease });
  work.mFaults.push_back({ 500ms, "platform", R"({"outage":true})" });
  const auto report = Run(work);
  const auto& leases = report.mClasses.front();
  EXPECT_GT(leases.mInTime, 0U) << ToTable(report);
  EXPECT_GT(leases.mRefused, 0U) << ToTable(report);
  EXPECT_EQ(leases.mInTime + leases.mRefused, leases.mOffered)
    << ToTable(report);
}

// The router that ran the bookings restarts after the store has lost their
// claims, so nobody but the owners can know of them.
TEST_F(whole_system,
       Fault_StoreRestore_Claim_Run_NoBookingOfTheLostSpanRunsTwice)
{
  std::vector<std::string> keys;
  for (int index = 0; index < 30; ++index) {
    keys.push_back("booking-" + std::to_string(index));
  }
  EXPECT_EQ(Call(mPlatform.Port(), "PUT", "/copy").mStatus, 200U);
  BookAll(keys, mRouters[0]->Port());
  EXPECT_EQ(RunsOf(keys), std::vector<std::int64_t>(keys.size(), 1));
  EXPECT_EQ(Call(mPlatform.Port(), "PUT", "/restore").mStatus, 200U);
  mRouters[0].reset();
  mRouters[0] = std::make_unique<router::router_app>(Settings("vm-0"));
  Call(mPlatform.Port(), "PUT", "/vms", VmList());
  AwaitReady();
  for (int round = 0; round < 4; ++round) {
    for (const auto& router : mRouters) {
      BookAll(keys, router->Port());
    }
    std::this_thread::sleep_for(2s);
  }
  EXPECT_EQ(RunsOf(keys), std::vector<std::int64_t>(keys.size(), 1));
  const auto page = Call(mRouters[1]->Port(), "GET", "/metrics").mBody;
  EXPECT_NE(page.find("sapphirespar_store_restores 1"), std::string::npos);
}

TEST_F(whole_system, AGracefulShutdownInterruptsNoRequest)
{
  auto work =
    MakeWorkload({ EngineLoad(150), BookingLoad(30, key_source::Token) });
  for (auto& load : work.mClasses) {
    load.mRetries = 3;
  }
  std::jthread drainThread([this] {
    std::this_thread::sleep_for(500ms);
    mRouters.front()->Drain();
  });
  const auto report = Run(work);
  drainThread.join();
  mRouters.front()->Wait();
  for (const auto& item : report.mClasses) {
    EXPECT_EQ(item.mInTime, item.mOffered) << ToTable(report);
  }
}

TEST_F(whole_system,
       Fault_CrashAfter_Request_Dispatch_ARouterThatDiesBreaksNoPromise)
{
  auto work = MakeWorkload({ EngineLoad(100),
                             BookingLoad(60, key_source::Token),
                             BookingLoad(60, key_source::CallerGenerated) });
  for (auto& load : work.mClasses) {
    load.mRetries = 3;
  }
  std::jthread crashThread([this] {
    std::this_thread::sleep_for(500ms);
    mRouters.front().reset();
  });
  const auto targets = Targets();
  const auto report = MakeReport(work, RunLoad(work, targets));
  EXPECT_TRUE(report.KeptAllPromises()) << ToTable(report);
  // Requests in progress at the stopped router may be lost. Later ones are sent
  // to other routers.
  for (const auto& item : report.mClasses) {
    EXPECT_GT(item.Attainment(), 0.8) << ToTable(report);
  }
}

TEST_F(whole_system, ALeavingUpstreamGetsNoNewWorkOnceItsBundleIsInForce)
{
  const auto first = SignedBundle(MakeBundle(), nullptr);
  auto next = MakeBundle();
  next.mVersion = { 1, 2 };
  next.mUpstreams.front().mLeaving = true;
  PutBundle(SignedBundle(next, &first));
  for (const auto& router : mRouters) {
    AwaitTrue([&] {
      const auto status = Call(router->Port(), "GET", "/v1/status");
      return status.mBody.find(R"("bundle":{"epoch":1,"number":2})") <
             status.mBody.find("members");
    });
  }
  const auto started = [this] {
    const auto audit = Call(mEngines.front()->Port(), "GET", "/audit");
    return boost::json::parse(audit.mBody).at("started").as_int64();
  };
  const auto before = started();
  const auto report = Run(MakeWorkload({ EngineLoad(100) }));
  const auto& drafts = report.mClasses.front();
  EXPECT_EQ(drafts.mInTime, drafts.mOffered) << ToTable(report);
  EXPECT_EQ(started(), before);
}

} // namespace
} // namespace sapphirespar
