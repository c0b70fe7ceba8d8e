// Tests of the platform client against a scripted HTTP server: what each
// answer, and each loss of one, is reported as.
#include "sapphirespar/wire/platform_client.hpp"

#include "sapphirespar/base/mutation.hpp"
#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <optional>

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

  // Returns without an answer, which closes the connection, if there is none.
  asio::awaitable<void> Answer(const http_request& aRequest, http_reply& aReply)
  {
    mSeen = aRequest;
    if (mAnswer) {
      co_await aReply.Send(*mAnswer);
    }
  }

  // Runs until the call made by aCall has been answered.
  template<class Answer, class Call>
  Answer Wait(Call aCall)
  {
    std::optional<Answer> got;
    aCall([&](Answer aAnswer) {
      got = std::move(aAnswer);
      mContext.stop();
    });
    mContext.restart();
    mContext.run();
    return got.value();
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
  http_request mSeen;
  std::unique_ptr<http_server> mServer;
  std::unique_ptr<platform_client> mClient;
};

TEST_F(platform_calls, AWriteNamesTheVersionItExpects)
{
  mAnswer->mHeaders = { { "X-Object-Version", "9" } };
  const auto answer = Put();
  EXPECT_EQ(answer.mStatus, platform_status::Ok);
  EXPECT_EQ(answer.mObject.mVersion, 9U);
  EXPECT_EQ(mSeen.mMethod, "PUT");
  EXPECT_EQ(mSeen.mTarget, "/objects/bundle/a%2Fb");
  EXPECT_EQ(mSeen.Header("If-Match"), "3");
  EXPECT_EQ(mSeen.mBody, "value");
}

TEST_F(platform_calls, EachHttpStatusHasItsMeaning)
{
  const std::array<std::pair<unsigned, platform_status>, 6> meanings{ {
    { 409, platform_status::Conflict },
    { 413, platform_status::TooLarge },
    { 429, platform_status::Throttled },
    { 503, platform_status::Unavailable },
    { 500, platform_status::Unknown },
    { 404, platform_status::NotFound },
  } };
  for (const auto& [status, meaning] : meanings) {
    mAnswer->mStatus = status;
    EXPECT_EQ(Put().mStatus, meaning) << status;
  }
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

TEST_F(platform_calls, ReadsListsWatchesAndVms)
{
  mAnswer->mBody = R"({"version":12,"objects":[
    {"name":"current","version":7,"value":"text"},
    {"name":"old","version":12,"deleted":true}]})";
  const auto watched = Watch();
  EXPECT_EQ(mSeen.mTarget, "/objects/bundle?watch_from=4&wait_ms=10");
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

RC_GTEST_FIXTURE_PROP(platform_calls, ADamagedAnswerIsReadOrUnavailable, ())
{
  const auto damage = *rc::gen::container<std::vector<text_mutation>>(
    rc::gen::construct<text_mutation>(
      rc::gen::inRange<std::size_t>(0, 200),
      rc::gen::inRange<std::size_t>(0, 10),
      rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                     rc::gen::element<std::string>(
                       "", "\"", "{", "[]", "null", "-1", "1e99"))));
  mAnswer->mHeaders = { { "X-Object-Version",
                          Mutate("9", { damage.data(), damage.size() / 4 }) } };
  // A header cannot hold a line break; the server would not send it.
  std::erase_if(mAnswer->mHeaders[0].mValue, [](unsigned char aLetter) {
    return aLetter < ' ' || aLetter > '~';
  });
  mAnswer->mBody = Mutate(
    R"({"version":12,"objects":[{"name":"a","version":7,"value":"text"}]})",
    damage);
  const auto watched = Watch();
  RC_ASSERT(watched.mStatus == platform_status::Ok ||
            watched.mStatus == platform_status::Unavailable);
  Get();
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
