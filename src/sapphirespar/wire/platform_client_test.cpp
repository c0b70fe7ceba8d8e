// Tests of the platform client against a scripted HTTP server: the status that
// it reports for each response and for a lost response.
#include "sapphirespar/wire/platform_client.hpp"

#include "sapphirespar/base/mutation.hpp"
#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <optional>
#include <utility>

namespace sapphirespar::wire {
namespace {

using namespace std::chrono_literals;

const object_key kKey{ "bundle", "a/b" };

class platform_calls : public testing::Test
{
protected:
  platform_calls()
  {
    const std::array workers{ &mContext };
    mServer = std::make_unique<http_server>(
      mContext,
      workers,
      http_server_settings(),
      [this](const http_request& aRequest, http_reply& aReply) {
        return Answer(aRequest, aReply);
      });
    mClient = std::make_unique<platform_client>(mContext.get_executor(),
                                                SettingsFor(mServer->Port()));
  }

  static platform_client_settings SettingsFor(std::uint16_t aPort)
  {
    platform_client_settings settings;
    settings.mPlatform = { "127.0.0.1", aPort };
    settings.mTimeout = 30s;
    return settings;
  }

  // Sends mAnswer. Without one, returns without a response, which closes the
  // connection.
  asio::awaitable<void> Answer(const http_request& aRequest, http_reply& aReply)
  {
    mLastRequest = aRequest;
    if (mAnswer) {
      const auto answer = *mAnswer;
      if (mNextAnswer) {
        mAnswer = std::exchange(mNextAnswer, std::nullopt);
      }
      co_await aReply.Send(answer);
    }
  }

  // Makes a call with aCall and runs the context until it completes.
  template<class Answer, class Call>
  Answer Wait(Call aCall)
  {
    std::optional<Answer> answer;
    aCall([&](Answer aAnswer) {
      answer = std::move(aAnswer);
      mContext.stop();
    });
    mContext.restart();
    mContext.run();
    return answer.value();
  }

  object_answer Put()
  {
    return Wait<object_answer>(
      [&](auto aDone) { mClient->Put(kKey, "value", 3, aDone); });
  }
  object_answer Get()
  {
    return Wait<object_answer>([&](auto aDone) { mClient->Get(kKey, aDone); });
  }
  list_answer Watch()
  {
    return Wait<list_answer>(
      [&](auto aDone) { mClient->Watch("bundle", 4, 10ms, aDone); });
  }

