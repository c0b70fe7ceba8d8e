// Tests that the in-memory platform behaves like the real one.
#include "sapphirespar/model/fake_platform.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace sapphirespar {
namespace {

using namespace std::chrono_literals;

const object_key kKey{ "bundle", "current" };

class fake_platform_calls : public testing::Test
{
protected:
  object_answer Put(std::string aValue, object_version aExpected)
  {
    std::optional<object_answer> answer;
    mClient.Put(kKey, std::move(aValue), aExpected, [&](auto aAnswer) {
      answer = aAnswer;
    });
    mTimers.Advance(1s);
    return answer.value();
  }

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  fake_platform mClient{ mTimers, mStore };
};

TEST_F(fake_platform_calls, WritesOnlyOnTheExpectedVersion)
{
  const auto first = Put("one", kNoObject);
  EXPECT_EQ(first.mStatus, platform_status::Ok);
  const auto second = Put("two", kNoObject);
  EXPECT_EQ(second.mStatus, platform_status::Conflict);
  EXPECT_EQ(second.mObject.mValue, "one");
  EXPECT_EQ(Put("two", first.mObject.mVersion).mStatus, platform_status::Ok);
}

TEST_F(fake_platform_calls, ALostAnswerTakesEffectAndALostRequestDoesNot)
{
  mClient.Faults().mLoseRequests = 1;
  EXPECT_EQ(Put("one", kNoObject).mStatus, platform_status::Unknown);
  EXPECT_EQ(mStore->Find(kKey), nullptr);
  mClient.Faults().mLoseAnswers = 1;
  EXPECT_EQ(Put("one", kNoObject).mStatus, platform_status::Unknown);
  EXPECT_EQ(mStore->Find(kKey)->mValue, "one");
}

TEST_F(fake_platform_calls, AWatchEndsWithTheChangeOrAfterItsWait)
{
  std::vector<list_answer> answers;
  const auto keep = [&](list_answer aAnswer) { answers.push_back(aAnswer); };
  mClient.Watch("bundle", 0, 5000ms, keep);
  mTimers.Advance(1s);
  EXPECT_TRUE(answers.empty());
  Put("one", kNoObject);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].mObjects[0].mValue, "one");
  mClient.Watch("bundle", answers[0].mVersion, 5000ms, keep);
  mTimers.Advance(6s);
  ASSERT_EQ(answers.size(), 2U);
  EXPECT_TRUE(answers[1].mObjects.empty());
  EXPECT_EQ(answers[1].mStatus, platform_status::Ok);
}

TEST_F(fake_platform_calls, AnOutageFailsCallsAndMakesWritesInFlightUnknown)
{
  mClient.Faults().mDelay = 2s;
  std::optional<object_answer> answer;
  mClient.Put(kKey, "one", kNoObject, [&](auto aAnswer) { answer = aAnswer; });
  mTimers.Advance(1s);
  mClient.Faults().mOutage = true;
  mTimers.Advance(1s);
  EXPECT_EQ(answer->mStatus, platform_status::Unknown);
  mClient.Faults().mDelay = 0s;
  EXPECT_EQ(Put("two", 1).mStatus, platform_status::Unavailable);
}

} // namespace
} // namespace sapphirespar
