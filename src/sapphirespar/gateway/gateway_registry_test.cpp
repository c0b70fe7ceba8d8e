// Tests of a gateway's entry in the store.
#include "sapphirespar/gateway/gateway_registry.hpp"

#include "sapphirespar/model/fake_platform.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

class gateway_registry_test : public testing::Test
{
protected:
  bool HasEntry() const
  {
    const auto* entry = mStore->Find({ std::string(kGatewayKind), "vm-1" });
    return entry != nullptr && !entry->mDeleted && entry->mValue == "10.0.0.1";
  }

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  fake_platform mPlatform{ mTimers, mStore };
  peer_table mPeers{ { { "vm-1" }, { "here" }, 1000 } };
  registry_hooks mHooks{ [](std::function<void(bool)> aDone) {
    aDone(false);
  } };
  gateway_registry mRegistry{ mPlatform, mTimers,
                              mPeers,    { { "vm-1" }, "10.0.0.1" },
                              mHooks,    0.5 };
};

TEST_F(gateway_registry_test, WritesALostEntryAgainWithinASecond)
{
  const auto copy = mStore->Copy();
  mRegistry.Start();
  mTimers.Advance(2s);
  EXPECT_TRUE(HasEntry());
  mStore->Restore(copy);
  EXPECT_FALSE(HasEntry());
  mRegistry.WriteAgain();
  mTimers.Advance(400ms);
  EXPECT_FALSE(HasEntry());
  mTimers.Advance(600ms);
  EXPECT_TRUE(HasEntry());
}

TEST_F(gateway_registry_test, WritesUntilTheStoreHasTheEntry)
{
  mRegistry.Start();
  mTimers.Advance(2s);
  const auto writes = mPlatform.Calls().mWrites;
  // The copy had the entry.
  mStore->Restore(mStore->Copy());
  mRegistry.WriteAgain();
  mTimers.Advance(5s);
  EXPECT_EQ(mPlatform.Calls().mWrites, writes + 1);
  EXPECT_TRUE(HasEntry());
  mStore->Restore({});
  mPlatform.Faults().mOutage = true;
  mRegistry.WriteAgain();
  mTimers.Advance(5s);
  EXPECT_FALSE(HasEntry());
  mPlatform.Faults().mOutage = false;
  mTimers.Advance(1500ms);
  EXPECT_TRUE(HasEntry());
}

} // namespace
} // namespace sapphirespar::gateway
