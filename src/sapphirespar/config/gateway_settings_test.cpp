// Tests a gateway's settings: defaults, and the texts of failures.
#include "sapphirespar/config/gateway_settings.hpp"

#include "test_support.hpp"

#include <gtest/gtest.h>

namespace sapphirespar {
namespace {

using namespace std::chrono_literals;

const std::string kGood = R"([node]
vm = "vm-1"
data_centre = "valmiera"
[listen]
callers = "10.0.0.1:8080"
readiness = "10.0.0.1:8081"
entry = "10.0.0.1:8082"
admin = "10.0.0.1:8083"
address = "10.0.0.1"
gossip_port = 7340
metrics_port = 9464
[platform]
address = "10.0.0.9:7000"
)";

std::string
FailureOf(const std::string& aText)
{
  return FailureText([&] { return ParseGatewaySettings(aText, "g.toml"); });
}

TEST(GatewaySettings, UsesDefaultsForAbsentKeys)
{
  const auto settings = ParseGatewaySettings(kGood, "g.toml");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->mCallers.mPort, 8080);
  EXPECT_EQ(settings->mGossip.mAddress, "10.0.0.1");
  EXPECT_EQ(settings->mPlatform.mAddress, "10.0.0.9");
  EXPECT_EQ(settings->mKeyFreshness, 5s);
  EXPECT_TRUE(settings->mSeeds.empty());
}

TEST(GatewaySettings, ConvertsTheUnitsOfBounds)
{
  const auto settings = ParseGatewaySettings(kGood + R"([peers]
seeds = ["10.0.0.2:8083"]
[bounds]
key_freshness_ms = 4000
routing_change_ms = 3000
upstream_change_ms = 1500
upstream_heartbeat_ms = 700
drain_s = 2.5
retry_ratio = 0.1
entry_ttl_s = 3
)",
                                             "g.toml");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->mSeeds.at(0).mPort, 8083);
  EXPECT_EQ(settings->mKeyFreshness, 4s);
  EXPECT_EQ(settings->mMaxPropagationDelay, 1500ms);
  EXPECT_EQ(settings->mUpstreamHeartbeat, 700ms);
  EXPECT_EQ(settings->mDrainTime, 2500ms);
  EXPECT_EQ(settings->mEntryTtl, 3s);
}

TEST(GatewaySettings, ReadsTheSpeedOfTheEngines)
{
  const auto settings = ParseGatewaySettings(kGood + R"([engines]
prefill_tokens_per_ms = 12.5
chunk_tokens = 2048
step_ms_per_request = 0
)",
                                             "g.toml");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->mEngines.mPrefillTokensPerMs, 12.5);
  EXPECT_EQ(settings->mEngines.mChunkTokens, 2048);
  EXPECT_EQ(settings->mEngines.mStepMsPerRequest, 0);
  EXPECT_EQ(settings->mEngines.mFirstEventMs, engine_figures{}.mFirstEventMs);
  EXPECT_FALSE(settings->mFirstStart);
}

// A figure that is zero, negative or absurd is a mistake, unlike one that is
// only wrong, which is corrected by answers.
TEST(GatewaySettings, RefusesImpossibleSpeedsOfEngines)
{
  for (const std::string line : { "prefill_tokens_per_ms = 0",
                                  "prefill_tokens_per_ms = 1e9",
                                  "first_event_ms = -1",
                                  "chunk_tokens = 0",
                                  "step_ms = 0",
                                  "step_ms_per_request = -0.1" }) {
    const auto failure = FailureOf(kGood + "[engines]\n" + line + "\n");
    EXPECT_TRUE(failure.starts_with("g.toml:15: ")) << failure;
    const auto key = line.substr(0, line.find(' '));
    EXPECT_NE(failure.find(key), std::string::npos) << failure;
    EXPECT_NE(failure.find("expected"), std::string::npos) << failure;
  }
}

