// Tests of gateways that start soon after the store came back from an older
// copy, and so know no era before.
#include "store_reader_fixture_test.hpp"

#include "sapphirespar/gateway/store_restores.hpp"

#include <memory>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

class store_restore_start : public store_reader_test
{
protected:
  store_restore_start() { mStore->mEra = 1; }

  // Publishes a routing, drains a and removes b, all of which a restore undoes.
  void LoseChanges()
  {
    const auto copy = mStore->Copy();
    Write({ "config", "main" }, "9");
    Write({ "servers", "a" }, "80d");
    Remove({ "servers", "b" });
    mTimers.Advance(2s);
    mStore->Restore(copy);
  }
};

TEST_F(store_restore_start, AloneItConfirmsNothingUntilAuthorsHaveHadTime)
{
  LoseChanges();
  test_gateway gateway(mTimers, mStore);
  gateway.mReader.Start();
  mTimers.Advance(2s);
  EXPECT_EQ(gateway.mRouting.Version(), 7U);
  // No read of this gateway counts.
  EXPECT_GT(gateway.mRouting.Age(gateway.Now()), 2500ms);
  mTimers.Advance(1500ms);
  EXPECT_LT(gateway.mRouting.Age(gateway.Now()), 1s);
}

TEST_F(store_restore_start, AStoreNeverRestoredIsTrustedAtOnce)
{
  test_gateway gateway(mTimers, mStore);
  gateway.mReader.Start();
  mTimers.Advance(100ms);
  EXPECT_LT(gateway.mRouting.Age(gateway.Now()), 1s);
}

// The other gateway has known the store since long before its restore.
TEST_F(store_restore_start, AnotherGatewaysKnowledgeSparesTheWait)
{
  test_gateway other(mTimers, mStore);
  other.mReader.Start();
  mTimers.Advance(1s);
  mStore->Restore(mStore->Copy());
  mTimers.Advance(10s);
  test_gateway gateway(mTimers, mStore);
  gateway.mOther = &other;
  gateway.mReader.Start();
  mTimers.Advance(100ms);
  EXPECT_LT(gateway.mRouting.Age(gateway.Now()), 1s);
}

// The other gateway has just noticed the restore.
TEST_F(store_restore_start, AnotherGatewayTellsOfARecentRestore)
{
  test_gateway other(mTimers, mStore);
  other.mReader.Start();
  mTimers.Advance(3s);
  mStore->Restore(mStore->Copy());
  mTimers.Advance(700ms);
  test_gateway gateway(mTimers, mStore);
  gateway.mOther = &other;
  gateway.mReader.Start();
  mTimers.Advance(1300ms);
  EXPECT_GT(gateway.mRouting.Age(gateway.Now()), 1200ms);
}

TEST_F(store_restore_start, WhatDrainedOrLeftIsLearnedFromAnother)
{
  test_gateway other(mTimers, mStore);
  other.mReader.Start();
  mTimers.Advance(1s);
  LoseChanges();
  test_gateway gateway(mTimers, mStore);
  gateway.mOther = &other;
  gateway.mReader.Start();
  for (int count = 0; count < 40; ++count) {
    mTimers.Advance(100ms);
    ASSERT_EQ(gateway.Members(), 0U) << count;
  }
}

// The store answers before any other gateway does.
TEST_F(store_restore_start, WhatDrainedOrLeftIsLearnedLate)
{
  test_gateway other(mTimers, mStore);
  other.mReader.Start();
  mTimers.Advance(1s);
  LoseChanges();
  test_gateway gateway(mTimers, mStore);
  gateway.mOther = &other;
  gateway.mPeerAnswers = false;
  gateway.mReader.Start();
  mTimers.Advance(1s);
  EXPECT_EQ(gateway.Members(), 2U);
  gateway.mPeerAnswers = true;
  for (int count = 0; count < 20; ++count) {
    mTimers.Advance(100ms);
    if (count > 8) {
      ASSERT_EQ(gateway.Members(), 0U) << count;
    }
  }
}

// A reader that started after the restore lists what has drained or left.
TEST_F(store_restore_start, ItsListBringsNothingBackElsewhere)
{
  auto reader = std::make_unique<test_gateway>(mTimers, mStore);
  test_gateway other(mTimers, mStore);
  other.mPeer = reader.get();
  reader->mReader.Start();
  other.mReader.Start();
  mTimers.Advance(1s);
  LoseChanges();
  EXPECT_EQ(other.Members(), 0U);
  const auto former = std::move(reader);
  reader = std::make_unique<test_gateway>(mTimers, mStore);
  other.mPeer = reader.get();
  reader->mReader.Start();
  for (int count = 0; count < 40; ++count) {
    mTimers.Advance(100ms);
    ASSERT_EQ(other.Members(), 0U) << count;
  }
}

} // namespace
} // namespace sapphirespar::gateway
