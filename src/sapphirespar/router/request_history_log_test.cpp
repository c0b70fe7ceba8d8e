// Tests the request history log and its JSON.
#include "sapphirespar/router/request_history_log.hpp"

#include <gtest/gtest.h>

#include <boost/json.hpp>

namespace sapphirespar::router {
namespace {

request_history
MakeHistory(std::string aId, std::string aClass)
{
  request_history history;
  history.mId = { std::move(aId) };
  history.mClass = { std::move(aClass) };
  history.mEvents = { { std::chrono::microseconds(1500), "slot", "engine-1" } };
  history.mEnd = "done";
  return history;
}

TEST(RequestHistoryLog, FindsByRequestAndByClassNewestFirst)
{
  request_history_log log;
  log.Add(MakeHistory("a", "brief"));
  log.Add(MakeHistory("b", "draft"));
  log.Add(MakeHistory("c", "brief"));
  ASSERT_TRUE(log.Find({ "b" }));
  EXPECT_EQ(log.Find({ "b" })->mClass.mText, "draft");
  EXPECT_FALSE(log.Find({ "d" }));
  const auto recent = log.Recent({ "brief" }, 5);
  ASSERT_EQ(recent.size(), 2U);
  EXPECT_EQ(recent[0].mId.mText, "c");
  EXPECT_EQ(log.Recent({ "brief" }, 1).size(), 1U);
}

TEST(RequestHistoryLog, DropsTheOldestHistoryWhenFull)
{
  request_history_log log;
  log.Add(MakeHistory("first", "brief"));
  constexpr int kMoreThanKept = 6000;
  for (int count = 0; count < kMoreThanKept; ++count) {
    log.Add(MakeHistory("later", "brief"));
  }
  EXPECT_FALSE(log.Find({ "first" }));
  EXPECT_TRUE(log.Find({ "later" }));
}

TEST(HistoryJson, ContainsEveryEvent)
{
  const auto document =
    boost::json::parse(HistoryJson(MakeHistory("a", "brief")));
  EXPECT_EQ(document.at_pointer("/steps/0/at_ms").to_number<double>(), 1.5);
  EXPECT_EQ(document.at_pointer("/steps/0/detail").as_string(), "engine-1");
}

} // namespace
} // namespace sapphirespar::router