  asio::io_context mContext;
  std::optional<http_response> mAnswer = http_response();
  // Replaces mAnswer once that has been sent.
  std::optional<http_response> mNextAnswer;
  http_request mLastRequest;
  std::unique_ptr<http_server> mServer;
  std::unique_ptr<platform_client> mClient;
};

TEST_F(platform_calls, EachAnswerTellsTheErasOfTheStore)
{
  mAnswer->mHeaders = { { "Store-Era", "4" } };
  for (const unsigned status : { 200U, 404U, 409U, 410U, 429U, 503U }) {
    mAnswer->mStatus = status;
    EXPECT_EQ(Get().mEra, 4U) << status;
    EXPECT_EQ(Put().mEra, 4U) << status;
    EXPECT_EQ(Watch().mEra, 4U) << status;
  }
}

// The store may send an answer twice, and the second copy comes where the next
// call expects its own.
TEST_F(platform_calls, AnAnswerToAnEarlierCallIsNotTaken)
{
  const std::string own =
    R"({"metadata":{"name":"a/b","revision":4},"spec":"value"})";
  const std::string otherObject =
    R"({"metadata":{"name":"c","revision":4},"spec":"value"})";
  const std::string otherValue =
    R"({"metadata":{"name":"a/b","revision":4},"spec":"before"})";
  mAnswer->mBody = own;
  EXPECT_EQ(Put().mStatus, platform_status::Ok);
  EXPECT_EQ(Get().mStatus, platform_status::Ok);
  mAnswer->mBody = otherObject;
  EXPECT_EQ(Put().mStatus, platform_status::Unknown);
  EXPECT_EQ(Get().mStatus, platform_status::Unknown);
  EXPECT_TRUE(Get().mObject.mValue.empty());
  mAnswer->mBody = otherValue;
  EXPECT_EQ(Put().mStatus, platform_status::Unknown);
}

TEST_F(platform_calls, AMalformedEraIsIgnored)
{
  for (const auto* era : { "",
                           "-1",
                           "4.5",
                           "4 5",
                           "x4",
                           "0x4",
                           "99999999999999999999",
                           "\xff" }) {
    mAnswer->mHeaders = { { "Store-Era", era } };
    EXPECT_EQ(Get().mEra, 0U) << era;
  }
  mAnswer->mHeaders.clear();
  EXPECT_EQ(Get().mEra, 0U);
}

TEST_F(platform_calls, AnUnreadableEntryDoesNotHideTheOthersOfItsList)
{
  const std::string nested = std::string(40, '[') + std::string(40, ']');
  for (const auto& value : { nested, std::string("\"\xff\"") }) {
    mAnswer->mBody = R"({"entries":[{"metadata":{"name":"a","revision":2},)"
                     R"("spec":"x"},{"metadata":{"name":"b","revision":3},)"
                     R"("spec":)" +
                     value + R"(}],"has_more":false,"at":9})";
    const auto answer =
      Wait<list_answer>([&](auto aDone) { mClient->List("bundle", aDone); });
    EXPECT_EQ(answer.mStatus, platform_status::Ok);
    EXPECT_EQ(answer.mVersion, 9U);
    ASSERT_EQ(answer.mObjects.size(), 2U);
    EXPECT_EQ(answer.mObjects[0].mValue, "x");
    EXPECT_EQ(answer.mObjects[1].mKey.mName, "b");
    EXPECT_EQ(answer.mObjects[1].mValue, "");
  }
}

TEST_F(platform_calls, AnUnreadableChangeIsToldWithoutItsValue)
{
  mAnswer->mBody =
    "{\"events\":[{\"object\":{\"metadata\":{\"name\":\"b\",\"revision\":3},"
    "\"spec\":\"\xff\"}}],\"at\":9}";
  const auto answer = Watch();
  EXPECT_EQ(answer.mStatus, platform_status::Ok);
  ASSERT_EQ(answer.mObjects.size(), 1U);
  EXPECT_EQ(answer.mObjects[0].mKey.mName, "b");
  // Without a name nobody knows what has changed.
  mAnswer->mBody = "{\"events\":[{\"object\":\"\xff\"}],\"at\":9}";
  EXPECT_EQ(Watch().mStatus, platform_status::Unavailable);
}

TEST_F(platform_calls, PagesOfTwoErasMakeNoList)
{
  mAnswer->mHeaders = { { "Store-Era", "4" } };
  mAnswer->mBody =
    R"({"entries":[{"metadata":{"name":"a","revision":9}}],"has_more":true,"at":9})";
  mNextAnswer = *mAnswer;
  mNextAnswer->mHeaders = { { "Store-Era", "5" } };
  mNextAnswer->mBody =
    R"({"entries":[{"metadata":{"name":"b","revision":3}}],"has_more":false,"at":3})";
  const auto answer =
    Wait<list_answer>([&](auto aDone) { mClient->List("bundle", aDone); });
  EXPECT_EQ(answer.mStatus, platform_status::Unavailable);
  EXPECT_EQ(answer.mEra, 5U);
  EXPECT_TRUE(answer.mObjects.empty());
}

TEST_F(platform_calls, AWriteNamesTheVersionItExpects)
{
  mAnswer->mBody = R"({"metadata":{"name":"a/b","revision":9},"spec":"value"})";
  const auto answer = Put();
  EXPECT_EQ(answer.mStatus, platform_status::Ok);
  EXPECT_EQ(answer.mObject.mVersion, 9U);
  EXPECT_EQ(answer.mObject.mValue, "value");
  EXPECT_EQ(mLastRequest.mMethod, "PUT");
  EXPECT_EQ(mLastRequest.mTarget, "/objects/bundle/a%2Fb");
  EXPECT_EQ(mLastRequest.mBody,
            R"({"metadata":{"name":"a/b","revision":3},"spec":"value"})");
}

TEST_F(platform_calls, AnObjectThatMustNotExistIsCreated)
{
  mAnswer->mBody = R"({"metadata":{"name":"a/b","revision":9},"spec":"value"})";
  const auto answer = Wait<object_answer>(
    [&](auto aDone) { mClient->Put(kKey, "value", kNoObject, aDone); });
  EXPECT_EQ(answer.mObject.mVersion, 9U);
  EXPECT_EQ(mLastRequest.mMethod, "POST");
  EXPECT_EQ(mLastRequest.mTarget, "/objects/bundle");
  EXPECT_EQ(mLastRequest.mBody,
            R"({"metadata":{"name":"a/b"},"spec":"value"})");
}

TEST_F(platform_calls, ADeleteNamesTheVersionItExpects)
{
  mAnswer->mBody = R"({"metadata":{"name":"a/b","revision":9},"spec":"value"})";
  const auto answer =
    Wait<object_answer>([&](auto aDone) { mClient->Delete(kKey, 9, aDone); });
  EXPECT_EQ(answer.mStatus, platform_status::Ok);
  EXPECT_TRUE(answer.mObject.mDeleted);
  EXPECT_EQ(mLastRequest.mMethod, "DELETE");
  EXPECT_EQ(mLastRequest.mTarget, "/objects/bundle/a%2Fb?revision=9");
}

TEST_F(platform_calls, AConflictReturnsTheCurrentObject)
{
  mAnswer->mStatus = 409;
  mAnswer->mBody = R"({"metadata":{"name":"a/b","revision":8},"spec":"other"})";
  const auto answer = Put();
  EXPECT_EQ(answer.mStatus, platform_status::Conflict);
  EXPECT_EQ(answer.mObject.mVersion, 8U);
  EXPECT_EQ(answer.mObject.mValue, "other");
}

TEST_F(platform_calls, ANonStringValueIsReturnedAsJson)
{
  mAnswer->mBody =
    R"({"metadata":{"name":"a/b","revision":8},"spec":{"version":7}})";
  EXPECT_EQ(Get().mObject.mValue, R"({"version":7})");
}

TEST_F(platform_calls, MapsEachHttpStatus)
{
  const std::array<std::pair<unsigned, platform_status>, 6> cases{ {
    { 409, platform_status::Conflict },
    { 413, platform_status::TooLarge },
    { 429, platform_status::Throttled },
    { 503, platform_status::Unavailable },
    { 500, platform_status::Unknown },
    // The object to be replaced does not exist.
    { 404, platform_status::Conflict },
  } };
  for (const auto& [status, expected] : cases) {
    mAnswer->mStatus = status;
    EXPECT_EQ(Put().mStatus, expected) << status;
  }
  mAnswer->mStatus = 404;
  EXPECT_EQ(Get().mStatus, platform_status::NotFound);
  mAnswer->mStatus = 410;
  EXPECT_EQ(Watch().mStatus, platform_status::Compacted);
}

TEST_F(platform_calls, ALostAnswerLeavesAWriteUnknownButNotARead)
{
  mAnswer.reset();
  EXPECT_EQ(Put().mStatus, platform_status::Unknown);
  EXPECT_EQ(Get().mStatus, platform_status::Unavailable);
}

TEST_F(platform_calls, ARefusedConnectionProvesThatNothingWasWritten)
{
  asio::ip::tcp::acceptor closed(mContext,
                                 { asio::ip::make_address("127.0.0.1"), 0 });
  const auto port = closed.local_endpoint().port();
  closed.close();
  mClient = std::make_unique<platform_client>(mContext.get_executor(),
                                              SettingsFor(port));
  EXPECT_EQ(Put().mStatus, platform_status::Unavailable);
}

TEST_F(platform_calls, ParsesWatchEventsAndVms)
{
  mAnswer->mBody = R"({"at":12,"events":[
    {"deleted":false,"object":
      {"metadata":{"name":"current","revision":7},"spec":"text"}},
    {"deleted":true,"object":{"metadata":{"name":"old","revision":12}}},
    {"deleted":false,"object":"no object"}]})";
  const auto watched = Watch();
  EXPECT_EQ(mLastRequest.mTarget, "/objects/bundle?watch=4&wait_ms=10");
  ASSERT_EQ(watched.mObjects.size(), 2U);
  EXPECT_EQ(watched.mVersion, 12U);
  EXPECT_EQ(watched.mObjects[0].mKey, (object_key{ "bundle", "current" }));
  EXPECT_EQ(watched.mObjects[0].mValue, "text");
  EXPECT_TRUE(watched.mObjects[1].mDeleted);

  mAnswer->mBody = R"({"vms":[{"vm":"vm-1","data_centre":"galle",
    "address":"127.0.0.1","port":80,"peer_port":81,"leaving":true}]})";
  const auto vms =
    Wait<vm_list_answer>([&](auto aDone) { mClient->ListVms(aDone); });
  EXPECT_EQ(vms.mVms.at(0).mPeerPort, 81);
  EXPECT_TRUE(vms.mVms.at(0).mLeaving);

  mAnswer->mBody = "not JSON";
  EXPECT_EQ(Watch().mStatus, platform_status::Unavailable);
}

