// Tests complete exchanges with a broker without peers and with upstreams that
// fail one after the other. The outcome that the caller receives must be true
// of all attempts.
#include "sapphirespar/router/exchange.hpp"

#include "sapphirespar/config/signing.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <array>

namespace sapphirespar::router {
namespace {

using namespace std::chrono_literals;

// The network of a router without peers.
class no_network : public peer_network
{
public:
  void Send(const vm_id&, peer_message) override {}
};

wire::http_headers
EventHeaders()
{
  return { { "Content-Type", "text/event-stream" } };
}

class exchange_fixture : public testing::Test
{
protected:
  exchange_fixture()
    : mBroker(mBoard,
              mNetwork,
              mTimers,
              policy::MakeScheduler("tiered"),
              {},
              { [](const auto&) {}, [] { return 1U; } })
    , mDispatcher(mContext, mBroker)
    , mServices{ mSnapshots, mDispatcher,
                 mPauses,    { mMetrics, mSpans, mHistories },
                 Hooks(),    0 }
  {
    const std::array workers{ &mContext };
    mUpstream = std::make_unique<wire::http_server>(
      mContext,
      workers,
      wire::http_server_settings{},
      [this](const wire::http_request& aRequest, wire::http_reply& aReply) {
        return FailOnce(aRequest, aReply);
      });
  }

  // Accepts a request, sends one event if mSendEvent is set, and breaks off.
  // The port is closed to all later requests.
  asio::awaitable<void> FailOnce(const wire::http_request&,
                                 wire::http_reply& aReply)
  {
    ++mReceived;
    mUpstream->Drain();
    if (mSendEvent) {
      co_await aReply.Begin(200, EventHeaders());
      co_await aReply.Write("data: one\n\n");
    }
  }

  exchange_hooks Hooks()
  {
    exchange_hooks hooks;
    hooks.mOnce.mBegin = [](ledger::dispatch_request,
                            ledger::dispatch_callback aDone) {
      ledger::dispatch_decision decision;
      decision.mMayDispatch = true;
      aDone(decision);
    };
    hooks.mOnce.mFinished = [this](ledger::idempotency_key,
                                   outcome aOutcome,
                                   ledger::stored_answer_ptr) {
      mOutcome = aOutcome;
    };
    hooks.mAdmit = [](const call&) { return std::optional<refusal>{}; };
    hooks.mReleaseAdmission = [](const call&) {};
    hooks.mDecideRetry = [this](const policy::failed_attempt& aAttempt) {
      return policy::DecideRetry(
        aAttempt, mBudget, std::chrono::steady_clock::now());
    };
    hooks.mOnAttemptEnded =
      [](const call&, const upstream_id&, const attempt_result&) {};
    return hooks;
  }

  // Declares a class and aCount upstreams, all at the same port.
  void Declare(bool aIdempotent, unsigned aCount)
  {
    bundle declared;
    request_class item;
    item.mId = { "draft" };
    item.mIdempotent = aIdempotent;
    item.mOnce =
      aIdempotent ? at_most_once_mode::None : at_most_once_mode::Token;
    declared.mClasses = { item };
    client_account farm;
    farm.mId = { "farm" };
    farm.mKeyHash = Sha256Hex("secret");
    declared.mAccounts = { farm };
    std::vector<policy::upstream_view> views;
    for (unsigned number = 1; number <= aCount; ++number) {
      upstream_spec engine;
      engine.mId = { "engine-" + std::to_string(number) };
      engine.mDataCentre = { "valmiera" };
      engine.mAddress = "127.0.0.1";
      engine.mPort = mUpstream->Port();
      engine.mModels = { { "wool" } };
      declared.mUpstreams.push_back(engine);
      policy::upstream_view view;
      view.mId = engine.mId;
      view.mPools = { "wool" };
      view.mSlots = 1;
      views.push_back(view);
    }
    mBoard.mSelf = { { "vm-1" }, 1 };
    mBoard.mDataCentre = { "valmiera" };
    mBoard.mBundle = std::make_shared<const bundle>(declared);
    auto& self = mBoard.mMembers[mBoard.mSelf.mVm];
    self.mProcess = mBoard.mSelf;
    self.mDataCentre = mBoard.mDataCentre;
    self.mState = member_state::Live;
    mBroker.Configure(mBoard.mBundle);
    mBroker.SetUpstreams(views);
    mBroker.OnMembersChanged();
    mSnapshots.Store(std::make_shared<traffic_snapshot>(mBoard));
  }

