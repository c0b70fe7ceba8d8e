// Follows restores of the store from an older copy: reads the platform from the
// start and writes the bundle in force back if the copy lacks it.
#include "bundle_controller_state.hpp"
#include "sapphirespar/base/log.hpp"

#include <random>
#include <utility>

namespace sapphirespar {
namespace {

// The watchers of all data centres wait for a random part of this time, so that
// usually only one of them writes.
constexpr std::chrono::milliseconds kMaxWriteBackDelay{ 1000 };

} // namespace

// Returns whether the store was restored since its last answer.
bool
bundle_controller::state::NoteEra(store_era aEra)
{
  if (aEra <= mEra) {
    return false;
  }
  return std::exchange(mEra, aEra) != 0;
}

// Abandons the call in progress: a watch may wait in the restored store from a
// revision that this store gives out again.
void
bundle_controller::state::OnStoreRestored()
{
  mCurrentCall = 0;
  mWatchFrom.reset();
  CallAfter(Jittered(mSettings.mRetryAfter));
}

// Writes the bundle in force back if the platform has an older one or none.
// aCurrent is null if the platform has none.
void
bundle_controller::state::CheckWriteBack(const platform_object* aCurrent)
{
  // A store that tells no era is not known to come back from older copies.
  if (mEra == 0 || !mBoard.mBundle || mWriteBack) {
    return;
  }
  const auto stored = leaf::try_handle_all(
    [&]() -> result<bundle_version> {
      if (aCurrent == nullptr) {
        return bundle_version{};
      }
      BOOST_LEAF_AUTO(parsed, ParseSignedBundle(aCurrent->mValue));
      return parsed.mBundle.mVersion;
    },
    [&] { return Version(); });
  if (stored >= Version()) {
    return;
  }
  LogEvent(log_level::Warning,
           "bundle_lost_at_platform",
           { { "epoch", Version().mEpoch },
             { "number", Version().mNumber },
             { "platform_epoch", stored.mEpoch },
             { "platform_number", stored.mNumber } });
  std::uniform_int_distribution<std::int64_t> delay(0,
                                                    kMaxWriteBackDelay.count());
  mWriteBackTimer = mTimers.After(std::chrono::milliseconds(delay(mRandom)),
                                  [this] { WriteBack(); });
}

void
bundle_controller::state::WriteBack()
{
  acceptance_settings settings;
  settings.mTrusted = mSettings.mTrusted;
  settings.mWritesBack = true;
  mWriteBack =
    std::make_unique<bundle_acceptance>(mPlatform, mTimers, settings);
  mWriteBack->Start(
    Serialize(mInForce, bundle_form::Whole),
    "written back",
    [this](const acceptance_result& aResult) { OnWrittenBack(aResult); });
}

void
bundle_controller::state::OnWrittenBack(const acceptance_result& aResult)
{
  LogEvent(log_level::Info,
           "bundle_write_back_ended",
           { { "end", ToText(aResult.mStatus) },
             { "epoch", aResult.mInForce.mEpoch },
             { "number", aResult.mInForce.mNumber } });
  const bool failed = aResult.mStatus == acceptance_status::NotWritten ||
                      aResult.mStatus == acceptance_status::Unknown;
  // The acceptance is running this callback, so it is destroyed later.
  mWriteBackTimer = mTimers.After({}, [this, failed] {
    mWriteBack.reset();
    if (failed) {
      OnStoreRestored();
    }
  });
}

} // namespace sapphirespar
