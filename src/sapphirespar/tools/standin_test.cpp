// Tests of the stand-ins over loopback, and of their answer texts.
#include "sapphirespar/tools/expected_answer.hpp"
#include "sapphirespar/tools/standin_engine.hpp"
#include "sapphirespar/tools/standin_platform.hpp"
#include "sapphirespar/tools/standin_service.hpp"
#include "sapphirespar/wire/http_client.hpp"

#include "standin_http.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace sapphirespar::tools {
namespace {

using namespace std::chrono_literals;

constexpr auto kTimeout = 10s;

TEST(ExpectedAnswer,
     EveryPrefixOfAnAnswerIsTruncatedAndOnlyTheFullTextIsComplete)
{
  EXPECT_TRUE(rc::check([](std::string aPrompt) {
    const unsigned tokens = *rc::gen::inRange(1U, 40U);
    const auto answer = ExpectedAnswer(aPrompt, tokens);
    RC_ASSERT(CheckAnswer(aPrompt, answer) == answer_check::Complete);
    const auto head = answer.find('>') + 1;
    const auto length = *rc::gen::inRange(head, answer.size());
    RC_ASSERT(CheckAnswer(aPrompt, answer.substr(0, length)) ==
              answer_check::Truncated);
    RC_ASSERT(CheckAnswer(aPrompt + "x", answer) == answer_check::OtherRequest);
    RC_ASSERT(CheckAnswer(aPrompt, answer + answer) == answer_check::Garbled);
  }));
}

TEST(ExpectedAnswer, AnswerLengthsAreHeavyTailedAndWithinTheLimit)
{
  constexpr unsigned kLimit = 400;
  unsigned atMostMedian = 0;
  unsigned atLimit = 0;
  for (unsigned index = 0; index < 1000; ++index) {
    const auto length = AnswerLength(std::to_string(index), 7, kLimit);
    EXPECT_GE(length, 1U);
    EXPECT_LE(length, kLimit);
    atMostMedian += length <= kLimit / 4 ? 1 : 0;
    atLimit += length == kLimit ? 1 : 0;
  }
  EXPECT_NEAR(atMostMedian, 500, 60);
  EXPECT_GT(atLimit, 20U);
}

class standin_exchange : public testing::Test
{
protected:
  // Runs aWork to its end on the context that serves the stand-ins.
  void Run(asio::awaitable<void> aWork)
  {
    asio::co_spawn(mContext, std::move(aWork), [&](std::exception_ptr aError) {
      EXPECT_FALSE(aError);
      mContext.stop();
    });
    mContext.run();
    mContext.restart();
  }

  asio::awaitable<wire::http_response> Call(std::uint16_t aPort,
                                            std::string aMethod,
                                            std::string aTarget,
                                            std::string aBody = {},
                                            wire::http_headers aHeaders = {})
  {
    wire::endpoint endpoint{ "127.0.0.1", aPort };
    wire::http_request request;
    request.mMethod = std::move(aMethod);
    request.mTarget = std::move(aTarget);
    request.mBody = std::move(aBody);
    request.mHeaders = std::move(aHeaders);
    auto answer =
      co_await mClient.Fetch(endpoint, std::move(request), kTimeout);
    if (!answer) {
      wire::http_response none;
      none.mStatus = 0;
      co_return none;
    }
    co_return std::move(answer).value();
  }

  asio::io_context mContext;
  wire::http_client mClient{ mContext.get_executor(), {} };
};

class engine_exchange : public standin_exchange
{
protected:
  static engine_settings FastSettings()
  {
    engine_settings settings;
    settings.mSlots = 2;
    settings.mFirstToken = 0us;
    settings.mTokenInterval = 100us;
    return settings;
  }

