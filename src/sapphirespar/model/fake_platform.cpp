// Implements the in-memory store and its clients.
#include "sapphirespar/model/fake_platform.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar {

const platform_object*
fake_store::Find(const object_key& aKey) const
{
  const auto found = mObjects.find(aKey);
  return found == mObjects.end() ? nullptr : &found->second;
}

std::vector<platform_object>
fake_store::Changes(std::string_view aKind, object_version aFrom) const
{
  std::vector<platform_object> changes;
  for (const auto& [key, object] : mObjects) {
    if (object.mKey.mKind == aKind && object.mVersion > aFrom) {
      changes.push_back(object);
    }
  }
  std::ranges::sort(changes, {}, &platform_object::mVersion);
  return changes;
}

object_answer
fake_store::Write(object_key aKey,
                  std::string aValue,
                  bool aDeleted,
                  object_version aExpected)
{
  if (aValue.size() > kObjectLimitBytes) {
    return { platform_status::TooLarge, {} };
  }
  const auto* current = Find(aKey);
  const bool exists = current && !current->mDeleted;
  const auto version = exists ? current->mVersion : kNoObject;
  if (version != aExpected) {
    return { platform_status::Conflict, exists ? *current : platform_object{} };
  }
  // A write that changes nothing is not counted.
  if (exists && !aDeleted && current->mValue == aValue) {
    return { platform_status::Ok, *current };
  }
  platform_object written{ aKey, ++mVersion, std::move(aValue), aDeleted };
  mObjects[std::move(aKey)] = written;
  const auto listeners = mListeners;
  for (const auto& [id, listener] : listeners) {
    listener();
  }
  return { platform_status::Ok, std::move(written) };
}

void
fake_store::Restore(copy aCopy)
{
  mVersion = aCopy.mVersion;
  mCompacted = aCopy.mVersion;
  mObjects = std::move(aCopy.mObjects);
  ++mEra;
}

fake_platform::fake_platform(timer_service& aTimers,
                             std::shared_ptr<fake_store> aStore)
  : mTimers(aTimers)
  , mStore(std::move(aStore))
  , mListener(mStore->mNextListener++)
{
  mStore->mListeners[mListener] = [this] { EndDueWatches(); };
}

fake_platform::~fake_platform()
{
  mStore->mListeners.erase(mListener);
}

void
fake_platform::RunAfter(steady_duration aDelay, std::function<void()> aWork)
{
  const auto id = mNextId++;
  mPending[id] = mTimers.After(aDelay, [this, id, work = std::move(aWork)] {
    // work may destroy this client, so no member is used after the call.
    const auto node = mPending.extract(id);
    work();
  });
}

void
fake_platform::RunAtStore(std::function<void(platform_status)> aWork)
{
  RunAfter(mFaults.mDelay / 2, [this, work = std::move(aWork)] {
    if (mFaults.mOutage) {
      work(platform_status::Unavailable);
    } else if (mFaults.mThrottle) {
      work(platform_status::Throttled);
    } else {
      work(platform_status::Ok);
    }
  });
}

void
fake_platform::Get(object_key aKey, object_callback aDone)
{
  ++mCalls.mReads;
  RunAtStore([this, key = std::move(aKey), done = std::move(aDone)](
               platform_status aStatus) {
    object_answer answer{ aStatus, {} };
    answer.mEra = mFaults.mOutage ? 0 : mStore->mEra;
    if (aStatus == platform_status::Ok) {
      const auto* object = mStore->Find(key);
      const bool exists = object && !object->mDeleted;
      answer.mStatus = exists ? platform_status::Ok : platform_status::NotFound;
      answer.mObject = exists ? *object : platform_object{};
    }
    if (mFaults.mIgnoreGets) {
      return;
    }
    const bool fails = mFaults.mFailGets;
    RunAfter(mFaults.mDelay / 2, [this, answer, done, fails] {
      done(mFaults.mOutage || fails ? object_answer{} : answer);
    });
  });
}

list_answer
fake_platform::Answer(std::string_view aKind, object_version aFrom) const
{
  return { platform_status::Ok,
           mStore->Changes(aKind, aFrom),
           mStore->Version(),
           mStore->mEra };
}

void
fake_platform::List(std::string aKind, list_callback aDone)
{
  ++mCalls.mReads;
  RunAtStore([this, kind = std::move(aKind), done = std::move(aDone)](
               platform_status aStatus) {
    list_answer answer{ aStatus, {}, 0 };
    if (aStatus == platform_status::Ok) {
      answer = Answer(kind, 0);
      std::erase_if(answer.mObjects, &platform_object::mDeleted);
    }
    RunAfter(mFaults.mDelay / 2, [this, answer, done] {
      done(mFaults.mOutage ? list_answer{} : answer);
    });
  });
}

