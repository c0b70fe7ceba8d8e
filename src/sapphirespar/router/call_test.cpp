// Tests the parsing of valid and invalid requests.
#include "sapphirespar/router/call.hpp"

#include "sapphirespar/config/signing.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::router {
namespace {

using namespace std::chrono_literals;

snapshot_ptr
MakeSnapshot()
{
  bundle declared;
  request_class brief;
  brief.mId = { "brief" };
  brief.mFirstTokenTarget = 500ms;
  brief.mAnswerTarget = 5000ms;
  request_class booking;
  booking.mId = { "booking" };
  booking.mKind = upstream_kind::Service;
  booking.mIdempotent = false;
  booking.mOnce = at_most_once_mode::Token;
  declared.mClasses = { brief, booking };
  client_account farm;
  farm.mId = { "farm" };
  farm.mKeyHash = Sha256Hex("secret");
  client_account tagger = farm;
  tagger.mId = { "tagger" };
  tagger.mKeyHash = Sha256Hex("other");
  tagger.mClasses = { { "booking" } };
  declared.mAccounts = { farm, tagger };
  upstream_spec engine;
  engine.mId = { "engine-1" };
  engine.mModels = { { "wool" } };
  upstream_spec desk;
  desk.mId = { "desk-1" };
  desk.mKind = upstream_kind::Service;
  desk.mService = "desk";
  declared.mUpstreams = { engine, desk };
  blackboard board;
  board.mBundle = std::make_shared<const bundle>(declared);
  return std::make_shared<traffic_snapshot>(board);
}

wire::http_request
GoodRequest()
{
  return {
    "POST",
    "/v1/chat/completions",
    { { "Authorization", "Bearer secret" },
      { "X-Class", "brief" },
      { "Cookie", "private" } },
    R"({"model":"wool","messages":[{"content":"price?"}],"stream":true})"
  };
}

std::variant<call, refusal>
Parse(const wire::http_request& aRequest)
{
  return ParseCall(aRequest, MakeSnapshot(), { "id" }, steady_time{});
}

// Expects a refusal with the outcome "not run", whose detail contains aDetail,
// the invalid header or key.
void
ExpectRefused(const wire::http_request& aRequest,
              refusal_reason aReason,
              std::string_view aDetail)
{
  const auto parsed = Parse(aRequest);
  const auto* refused = std::get_if<refusal>(&parsed);
  ASSERT_NE(refused, nullptr);
  EXPECT_EQ(ToText(refused->mReason), ToText(aReason));
  EXPECT_EQ(refused->mOutcome, outcome::NotRun);
  EXPECT_NE(refused->mDetail.find(aDetail), std::string::npos)
    << refused->mDetail;
}

TEST(ParseCall, ReadsClassPoolDeadlineAndSize)
{
  const auto parsed = Parse(GoodRequest());
  const auto& good = std::get<call>(parsed);
  EXPECT_EQ(good.mClass->mId.mText, "brief");
  EXPECT_EQ(good.mAccount->mId.mText, "farm");
  EXPECT_EQ(good.mQueued.mPool, "wool");
  EXPECT_TRUE(good.mStream);
  EXPECT_EQ(good.mQueued.mFirstTokenBy - steady_time{}, 500ms);
  EXPECT_EQ(good.mQueued.mAnswerBy - steady_time{}, 5000ms);
}

TEST(ParseCall, DoesNotForwardCredentialsOrCookies)
{
  const auto parsed = Parse(GoodRequest());
  const auto& forward = std::get<call>(parsed).mForward;
  EXPECT_EQ(forward.Header("Authorization"), "");
  EXPECT_EQ(forward.Header("Cookie"), "");
}

TEST(ParseCall, AShorterDeadlineFromTheCallerApplies)
{
  auto request = GoodRequest();
  request.mHeaders.push_back({ "X-Deadline-Ms", "200" });
  const auto parsed = Parse(request);
  const auto& queued = std::get<call>(parsed).mQueued;
  EXPECT_EQ(queued.mAnswerBy - steady_time{}, 200ms);
  EXPECT_EQ(queued.mFirstTokenBy - steady_time{}, 200ms);
}

TEST(ParseCall, SplitsServiceAndPath)
{
  wire::http_request request{ "POST",
                              "/v1/services/desk/book?lot=7",
                              { { "Authorization", "Bearer secret" },
                                { "X-Class", "booking" },
                                { "Idempotency-Key", "k" } },
                              "{}" };
  const auto parsed = Parse(request);
  const auto& good = std::get<call>(parsed);
  EXPECT_EQ(good.mQueued.mPool, "/desk");
  EXPECT_EQ(good.mForward.mTarget, "/book?lot=7");
  request.mHeaders.pop_back();
  ExpectRefused(request, refusal_reason::MissingKey, "Idempotency-Key");
}

TEST(ParseCall, NamesTheInvalidHeader)
{
  auto request = GoodRequest();
  request.mHeaders[0].mValue = "Bearer wrong";
  ExpectRefused(request, refusal_reason::Unauthorized, "Authorization");
  request = GoodRequest();
  request.mHeaders[1].mValue = "none";
  ExpectRefused(request, refusal_reason::NoSuchClass, "X-Class");
  request = GoodRequest();
  request.mHeaders[0].mValue = "Bearer other";
  ExpectRefused(request, refusal_reason::ClassNotAllowed, "X-Class");
  request = GoodRequest();
  request.mHeaders.push_back({ "X-Deadline-Ms", "soon" });
  ExpectRefused(request, refusal_reason::BadRequest, "X-Deadline-Ms");
}

TEST(ParseCall, NamesTheInvalidPartOfTheBody)
{
  const auto refuse = [](std::string aBody, std::string_view aDetail) {
    auto request = GoodRequest();
    request.mBody = std::move(aBody);
    ExpectRefused(request, refusal_reason::BadRequest, aDetail);
  };
  refuse("{\"model\":", "body");
  refuse("[]", "body");
  refuse("{}", "model");
  refuse(R"({"model":"wool"})", "messages");
  refuse(R"({"model":"wool","prompt":"a","max_tokens":0})", "max_tokens");
  refuse(R"({"model":"wool","prompt":"a","stream":1})", "stream");
}

TEST(ParseCall, RefusesAModelThatNothingServes)
{
  auto request = GoodRequest();
  request.mBody = R"({"model":"none","prompt":"a"})";
  ExpectRefused(request, refusal_reason::NoSuchModel, "none");
}

TEST(ParseCall, RefusesBeforeTheFirstBundle)
{
  const auto empty = std::make_shared<traffic_snapshot>(blackboard{});
  const auto parsed = ParseCall(GoodRequest(), empty, { "id" }, steady_time{});
  EXPECT_EQ(std::get<refusal>(parsed).mReason, refusal_reason::NotReady);
}

// An earlier request with the same key may have run under a bundle that allowed
// it, so "not run" would be false.
TEST(Call, ARefusedRequestWithAPossiblyUsedKeyHasAnUnknownOutcome)
{
  auto request = GoodRequest();
  request.mHeaders[0].mValue = "Bearer revoked";
  request.mHeaders.push_back({ "Idempotency-Key", "lot-7" });
  EXPECT_EQ(std::get<refusal>(Parse(request)).mOutcome, outcome::Unknown);
  request.mHeaders.push_back({ "X-First-Attempt", "true" });
  EXPECT_EQ(std::get<refusal>(Parse(request)).mOutcome, outcome::NotRun);
}

} // namespace
} // namespace sapphirespar::router