  standin_engine mEngine{ mContext, FastSettings() };
};

TEST_F(engine_exchange, AnswersTheWholeExpectedText)
{
  Run([](auto* aSelf) -> asio::awaitable<void> {
    const auto response = co_await aSelf->Call(
      aSelf->mEngine.Port(),
      "POST",
      "/v1/completions",
      R"({"model":"m","prompt":"price of lambs","max_tokens":40})");
    EXPECT_EQ(response.mStatus, 200U);
    const auto body = ParseObject(response.mBody);
    EXPECT_TRUE(body);
    const auto& choice = body->at("choices").as_array().at(0).as_object();
    const auto text = TextOr(choice.at("message").as_object(), "content", "");
    EXPECT_EQ(CheckAnswer("price of lambs", text), answer_check::Complete);
  }(this));
}

TEST_F(engine_exchange, ACrashDropsRunningRequestsAndForgetsThem)
{
  Run([](auto* aSelf) -> asio::awaitable<void> {
    const auto port = aSelf->mEngine.Port();
    // The answer is slow enough that the crash happens first.
    co_await aSelf->Call(port, "PUT", "/faults", R"({"slow_factor":10000})");
    wire::endpoint endpoint{ "127.0.0.1", port };
    wire::http_request request;
    request.mMethod = "POST";
    request.mTarget = "/v1/completions";
    request.mBody = R"({"prompt":"x","max_tokens":400,"stream":true})";
    request.mHeaders.push_back({ "X-Request-Id", "r1" });
    auto stream =
      co_await aSelf->mClient.Open(endpoint, std::move(request), kTimeout);
    EXPECT_TRUE(stream.has_value());
    co_await aSelf->Call(port, "PUT", "/faults", R"({"crash":true})");
    const auto piece = co_await stream.value()->Read(kTimeout);
    EXPECT_FALSE(piece.has_value());
    const auto refused = co_await aSelf->Call(port, "GET", "/v1/load");
    EXPECT_EQ(refused.mStatus, 0U);
    co_await aSelf->Call(port, "PUT", "/faults", R"({"crash":false})");
    const auto forgotten =
      co_await aSelf->Call(port, "POST", "/v1/requests/r1/continue?from=0");
    EXPECT_EQ(forgotten.mStatus, 404U);
  }(this));
}

TEST_F(engine_exchange, OldFencingNumbersAreRefusedOnlyWhereTheyAreChecked)
{
  engine_settings settings = FastSettings();
  settings.mChecksFencing = true;
  const standin_engine strict(mContext, settings);
  Run([](auto* aSelf, std::uint16_t aStrict) -> asio::awaitable<void> {
    const std::string newer = R"({"fence":5,"order":"load_model","model":"a"})";
    const std::string older = R"({"fence":4,"order":"load_model","model":"b"})";
    const std::string page = "/v1/orders";
    const auto loose = aSelf->mEngine.Port();
    const auto looseNewer = co_await aSelf->Call(loose, "POST", page, newer);
    EXPECT_EQ(looseNewer.mStatus, 200U);
    const auto looseOlder = co_await aSelf->Call(loose, "POST", page, older);
    EXPECT_EQ(looseOlder.mStatus, 200U);
    const auto strictNewer = co_await aSelf->Call(aStrict, "POST", page, newer);
    EXPECT_EQ(strictNewer.mStatus, 200U);
    const auto strictOlder = co_await aSelf->Call(aStrict, "POST", page, older);
    EXPECT_EQ(strictOlder.mStatus, 409U);
  }(this, strict.Port()));
}

class service_exchange : public standin_exchange
{
protected:
  standin_service mService{ mContext, service_settings{} };
};

TEST_F(service_exchange, ALostAnswerStillCountsItsRun)
{
  Run([](auto* aSelf) -> asio::awaitable<void> {
    const auto port = aSelf->mService.Port();
    wire::http_headers key;
    key.push_back({ "Idempotency-Key", "k1" });
    co_await aSelf->Call(port, "PUT", "/faults", R"({"lose_answers":1})");
    const auto lost = co_await aSelf->Call(port, "POST", "/book", "{}", key);
    EXPECT_EQ(lost.mStatus, 0U);
    const auto again = co_await aSelf->Call(port, "POST", "/book", "{}", key);
    EXPECT_EQ(again.mStatus, 200U);
    const auto audit = co_await aSelf->Call(port, "GET", "/audit");
    EXPECT_EQ(audit.mBody, R"({"runs":{"k1":2}})");
  }(this));
}

class platform_exchange : public standin_exchange
{
protected:
  // Creates the object if aRevision is 0, replaces it otherwise.
  asio::awaitable<wire::http_response> Write(std::string aValue,
                                             std::uint64_t aRevision)
  {
    std::string body = R"({"metadata":{"name":"current","revision":)" +
                       std::to_string(aRevision) + R"(},"spec":")" + aValue +
                       R"("})";
    const bool creates = aRevision == 0;
    co_return co_await Call(mPlatform.Port(),
                            creates ? "POST" : "PUT",
                            creates ? "/objects/bundle"
                                    : "/objects/bundle/current",
                            std::move(body));
  }

  // Returns the expected response body for an object with this value and
  // revision.
  static std::string Object(std::string_view aValue, unsigned aRevision)
  {
    return R"({"metadata":{"name":"current","revision":)" +
           std::to_string(aRevision) +
           R"(,"finalizers":[],"deletion_pending":false},"spec":")" +
           std::string(aValue) + R"(","status":null})";
  }

  standin_platform mPlatform{ mContext, platform_settings{} };
};

