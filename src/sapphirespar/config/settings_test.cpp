// Tests a router's settings: defaults, and the positions and texts of failures.
#include "sapphirespar/config/settings.hpp"

#include "test_support.hpp"

#include <gtest/gtest.h>

namespace sapphirespar {
namespace {

const std::string kGood = R"([node]
vm = "vm-1"
data_centre = "valmiera"
[listen]
address = "127.0.0.1"
[platform]
address = "127.0.0.1"
port = 7000
[[trust.signers]]
name = "anna"
public_key = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
)";

std::string
FailureOf(const std::string& aText)
{
  return FailureText([&] { return ParseSettings(aText, "router.toml"); });
}

TEST(Settings, UsesDefaultsForAbsentKeys)
{
  const auto settings = ParseSettings(kGood, "router.toml");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->mVm.mText, "vm-1");
  EXPECT_EQ(settings->mPort, 0);
  EXPECT_EQ(settings->mPlatform.mPort, 7000);
  EXPECT_EQ(settings->mTrafficThreads, 2U);
  EXPECT_EQ(settings->mSigners.at(0).mName, "anna");
  EXPECT_FALSE(settings->mCallerTls);
  EXPECT_FALSE(settings->mTraceCollector);
}

TEST(Settings, NamesFileLineAndKeyOfEachFailure)
{
  EXPECT_EQ(FailureOf(kGood + "[traffic]\nthread = 3\n"),
            "router.toml:13: traffic.thread: unknown key; known here: threads");
  EXPECT_EQ(FailureOf(kGood + "[traffic]\nthreads = 0\n"),
            "router.toml:13: traffic.threads: expected 1 to 64, found 0");
  EXPECT_EQ(FailureOf(kGood + "[traffic]\nthreads = \"2\"\n"),
            "router.toml:13: traffic.threads: expected an integer, found "
            "string");
  EXPECT_EQ(FailureOf(kGood + "[log]\nlevel = \"loud\"\n"),
            "router.toml:13: log.level: expected one of \"debug\", \"info\", "
            "\"warning\", \"error\", found \"loud\"");
  EXPECT_EQ(FailureOf(kGood + "[trace]\nsample = nan\n"),
            "router.toml:13: trace.sample: expected 0 to 1, found nan");
  EXPECT_EQ(FailureOf(kGood + "[tls.callers]\nca = \"ca.pem\"\n"),
            "router.toml:12: tls.callers: a server needs certificate and key");
}

TEST(Settings, RefusesMissingTablesAndBrokenToml)
{
  EXPECT_EQ(FailureOf("[node]\nvm = \"a\"\ndata_centre = \"b\"\n"),
            "router.toml:1: listen: required table is missing");
  EXPECT_NE(FailureOf("[node\n").find("router.toml:1:"), std::string::npos);
  EXPECT_EQ(
    FailureText([] { return LoadSettings("/nonexistent/router.toml"); }),
    "/nonexistent/router.toml: cannot be opened");
}

} // namespace
} // namespace sapphirespar
