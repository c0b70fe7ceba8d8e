// Tests of the story log.
#include "sapphirespar/router/request_history_log.hpp"

#include <gtest/gtest.h>

#include <boost/json.hpp>

namespace sapphirespar::router {
namespace {

request_history
MakeStory(std::string aId, std::string aClass)
{
  request_history story;
  story.mId = { std::move(aId) };
  story.mClass = { std::move(aClass) };
  story.mEvents = { { std::chrono::microseconds(1500), "slot", "engine-1" } };
  story.mEnd = "done";
  return story;
}

TEST(StoryLog, FindsByRequestAndByClassNewestFirst)
{
  request_history_log log;
  log.Add(MakeStory("a", "brief"));
  log.Add(MakeStory("b", "draft"));
  log.Add(MakeStory("c", "brief"));
  ASSERT_TRUE(log.Find({ "b" }));
  EXPECT_EQ(log.Find({ "b" })->mClass.mText, "draft");
  EXPECT_FALSE(log.Find({ "d" }));
  const auto recent = log.Recent({ "brief" }, 5);
  ASSERT_EQ(recent.size(), 2U);
  EXPECT_EQ(recent[0].mId.mText, "c");
  EXPECT_EQ(log.Recent({ "brief" }, 1).size(), 1U);
}

TEST(StoryLog, OldStoriesGo)
{
  request_history_log log;
  log.Add(MakeStory("first", "brief"));
  constexpr int kMoreThanKept = 6000;
  for (int count = 0; count < kMoreThanKept; ++count) {
    log.Add(MakeStory("later", "brief"));
  }
  EXPECT_FALSE(log.Find({ "first" }));
  EXPECT_TRUE(log.Find({ "later" }));
}

TEST(HistoryJson, HoldsEveryStep)
{
  const auto document =
    boost::json::parse(HistoryJson(MakeStory("a", "brief")));
  EXPECT_EQ(document.at_pointer("/steps/0/at_ms").to_number<double>(), 1.5);
  EXPECT_EQ(document.at_pointer("/steps/0/detail").as_string(), "engine-1");
}

} // namespace
} // namespace sapphirespar::router