TEST(GatewaySettings, ReadsTheLimitsOfAnswers)
{
  constexpr std::size_t kMegabyte = 1024 * 1024;
  const auto settings = ParseGatewaySettings(kGood + R"([limits]
memory_mb = 100
[answers]
head_bytes = 2048
event_bytes = 1000
)",
                                             "g.toml");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->mMemoryBytes, 100 * kMegabyte);
  EXPECT_EQ(settings->mAnswers.mHeadBytes, 2048U);
  EXPECT_EQ(settings->mAnswers.mEventBytes, 1000U);
  EXPECT_EQ(settings->mAnswers.mBodyBytes, answer_limits{}.mBodyBytes);
  EXPECT_EQ(settings->mAnswers.mTotalBytes, 20 * kMegabyte);
}

TEST(GatewaySettings, ReadsTheMemoryOfRequests)
{
  const std::string memory = "[limits]\nmemory_mb = 100\n";
  const auto settings = ParseGatewaySettings(kGood + memory, "g.toml");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->mRequestBytes, 10 * 1024 * 1024U);
  const auto given = ParseGatewaySettings(
    kGood + memory + "[requests]\ntotal_bytes = 2000000\n", "g.toml");
  ASSERT_TRUE(given);
  EXPECT_EQ(given->mRequestBytes, 2'000'000U);
  EXPECT_EQ(FailureOf(kGood + memory + "[requests]\ntotal_bytes = 1000\n"),
            "g.toml:17: requests.total_bytes: expected 1048576 to 104857600, "
            "found 1000");
}

TEST(GatewaySettings, RefusesImpossibleLimitsOfAnswers)
{
  const std::string memory = "[limits]\nmemory_mb = 100\n[answers]\n";
  for (const std::string key : { "head_bytes",
                                 "dropped_bytes",
                                 "body_bytes",
                                 "event_bytes",
                                 "total_bytes" }) {
    for (const std::string value : { "0", "-1", "104857601" }) {
      const auto failure =
        FailureOf(kGood + memory + key + " = " + value + "\n");
      EXPECT_TRUE(
        failure.starts_with("g.toml:17: answers." + key + ": expected "))
        << failure;
      EXPECT_TRUE(failure.ends_with(" to 104857600, found " + value))
        << failure;
    }
  }
  EXPECT_EQ(FailureOf(kGood + "[limits]\nmemory_mb = 0\n"),
            "g.toml:15: limits.memory_mb: expected 16 to 16000000, found 0");
}

TEST(GatewaySettings, ReadsTheDuties)
{
  EXPECT_FALSE(ParseGatewaySettings(kGood, "g.toml")->mDuties);
  const auto settings = ParseGatewaySettings(kGood + R"([duties]
address = "10.0.0.7:80"
assigned = ["metering", "another"]
lease_ms = 2000
report_window_s = 4
)",
                                             "g.toml");
  ASSERT_TRUE(settings);
  ASSERT_TRUE(settings->mDuties);
  EXPECT_EQ(settings->mDuties->mPlatform.mPort, 80);
  EXPECT_TRUE(settings->mDuties->mMetering);
  EXPECT_FALSE(settings->mDuties->mAutoscaler);
  EXPECT_EQ(settings->mDuties->mLease, 2s);
  EXPECT_EQ(settings->mDuties->mReportWindow, 4s);
  EXPECT_EQ(settings->mDuties->mReportDelay, duty_settings{}.mReportDelay);
  EXPECT_EQ(FailureOf(kGood + "[duties]\naddress = \"x:1\"\nlease_ms = 0\n"),
            "g.toml:16: duties.lease_ms: expected 500 to 600000, found 0");
}

TEST(GatewaySettings, NamesFileLineAndKeyOfEachFailure)
{
  EXPECT_EQ(FailureOf(kGood + "[peers]\nseeds = [\"10.0.0.2\"]\n"),
            "g.toml:15: peers.seeds: expected ADDRESS:PORT, found "
            "\"10.0.0.2\"");
  EXPECT_EQ(FailureOf(kGood + "[limits]\nopen_files = 3\n"),
            "g.toml:15: limits.open_files: expected 64 to 1000000, found 3");
  EXPECT_EQ(FailureOf("[node]\nvm = \"a\"\ndata_centre = \"b\"\n"),
            "g.toml:1: listen: required table is missing");
}

} // namespace
} // namespace sapphirespar