TEST_F(platform_calls, AListIsReadPageByPage)
{
  mAnswer->mBody = R"({"at":5,"has_more":true,"entries":[
    {"metadata":{"name":"a","revision":1},"spec":"one"}]})";
  mNextAnswer = http_response{ 200, {}, R"({"at":9,"has_more":false,"entries":[
    {"metadata":{"name":"b","revision":2},"spec":"two"}]})" };
  const auto listed =
    Wait<list_answer>([&](auto aDone) { mClient->List("bundle", aDone); });
  EXPECT_EQ(listed.mStatus, platform_status::Ok);
  ASSERT_EQ(listed.mObjects.size(), 2U);
  EXPECT_EQ(listed.mObjects[1].mValue, "two");
  // A watch from this version also reports changes between the two pages.
  EXPECT_EQ(listed.mVersion, 5U);
  EXPECT_EQ(mLastRequest.mTarget, "/objects/bundle?after=a");
}

// A store that returns one page again and again would otherwise be asked for it
// without end.
TEST_F(platform_calls, AListWhosePagesRepeatFails)
{
  mAnswer->mBody = R"({"at":5,"has_more":true,"entries":[
    {"metadata":{"name":"a","revision":1},"spec":"one"}]})";
  const auto listed =
    Wait<list_answer>([&](auto aDone) { mClient->List("bundle", aDone); });
  EXPECT_EQ(listed.mStatus, platform_status::Unavailable);
  EXPECT_EQ(mLastRequest.mTarget, "/objects/bundle?after=a");
  mAnswer->mBody = R"({"at":5,"has_more":true,"entries":[]})";
  const auto empty =
    Wait<list_answer>([&](auto aDone) { mClient->List("bundle", aDone); });
  EXPECT_EQ(empty.mStatus, platform_status::Unavailable);
}

