// Keeps in the platform's store which versions of an upstream's software may
// have begun streams of each pool, so that streams of a pool that has had only
// one can be taken up after all gateways were killed at once.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/platform.hpp"
#include "sapphirespar/model/stream_message.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

namespace sapphirespar::gateway {

// Kind and name of the one object in the platform's store.
inline constexpr std::string_view kSoftwareRecordKind = "software-versions";
inline constexpr std::string_view kSoftwareRecordName = "all";

struct software_record_settings
{
  // No gateway has served any stream before this process started.
  bool mFirstStart = false;
  // How often the list of upstreams is compared with what is recorded.
  std::chrono::milliseconds mCheck{ 250 };
  // Delay after a call that failed.
  std::chrono::milliseconds mRetry{ 200 };
  // How often a record is looked for that this gateway can't begin itself.
  std::chrono::milliseconds mLookAgain{ 5000 };
  // What was read is used again for this long.
  std::chrono::milliseconds mReadAgain{ 500 };
  // A recorded version is removed once this gateway has known of it, and not
  // seen it listed, for so long. Covers gateways whose lists differ.
  std::chrono::milliseconds mRemoveAfter{ 60000 };
};

struct software_record_hooks
{
  // The pools' versions as listed now; empty unless the list is up to date.
  std::function<std::vector<pool_software>()> mListed;
  // The versions listed within the longest life of a stream, and whether this
  // gateway knows all of them.
  std::function<std::vector<pool_software>()> mSeen;
  std::function<bool()> mSeenAll;
  // The latest era of the store that this gateway knows; see store_restores.
  std::function<store_era()> mEra;
};

// The record is valid in the era of the store that it names. It then holds
// every version at which a stream has begun that a caller may still take up,
// as gateways record a version before they begin a stream there. Only while the
// store takes no writes do they begin one without.
class software_record
{
public:
  using version_callback = std::function<void(std::optional<std::uint64_t>)>;

  // All references must outlive the record.
  software_record(platform_api& aPlatform,
                  timer_service& aTimers,
                  software_record_settings aSettings,
                  software_record_hooks aHooks);
  ~software_record();
  software_record(const software_record&) = delete;
  software_record& operator=(const software_record&) = delete;

  void Start();

  // Whether a stream may begin at this version: it is recorded, or it can't be
  // for now. If not, it is being recorded.
  bool MayBegin(const pool_software& aVersion);

  // Passes the only version at which streams of the pool can have begun, or
  // nothing if there may be several or the store can't be read.
  void FindOnly(std::uint64_t aPool, version_callback aDone);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::gateway
