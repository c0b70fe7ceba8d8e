// Tests updates of an object while the store is restored from an older copy.
#include "sapphirespar/upstream/object_update.hpp"

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/fake_platform.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespar::upstream {
namespace {

using namespace std::chrono_literals;

const object_key kKey{ "order", "engine" };

TEST(Fault_StoreRestore, Order_Fence_AReissuedVersionIsDecidedAgain)
{
  manual_timer_service timers;
  const auto store = std::make_shared<fake_store>();
  store->mEra = 1;
  fake_platform client(timers, store);
  client.Faults().mDelay = 100ms;
  const auto copy = store->Copy();
  store->Write(kKey, "lost", false, kNoObject);
  const auto owner = std::make_shared<int>();
  std::vector<std::string> seen;
  std::optional<update_result> result;
  const auto decide = [&](std::string_view aValue, store_era aEra) {
    seen.push_back(std::to_string(aEra) + ' ' + std::string(aValue));
    return aValue == "mine" ? object_change{ change_kind::Keep, {} }
                            : object_change{ change_kind::Write, "mine" };
  };
  UpdateObject(
    client, timers, kKey, decide, 20s, owner, [&](const auto& aResult) {
      result = aResult;
    });
  // The read has been answered; the write is on its way.
  timers.Advance(120ms);
  store->Restore(copy);
  store->Write(kKey, "theirs", false, kNoObject);
  timers.Advance(10s);
  EXPECT_EQ(seen, (std::vector<std::string>{ "1 lost", "2 mine" }));
  EXPECT_EQ(result->mStatus, update_status::Ok);
  EXPECT_EQ(result->mEra, 2U);
}

} // namespace
} // namespace sapphirespar::upstream
