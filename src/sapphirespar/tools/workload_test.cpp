// Tests of workload files, arrivals and prompts.
#include "sapphirespar/tools/workload.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace sapphirespar::tools {
namespace {

constexpr std::string_view kValidWorkload = R"(name = "small"
duration_ms = 4000
seed = 3

[[classes]]
class = "price"
model = "m"
bearer = "k"
rate_per_second = 50

[[bursts]]
class = "price"
from_ms = 1000
until_ms = 2000
factor = 8

[[faults]]
at_ms = 500
standin = "engine-1"
faults = '{"crash":true}'
)";

// Replaces the first aFrom in the valid workload. Returns the text of the parse
// failure, or an empty string on success.
std::string
FailureWith(std::string_view aFrom, std::string_view aTo)
{
  std::string text(kValidWorkload);
  text.replace(text.find(aFrom), aFrom.size(), aTo);
  return leaf::try_handle_all(
    [&]() -> result<std::string> {
      BOOST_LEAF_CHECK(ParseWorkload(text, "w.toml"));
      return std::string();
    },
    [](const config_failure& aFailure) { return Describe(aFailure); },
    [] { return std::string("another failure"); });
}

TEST(Workload, FailuresNameFileLineAndKey)
{
  EXPECT_EQ(FailureWith("price", "price"), "");
  EXPECT_EQ(FailureWith("rate_per_second = 50", "rate_per_second = -5"),
            "w.toml:9: classes[0].rate_per_second: expected 0.001 to 1e+06, "
            "found -5");
  EXPECT_EQ(FailureWith("class = \"price\"\nfrom", "class = \"prize\"\nfrom"),
            "w.toml:12: bursts[0].class: no class \"prize\" in this workload");
  EXPECT_EQ(FailureWith("until_ms = 2000", "until_ms = 1000"),
            "w.toml:14: bursts[0].until_ms: must be over from_ms");
  EXPECT_EQ(FailureWith("{\"crash\":true}", "crash"),
            "w.toml:20: faults[0].faults: expected a JSON object such as "
            "{\"crash\":true}");
  EXPECT_NE(FailureWith("seed = 3", "sead = 3").find("w.toml:3: sead"),
            std::string::npos);
}

TEST(Workload, TheSameSeedGivesTheSameArrivalsAndABurstRaisesTheRate)
{
  const auto work = ParseWorkload(kValidWorkload, "w.toml").value();
  const auto arrivals = Arrivals(work);
  const auto again = Arrivals(work);
  EXPECT_TRUE(
    std::ranges::equal(arrivals, again, {}, &arrival::mAt, &arrival::mAt));
  EXPECT_TRUE(std::ranges::is_sorted(arrivals, {}, &arrival::mAt));
  const auto within = [&](auto aFrom, auto aUntil) {
    return std::ranges::count_if(arrivals, [&](const arrival& aItem) {
      return aItem.mAt >= aFrom && aItem.mAt < aUntil;
    });
  };
  using namespace std::chrono_literals;
  EXPECT_NEAR(static_cast<double>(within(1s, 2s)), 400, 80);
  EXPECT_NEAR(static_cast<double>(within(2s, 4s)), 100, 40);
}

TEST(Workload, NoTwoArrivalsHaveTheSamePrompt)
{
  const auto work = ParseWorkload(kValidWorkload, "w.toml").value();
  std::set<std::string> prompts;
  const auto arrivals = Arrivals(work);
  for (const auto& item : arrivals) {
    prompts.insert(PromptFor(work, item));
  }
  EXPECT_EQ(prompts.size(), arrivals.size());
}

} // namespace
} // namespace sapphirespar::tools
