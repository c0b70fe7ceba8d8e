// Interface of the platform's object API. Calls complete through callbacks, so
// that the same code runs with the HTTP client and with a fake under virtual
// time.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar {

// The version rises with every write to any object of the store.
using object_version = std::uint64_t;

// How often the store has come back from an older copy of itself, as it counts;
// zero if it doesn't tell. In a new era, versions are given out again.
using store_era = std::uint64_t;

// The expected version of an object that must not exist yet.
inline constexpr object_version kNoObject = 0;

// Largest value that the store accepts.
inline constexpr std::size_t kObjectLimitBytes = 1024 * 1024;

// Returns a number for calls that are made on the strength of a write. It is
// higher than those of all earlier writes, also than those of earlier eras, in
// which the same versions may have been given out.
std::uint64_t FencingNumber(store_era aEra, object_version aVersion);

struct object_key
{
  // For example "bundle", "claims" or "order".
  std::string mKind;
  std::string mName;

  auto operator<=>(const object_key&) const = default;
};

struct platform_object
{
  object_key mKey;
  object_version mVersion = kNoObject;
  std::string mValue;
  // Set in watch events for a deleted object.
  bool mDeleted = false;
};

enum class platform_status
{
  Ok,
  NotFound,
  // The expected version is not the current one; nothing was written.
  Conflict,
  // Rejected by the rate limit; nothing was written.
  Throttled,
  // The call failed; a write provably had no effect.
  Unavailable,
  // The write may or may not have taken effect; read the object to find out.
  Unknown,
  // The value is larger than kObjectLimitBytes.
  TooLarge,
  // The store has discarded the changes since the watch's start version; list
  // again.
  Compacted,
};

// Returns the status's name in logs, such as "not_found".
std::string_view ToText(platform_status aStatus);

struct object_answer
{
  platform_status mStatus = platform_status::Unavailable;
  // After Ok, the object; after Conflict, the current one if the store returns
  // it.
  platform_object mObject;
  // Told by any answer of the store, also by refusals.
  store_era mEra = 0;
};

struct list_answer
{
  platform_status mStatus = platform_status::Unavailable;
  std::vector<platform_object> mObjects;
  // A watch that starts from this version misses no change.
  object_version mVersion = kNoObject;
  // Told by any answer of the store, also by refusals.
  store_era mEra = 0;
};

// One entry of the platform's list of VMs, which may be out of date.
struct vm_listing
{
  std::string mVm;
  std::string mDataCentre;
  std::string mAddress;
  // Port for callers and port for peers.
  std::uint16_t mPort = 0;
  std::uint16_t mPeerPort = 0;
  bool mLeaving = false;
};

struct vm_list_answer
{
  platform_status mStatus = platform_status::Unavailable;
  std::vector<vm_listing> mVms;
};

using object_callback = std::function<void(object_answer)>;
using list_callback = std::function<void(list_answer)>;
using vm_list_callback = std::function<void(vm_list_answer)>;

class platform_api
{
public:
  virtual ~platform_api() = default;

  virtual void Get(object_key aKey, object_callback aDone) = 0;
  virtual void List(std::string aKind, list_callback aDone) = 0;

  // Writes aValue if the object's version is aExpected; kNoObject creates.
  virtual void Put(object_key aKey,
                   std::string aValue,
                   object_version aExpected,
                   object_callback aDone) = 0;

  virtual void Delete(object_key aKey,
                      object_version aExpected,
                      object_callback aDone) = 0;

  // Waits up to aWait for changes of a kind after aFrom. Counts as one call,
  // however long it waits.
  virtual void Watch(std::string aKind,
                     object_version aFrom,
                     std::chrono::milliseconds aWait,
                     list_callback aDone) = 0;

  virtual void ListVms(vm_list_callback aDone) = 0;
};

} // namespace sapphirespar
