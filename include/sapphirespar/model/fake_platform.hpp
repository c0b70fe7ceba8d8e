// An in-memory platform for tests and simulations under virtual time. Several
// clients share one store, and each client has faults of its own.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/platform.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sapphirespar {

// The state shared by all clients: the objects and the list of VMs.
class fake_store
{
public:
  // Returns the object, or null. A deleted object is returned as a tombstone.
  const platform_object* Find(const object_key& aKey) const;

  // Returns the objects of a kind that changed after aFrom, in order of their
  // versions.
  std::vector<platform_object> Changes(std::string_view aKind,
                                       object_version aFrom) const;

  // Writes if the object's version is aExpected, else returns Conflict.
  // aDeleted writes a tombstone. A write of the same value succeeds and leaves
  // the version as it is.
  object_answer Write(object_key aKey,
                      std::string aValue,
                      bool aDeleted,
                      object_version aExpected);

  object_version Version() const { return mVersion; }

  // Discards the change history: watches that start before the current version
  // return Compacted.
  void Compact() { mCompacted = mVersion; }
  // Also true of a version that the store doesn't have.
  bool IsCompacted(object_version aFrom) const
  {
    return aFrom < mCompacted || aFrom > mVersion;
  }

  // The objects and the version at one time.
  struct copy
  {
    object_version mVersion = 0;
    std::map<object_key, platform_object> mObjects;
  };
  copy Copy() const { return { mVersion, mObjects }; }

  // Brings an older copy back and begins a new era.
  void Restore(copy aCopy);

  // Zero tells clients nothing.
  store_era mEra = 0;

  std::vector<vm_listing> mVms;

private:
  friend class fake_platform;

  object_version mVersion = 0;
  object_version mCompacted = 0;
  std::map<object_key, platform_object> mObjects;
  // Called after each write; the key is the number of the subscriber.
  std::map<std::uint64_t, std::function<void()>> mListeners;
  std::uint64_t mNextListener = 1;
};

// Injected faults of one client; may be changed while the client is in use.
struct platform_faults
{
  // New calls and calls in progress return Unavailable; a write that has
  // reached the store returns Unknown.
  bool mOutage = false;
  // Calls that reach the store return Throttled and have no effect.
  bool mThrottle = false;
  // Watches report no change and return Unavailable when their wait has passed.
  bool mBreakWatches = false;
  // Single objects cannot be read, although lists and watches succeed: a Get
  // returns Unavailable, or nothing with mIgnoreGets.
  bool mFailGets = false;
  bool mIgnoreGets = false;
  // Number of upcoming writes that take effect but return Unknown.
  unsigned mLoseAnswers = 0;
  // Number of upcoming writes that have no effect and return Unknown.
  unsigned mLoseRequests = 0;
  // Round-trip time of a call, half of it in each direction.
  steady_duration mDelay{};
};

// Number of calls of each kind since the start. A watch counts as one call,
// however long it waits.
struct platform_call_counts
{
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mWatches = 0;
  std::uint64_t mVmLists = 0;

  std::uint64_t Total() const { return mReads + mWrites + mWatches + mVmLists; }
};

// One client. Callbacks run through the timer service, never within the call
// itself. Destroying the client drops all calls in progress, as a crash would.
class fake_platform : public platform_api
{
public:
  fake_platform(timer_service& aTimers, std::shared_ptr<fake_store> aStore);
  ~fake_platform() override;

  platform_faults& Faults() { return mFaults; }
  fake_store& Store() { return *mStore; }
  const platform_call_counts& Calls() const { return mCalls; }

  void Get(object_key aKey, object_callback aDone) override;
  void List(std::string aKind, list_callback aDone) override;
  void Put(object_key aKey,
           std::string aValue,
           object_version aExpected,
           object_callback aDone) override;
  void Delete(object_key aKey,
              object_version aExpected,
              object_callback aDone) override;
  void Watch(std::string aKind,
             object_version aFrom,
             std::chrono::milliseconds aWait,
             list_callback aDone) override;
  void ListVms(vm_list_callback aDone) override;

private:
  struct waiting_watch
  {
    std::string mKind;
    object_version mFrom = 0;
    list_callback mDone;
    timer_subscription mDeadline;
  };

  // Calls aWork after aDelay, unless this client has been destroyed.
  void RunAfter(steady_duration aDelay, std::function<void()> aWork);
  // Calls aWork when the call has reached the store, with Ok or the status of
  // an injected fault.
  void RunAtStore(std::function<void(platform_status)> aWork);
  void Write(object_key aKey,
             std::string aValue,
             bool aDeleted,
             object_version aExpected,
             object_callback aDone);
  object_answer Apply(object_key aKey,
                      std::string aValue,
                      bool aDeleted,
                      object_version aExpected);
  void BeginWatch(waiting_watch aWatch, std::chrono::milliseconds aWait);
  void EndWatch(std::uint64_t aId);
  void EndDueWatches();
  bool IsDue(const waiting_watch& aWatch) const;
  list_answer Answer(std::string_view aKind, object_version aFrom) const;

  timer_service& mTimers;
  std::shared_ptr<fake_store> mStore;
  platform_faults mFaults;
  platform_call_counts mCalls;
  std::uint64_t mNextId = 1;
  std::uint64_t mListener = 0;
  std::map<std::uint64_t, timer_subscription> mPending;
  std::map<std::uint64_t, waiting_watch> mWatches;
};

} // namespace sapphirespar