TEST_F(platform_exchange, OnlyTheExpectedVersionIsReplaced)
{
  Run([](auto* aSelf) -> asio::awaitable<void> {
    const auto created = co_await aSelf->Write("one", 0);
    EXPECT_EQ(created.mStatus, 200U);
    EXPECT_EQ(created.mBody, Object("one", 1));
    const auto raced = co_await aSelf->Write("two", 0);
    EXPECT_EQ(raced.mStatus, 409U);
    EXPECT_EQ(raced.mBody, Object("one", 1));
    const auto replaced = co_await aSelf->Write("three", 1);
    EXPECT_EQ(replaced.mStatus, 200U);
    const auto read = co_await aSelf->Call(
      aSelf->mPlatform.Port(), "GET", "/objects/bundle/current");
    EXPECT_EQ(read.mBody, Object("three", 2));
    const auto stale = co_await aSelf->Call(
      aSelf->mPlatform.Port(), "DELETE", "/objects/bundle/current?revision=1");
    EXPECT_EQ(stale.mStatus, 409U);
    const auto deleted = co_await aSelf->Call(
      aSelf->mPlatform.Port(), "DELETE", "/objects/bundle/current?revision=2");
    EXPECT_EQ(deleted.mStatus, 200U);
    const auto late = co_await aSelf->Write("four", 2);
    EXPECT_EQ(late.mStatus, 404U);
  }(this));
}

TEST_F(platform_exchange, AWriteWhoseAnswerIsLostHasTakenEffect)
{
  Run([](auto* aSelf) -> asio::awaitable<void> {
    const auto port = aSelf->mPlatform.Port();
    co_await aSelf->Call(port, "PUT", "/faults", R"({"lose_answers":1})");
    const auto answer = co_await aSelf->Write("one", 0);
    EXPECT_EQ(answer.mStatus, 0U);
    const auto read =
      co_await aSelf->Call(port, "GET", "/objects/bundle/current");
    EXPECT_EQ(read.mBody, Object("one", 1));
  }(this));
}

TEST_F(platform_exchange, AWatchEndsWithTheNextChange)
{
  asio::co_spawn(
    mContext,
    [](auto* aSelf) -> asio::awaitable<void> {
      co_await Sleep(10ms);
      co_await aSelf->Write("one", 0);
    }(this),
    asio::detached);
  Run([](auto* aSelf) -> asio::awaitable<void> {
    const auto seen = co_await aSelf->Call(
      aSelf->mPlatform.Port(), "GET", "/objects/bundle?watch=0&wait_ms=9000");
    EXPECT_EQ(seen.mBody,
              R"({"events":[{"deleted":false,"object":)" + Object("one", 1) +
                R"(}],"at":1})");
  }(this));
}

TEST_F(platform_exchange, AnOutageRefusesEveryCallAndChangesNothing)
{
  Run([](auto* aSelf) -> asio::awaitable<void> {
    const auto port = aSelf->mPlatform.Port();
    co_await aSelf->Call(port, "PUT", "/faults", R"({"outage":true})");
    const auto answer = co_await aSelf->Write("one", 0);
    EXPECT_EQ(answer.mStatus, 503U);
    co_await aSelf->Call(port, "PUT", "/faults", R"({"outage":false})");
    const auto read =
      co_await aSelf->Call(port, "GET", "/objects/bundle/current");
    EXPECT_EQ(read.mStatus, 404U);
  }(this));
}

} // namespace
} // namespace sapphirespar::tools
