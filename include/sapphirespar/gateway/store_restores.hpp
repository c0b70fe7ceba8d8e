// Notices that the platform's store has come back from an older copy of itself.
// The changes of its last seconds are then lost, and its revisions are given
// out again.
#pragma once

#include "sapphirespar/base/boot_clock.hpp"
#include "sapphirespar/model/platform.hpp"

#include <chrono>
#include <optional>
#include <string_view>

namespace sapphirespar::gateway {

struct store_restore_settings
{
  // Within this time after a restore, everyone has written again what was lost
  // of their own.
  std::chrono::milliseconds mRewriteTime{ 2200 };
  // After mRewriteTime, an entry that nobody writes lasts for this long.
  std::chrono::milliseconds mEntryLife{ 3600 };
};

class store_restores
{
public:
  explicit store_restores(store_restore_settings aSettings)
    : mSettings(aSettings)
  {
  }

  // Takes the era that an answer of the store, or another gateway, tells; zero
  // tells nothing. Returns whether the store has been restored since the era
  // known before. A falling era is ignored and logged once. The first era known
  // may have just begun, unless it is the store's first; this is assumed until
  // NotePeerRestore.
  bool Note(store_era aEra, boot_time aNow, std::string_view aSource);

  // Takes what another gateway knows of the restore that began aEra: when it
  // noticed it, or nothing if it was long ago.
  void NotePeerRestore(store_era aEra, std::optional<boot_time> aRestoredAt);

  // Whether the time of the last restore is only assumed, and still matters.
  bool IsAssumed(boot_time aNow) const
  {
    return mIsAssumed && MayHoldFormerEntries(aNow);
  }

  // Returns when the store was last restored, if that still matters.
  std::optional<boot_time> RecentRestore(boot_time aNow) const
  {
    return MayHoldFormerEntries(aNow) ? mRestoredAt : std::nullopt;
  }

  // The latest era; zero before the first. Never decreases.
  store_era Era() const { return mEra; }

  // Whether a read that was sent at aSent proves nothing about changes that
  // were acknowledged before the restore, as their authors may not have written
  // them again by then.
  bool MayLackChanges(boot_time aSent) const;

  // Whether the list may hold upstreams that have left, and former states.
  bool MayHoldFormerEntries(boot_time aNow) const;

private:
  store_restore_settings mSettings;
  store_era mEra = 0;
  // The last falling era that was logged.
  store_era mLoggedFall = 0;
  // Unset before the first restore that was noticed or assumed.
  std::optional<boot_time> mRestoredAt;
  // mRestoredAt is when the first era became known.
  bool mIsAssumed = false;
};

} // namespace sapphirespar::gateway