  // Sends one request through a new server and returns the answer, or an error
  // if a stream broke off.
  wire::wire_result<wire::http_response> SendRequest(bool aStream)
  {
    const std::array workers{ &mContext };
    wire::http_server entry(
      mContext,
      workers,
      wire::http_server_settings{},
      [this](const wire::http_request& aRequest, wire::http_reply& aReply) {
        return ServeExchange(mServices, mClient, aRequest, aReply);
      });
    wire::http_request request;
    request.mMethod = "POST";
    request.mTarget = "/v1/chat/completions";
    request.mHeaders = { { "Authorization", "Bearer secret" },
                         { "X-Class", "draft" },
                         { "Idempotency-Key", "key" } };
    request.mBody = aStream ? R"({"model":"wool","prompt":"a","stream":true})"
                            : R"({"model":"wool","prompt":"a"})";
    const wire::endpoint target{ "127.0.0.1", entry.Port() };
    std::optional<wire::wire_result<wire::http_response>> answer;
    asio::co_spawn(mContext,
                   Fetch(target, request, answer),
                   [](std::exception_ptr aError) { EXPECT_FALSE(aError); });
    while (!answer && mContext.run_one() > 0) {
    }
    return std::move(answer).value();
  }

  asio::awaitable<void> Fetch(
    wire::endpoint aTarget,
    wire::http_request aRequest,
    std::optional<wire::wire_result<wire::http_response>>& aAnswer)
  {
    auto answer = co_await mClient.Fetch(aTarget, aRequest, 60s);
    aAnswer.emplace(std::move(answer));
  }

  asio::io_context mContext;
  blackboard mBoard;
  no_network mNetwork;
  manual_timer_service mTimers;
  slot_broker mBroker;
  dispatcher mDispatcher;
  snapshot_cell mSnapshots;
  pause_registry mPauses;
  metrics mMetrics;
  span_buffer mSpans;
  request_history_log mHistories;
  policy::retry_budget mBudget;
  exchange_services mServices;
  wire::http_client mClient{ mContext.get_executor(), {} };
  std::unique_ptr<wire::http_server> mUpstream;
  bool mSendEvent = false;
  unsigned mReceived = 0;
  std::optional<outcome> mOutcome;
};

TEST_F(
  exchange_fixture,
  Fault_CrashAfter_Request_Dispatch_NotRunIsNotSaidAfterAnAttemptThatMayHave)
{
  Declare(true, 2);
  const auto answer = SendRequest(false);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(mReceived, 1U);
  EXPECT_EQ(answer.value().Header("X-Outcome"), "unknown")
    << answer.value().mBody;
}

TEST_F(exchange_fixture,
       Fault_CrashAfter_Request_Stream_AStreamThatCanNotResumeIsNotStartedAgain)
{
  Declare(false, 3);
  mSendEvent = true;
  const auto answer = SendRequest(true);
  EXPECT_FALSE(answer.has_value());
  EXPECT_EQ(mReceived, 1U);
  ASSERT_TRUE(mOutcome.has_value());
  EXPECT_EQ(ToText(*mOutcome), "unknown");
}

TEST_F(exchange_fixture, OutcomeIsNotRunWhenNothingWasSent)
{
  Declare(true, 2);
  mUpstream->Drain();
  mContext.poll();
  mContext.restart();
  const auto answer = SendRequest(false);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(mReceived, 0U);
  EXPECT_EQ(answer.value().Header("X-Outcome"), "not_run");
}

} // namespace
} // namespace sapphirespar::router
