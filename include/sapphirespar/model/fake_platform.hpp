// An in-memory platform for tests and trials under virtual time. Several
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

// What all clients see: the objects and the list of vms.
class fake_store
{
public:
  // Returns the object, deleted or not, or null.
  const platform_object* Find(const object_key& aKey) const;

  // Objects of a kind changed after aFrom, in order of their versions.
  std::vector<platform_object> Changes(std::string_view aKind,
                                       object_version aFrom) const;

  // Applies a conditional write; aDeleted leaves a tombstone.
  object_answer Write(object_key aKey,
                      std::string aValue,
                      bool aDeleted,
                      object_version aExpected);

  object_version Version() const { return mVersion; }

  // Forgets what changed so far: older watches are answered Compacted.
  void Compact() { mCompacted = mVersion; }
  bool IsCompacted(object_version aFrom) const { return aFrom < mCompacted; }

  std::vector<vm_listing> mVms;

private:
  friend class fake_platform;

  object_version mVersion = 0;
  object_version mCompacted = 0;
  std::map<object_key, platform_object> mObjects;
  // Called after each write, by a number of the subscriber's.
  std::map<std::uint64_t, std::function<void()>> mListeners;
  std::uint64_t mNextListener = 1;
};

// Faults of one client, changed at will while it runs.
struct platform_faults
{
  // Calls in progress and new ones fail; a write in progress is Unknown.
  bool mOutage = false;
  bool mThrottle = false;
  // Watches neither answer nor fail before their wait and are then lost.
  bool mBreakWatches = false;
  // So many next writes take effect but are answered Unknown.
  unsigned mLoseAnswers = 0;
  // So many next writes have no effect and are answered Unknown.
  unsigned mLoseRequests = 0;
  // Of one call, half of it each way.
  steady_duration mDelay{};
};

// Calls by kind since the start; a waiting watch is one call.
struct platform_call_counts
{
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mWatches = 0;
  std::uint64_t mVmLists = 0;

  std::uint64_t Total() const { return mReads + mWrites + mWatches + mVmLists; }
};

// One client. Answers arrive through the timer service, never from within the
// call itself. Its destruction drops whatever is in progress, as a crash does.
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

  // Calls aWork once aDelay has passed, unless this client is gone by then.
  void Later(steady_duration aDelay, std::function<void()> aWork);
  // Calls aWork when a call has reached the store, with Ok or a failure.
  void Arrive(std::function<void(platform_status)> aWork);
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
  void WakeWatches();
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