// Version zero means that an object does not exist, so an answer without a
// revision must not look like a success.
TEST_F(platform_calls, ASuccessWithoutARevisionIsUnknown)
{
  mAnswer->mBody = R"({"metadata":{"name":"a/b"},"spec":"text"})";
  EXPECT_EQ(Get().mStatus, platform_status::Unknown);
  EXPECT_EQ(Put().mStatus, platform_status::Unknown);
  mAnswer->mBody = R"({"metadata":{"name":"a/b","revision":-4}})";
  EXPECT_EQ(Get().mStatus, platform_status::Unknown);
}

TEST_F(platform_calls, AVmWithAnInvalidPortIsLeftOut)
{
  mAnswer->mBody = R"({"vms":[
    {"vm":"vm-1","address":"127.0.0.1","port":65616,"peer_port":81},
    {"vm":"vm-2","address":"127.0.0.1","port":80,"peer_port":65617},
    {"vm":"vm-3","address":"127.0.0.1","port":80,"peer_port":81}]})";
  const auto vms =
    Wait<vm_list_answer>([&](auto aDone) { mClient->ListVms(aDone); });
  ASSERT_EQ(vms.mVms.size(), 1U);
  EXPECT_EQ(vms.mVms[0].mVm, "vm-3");
}

RC_GTEST_FIXTURE_PROP(platform_calls,
                      ADamagedAnswerIsReadOrReportedAsFailed,
                      ())
{
  const auto damage = *rc::gen::container<std::vector<text_mutation>>(
    rc::gen::construct<text_mutation>(
      rc::gen::inRange<std::size_t>(0, 200),
      rc::gen::inRange<std::size_t>(0, 10),
      rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                     rc::gen::element<std::string>(
                       "", "\"", "{", "[]", "null", "-1", "1e99"))));
  mAnswer->mBody =
    Mutate(R"({"at":12,"events":[{"deleted":false,"object":)"
           R"({"metadata":{"name":"a","revision":7},"spec":"text"}}]})",
           damage);
  const auto watched = Watch();
  RC_ASSERT(watched.mStatus == platform_status::Ok ||
            watched.mStatus == platform_status::Unavailable);
  mAnswer->mBody =
    Mutate(R"({"metadata":{"name":"a","revision":7},"spec":"text"})", damage);
  const auto read = Get();
  RC_ASSERT(read.mStatus == platform_status::Ok ||
            read.mStatus == platform_status::Unknown);
  Put();
  mAnswer->mBody = Mutate(
    R"({"vms":[{"vm":"v","data_centre":"g","address":"127.0.0.1","port":80}]})",
    damage);
  const auto vms =
    Wait<vm_list_answer>([&](auto aDone) { mClient->ListVms(aDone); });
  RC_ASSERT(vms.mStatus == platform_status::Ok ||
            vms.mStatus == platform_status::Unavailable);
}

} // namespace
} // namespace sapphirespar::wire
