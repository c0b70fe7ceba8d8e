// The era of the store and the time since it rose.
#include "sapphirespar/gateway/store_restores.hpp"

#include "sapphirespar/base/log.hpp"

namespace sapphirespar::gateway {

bool
store_restores::Note(store_era aEra, boot_time aNow, std::string_view aSource)
{
  if (aEra == 0 || aEra == mEra) {
    return false;
  }
  if (aEra < mEra) {
    if (aEra != mLoggedFall) {
      mLoggedFall = aEra;
      LogEvent(log_level::Warning,
               "store_era_falls",
               { { "era", mEra }, { "told", aEra }, { "source", aSource } });
    }
    return false;
  }
  const auto before = mEra;
  mEra = aEra;
  if (before == 0) {
    constexpr store_era kFirstEra = 1;
    mIsAssumed = aEra > kFirstEra;
    if (mIsAssumed) {
      mRestoredAt = aNow;
    }
    LogEvent(
      log_level::Info, "store_era", { { "era", mEra }, { "source", aSource } });
    return false;
  }
  mRestoredAt = aNow;
  mIsAssumed = false;
  LogEvent(log_level::Warning,
           "store_restored",
           { { "before", before }, { "era", mEra }, { "source", aSource } });
  return true;
}

void
store_restores::NotePeerRestore(store_era aEra,
                                std::optional<boot_time> aRestoredAt)
{
  if (mIsAssumed && aEra == mEra) {
    mIsAssumed = false;
    mRestoredAt = aRestoredAt;
  }
}

bool
store_restores::MayLackChanges(boot_time aSent) const
{
  return mRestoredAt && aSent - *mRestoredAt < mSettings.mRewriteTime;
}

bool
store_restores::MayHoldFormerEntries(boot_time aNow) const
{
  return mRestoredAt &&
         aNow - *mRestoredAt < mSettings.mRewriteTime + mSettings.mEntryLife;
}

} // namespace sapphirespar::gateway