void
fake_platform::Put(object_key aKey,
                   std::string aValue,
                   object_version aExpected,
                   object_callback aDone)
{
  Write(std::move(aKey), std::move(aValue), false, aExpected, std::move(aDone));
}

void
fake_platform::Delete(object_key aKey,
                      object_version aExpected,
                      object_callback aDone)
{
  Write(std::move(aKey), {}, true, aExpected, std::move(aDone));
}

void
fake_platform::Write(object_key aKey,
                     std::string aValue,
                     bool aDeleted,
                     object_version aExpected,
                     object_callback aDone)
{
  ++mCalls.mWrites;
  RunAtStore([this,
              key = std::move(aKey),
              value = std::move(aValue),
              aDeleted,
              aExpected,
              done = std::move(aDone)](platform_status aStatus) {
    object_answer answer{ aStatus, {} };
    if (aStatus == platform_status::Ok) {
      answer = Apply(key, value, aDeleted, aExpected);
    }
    // A lost answer tells no era.
    const bool told = answer.mStatus != platform_status::Unknown;
    answer.mEra = told && !mFaults.mOutage ? mStore->mEra : 0;
    RunAfter(mFaults.mDelay / 2, [this, answer, done] {
      const bool reached = answer.mStatus != platform_status::Unavailable;
      done(mFaults.mOutage && reached
             ? object_answer{ platform_status::Unknown, {} }
             : answer);
    });
  });
}

object_answer
fake_platform::Apply(object_key aKey,
                     std::string aValue,
                     bool aDeleted,
                     object_version aExpected)
{
  const object_answer lost{ platform_status::Unknown, {} };
  if (mFaults.mLoseRequests > 0) {
    --mFaults.mLoseRequests;
    return lost;
  }
  const auto answer =
    mStore->Write(std::move(aKey), std::move(aValue), aDeleted, aExpected);
  if (mFaults.mLoseAnswers > 0) {
    --mFaults.mLoseAnswers;
    return lost;
  }
  return answer;
}

void
fake_platform::Watch(std::string aKind,
                     object_version aFrom,
                     std::chrono::milliseconds aWait,
                     list_callback aDone)
{
  ++mCalls.mWatches;
  RunAtStore(
    [this, kind = std::move(aKind), aFrom, aWait, done = std::move(aDone)](
      platform_status aStatus) {
      if (aStatus == platform_status::Ok && mStore->IsCompacted(aFrom)) {
        aStatus = platform_status::Compacted;
      }
      if (aStatus != platform_status::Ok) {
        const auto era = mFaults.mOutage ? 0 : mStore->mEra;
        RunAfter(mFaults.mDelay / 2, [aStatus, era, done] {
          done(list_answer{ aStatus, {}, 0, era });
        });
        return;
      }
      BeginWatch({ kind, aFrom, done, {} }, aWait);
    });
}

void
fake_platform::BeginWatch(waiting_watch aWatch, std::chrono::milliseconds aWait)
{
  const auto id = mNextId++;
  aWatch.mDeadline = mTimers.After(aWait, [this, id] { EndWatch(id); });
  const auto& added = mWatches.emplace(id, std::move(aWatch)).first->second;
  if (IsDue(added)) {
    EndWatch(id);
  }
}

bool
fake_platform::IsDue(const waiting_watch& aWatch) const
{
  return !mFaults.mBreakWatches && !mFaults.mOutage &&
         !mStore->Changes(aWatch.mKind, aWatch.mFrom).empty();
}

void
fake_platform::EndWatch(std::uint64_t aId)
{
  const auto node = mWatches.extract(aId);
  const auto& watch = node.mapped();
  const bool lost = mFaults.mBreakWatches || mFaults.mOutage;
  const auto answer = lost ? list_answer{} : Answer(watch.mKind, watch.mFrom);
  RunAfter(mFaults.mDelay / 2, [answer, done = watch.mDone] { done(answer); });
}

void
fake_platform::EndDueWatches()
{
  std::vector<std::uint64_t> due;
  for (const auto& [id, watch] : mWatches) {
    if (IsDue(watch)) {
      due.push_back(id);
    }
  }
  std::ranges::for_each(due, [this](std::uint64_t aId) { EndWatch(aId); });
}

void
fake_platform::ListVms(vm_list_callback aDone)
{
  ++mCalls.mVmLists;
  RunAtStore([this, done = std::move(aDone)](platform_status aStatus) {
    vm_list_answer answer{ aStatus, {} };
    if (aStatus == platform_status::Ok) {
      answer.mVms = mStore->mVms;
    }
    RunAfter(mFaults.mDelay / 2, [this, answer, done] {
      done(mFaults.mOutage ? vm_list_answer{} : answer);
    });
  });
}

} // namespace sapphirespar
