// Tests of route and key lookup.
#include "sapphirespar/policy/route_table.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::policy {
namespace {

route
RouteAt(std::string aName, std::string aHost, std::string aPrefix)
{
  route result;
  result.mName = std::move(aName);
  result.mHost = std::move(aHost);
  result.mPathPrefix = std::move(aPrefix);
  result.mPools = { { "engines", 1 } };
  return result;
}

route_table
MakeTable()
{
  routing_config config;
  config.mVersion = 7;
  config.mRoutes = { RouteAt("all", "a.example", "/"),
                     RouteAt("short", "a.example", "/x/"),
                     RouteAt("long", "a.example", "/x/y/"),
                     RouteAt("other", "b.example", "/x/") };
  config.mAccounts = { { { "anna" }, { "key-1", "key-2" }, {} } };
  return route_table(std::move(config));
}

std::string
NameAt(std::string_view aHost, std::string_view aPath)
{
  const auto table = MakeTable();
  const auto* found = table.Match(aHost, aPath);
  return found == nullptr ? "" : found->mName;
}

TEST(RouteTable, TakesTheLongestPrefixOfTheHost)
{
  EXPECT_EQ(NameAt("a.example", "/x/y/z"), "long");
  EXPECT_EQ(NameAt("a.example", "/x/yz"), "short");
  EXPECT_EQ(NameAt("a.example", "/xy"), "all");
  EXPECT_EQ(NameAt("b.example", "/x/y/z"), "other");
  EXPECT_EQ(NameAt("b.example", "/y/"), "");
  EXPECT_EQ(NameAt("c.example", "/x/"), "");
}

TEST(RouteTable, TakesAHostWithAPortInAnyCase)
{
  EXPECT_EQ(NameAt("A.Example:8080", "/x/"), "short");
}

TEST(RouteTable, FindsTheAccountOfAKey)
{
  const auto table = MakeTable();
  ASSERT_NE(table.FindKey("key-2"), nullptr);
  EXPECT_EQ(table.FindKey("key-2")->mId.mText, "anna");
  EXPECT_EQ(table.FindKey("key-3"), nullptr);
  EXPECT_EQ(table.FindKey(""), nullptr);
}

TEST(RouteTable, RanksByAccountFirstAndByRouteWithinAnAccount)
{
  routing_config config;
  config.mRoutes = { RouteAt("quick", "h", "/q/"),
                     RouteAt("bulk", "h", "/b/") };
  config.mRoutes[1].mPriority = 2;
  config.mAccounts = { { { "first" }, {}, 0 }, { { "second" }, {}, 1 } };
  const route_table table(std::move(config));
  const auto& quick = table.Config().mRoutes[0];
  const auto& bulk = table.Config().mRoutes[1];
  const auto* first = &table.Config().mAccounts[0];
  const auto* second = &table.Config().mAccounts[1];
  EXPECT_EQ(table.PriorityOf(quick, first), 0U);
  EXPECT_LT(table.PriorityOf(bulk, first), table.PriorityOf(quick, second));
  EXPECT_LT(table.PriorityOf(quick, second), table.PriorityOf(bulk, second));
  EXPECT_EQ(table.PriorityOf(bulk, nullptr), 2U);
}

TEST(ChoosePool, SplitsByWeight)
{
  route split;
  split.mPools = { { "old", 90 }, { "none", 0 }, { "new", 10 } };
  EXPECT_EQ(ChoosePool(split, 0.0), "old");
  EXPECT_EQ(ChoosePool(split, 0.899), "old");
  EXPECT_EQ(ChoosePool(split, 0.901), "new");
  EXPECT_EQ(ChoosePool(split, 0.9999), "new");
}

} // namespace
} // namespace sapphirespar::policy
