// The platform's object API as the system's parts see it. Calls complete
// through callbacks, so that the same code runs against the HTTP client and
// against a fake under virtual time.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar {

// Versions rise with every write to the store, whatever the object.
using object_version = std::uint64_t;

// The expected version of an object that must not exist yet.
inline constexpr object_version kNoObject = 0;

// Largest value that the store takes.
inline constexpr std::size_t kObjectLimitBytes = 1024 * 1024;

struct object_key
{
  // Such as "bundle", "claims" or "order".
  std::string mKind;
  std::string mName;

  auto operator<=>(const object_key&) const = default;
};

struct platform_object
{
  object_key mKey;
  object_version mVersion = kNoObject;
  std::string mValue;
  // Set in watch events for an object that is gone.
  bool mDeleted = false;
};

enum class platform_status
{
  Ok,
  NotFound,
  // The expected version is not the current one; nothing was written.
  Conflict,
  // Refused for rate; nothing was written.
  Throttled,
  // Provably not applied: the call never reached the store.
  Unavailable,
  // A write that may or may not have taken effect: read it back.
  Unknown,
  // The value is over kObjectLimitBytes.
  TooLarge,
  // The watch's start version is no longer kept: list again.
  Compacted,
};

// Returns the status as it stands in logs, such as "not_found".
std::string_view ToText(platform_status aStatus);

struct object_answer
{
  platform_status mStatus = platform_status::Unavailable;
  // After Ok the object; after Conflict the current one if the store says it.
  platform_object mObject;
};

struct list_answer
{
  platform_status mStatus = platform_status::Unavailable;
  std::vector<platform_object> mObjects;
  // Watch from here to miss nothing.
  object_version mVersion = kNoObject;
};

// One entry of the platform's lagging list of vms.
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

  // Waits up to aWait for changes of a kind after aFrom. Counts as one call.
  virtual void Watch(std::string aKind,
                     object_version aFrom,
                     std::chrono::milliseconds aWait,
                     list_callback aDone) = 0;

  virtual void ListVms(vm_list_callback aDone) = 0;
};

} // namespace sapphirespar
