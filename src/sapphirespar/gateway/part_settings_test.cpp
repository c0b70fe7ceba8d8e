// Tests of the times that follow from the settings.
#include "part_settings.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

TEST(ReaderSettings, FollowTheHeartbeatOfTheUpstreams)
{
  gateway_settings settings;
  for (const auto heartbeat : { 10ms, 300ms, 1200ms, 60000ms }) {
    settings.mUpstreamHeartbeat = heartbeat;
    const auto reader = ReaderSettings(settings, 0);
    // An entry that was written just before the outage began outlives a shorter
    // one by at least a heartbeat.
    EXPECT_LT(reader.mMinimumOutage, 2 * heartbeat);
    EXPECT_GT(reader.mMinimumOutage, heartbeat);
    EXPECT_GT(reader.mOutageGrace, heartbeat);
    EXPECT_EQ(reader.mRestores.mRewriteTime, reader.mOutageGrace);
    EXPECT_EQ(reader.mRestores.mEntryLife, 3 * heartbeat);
  }
}

} // namespace
} // namespace sapphirespar::gateway
