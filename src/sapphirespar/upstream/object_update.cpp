// Implements the loop of read, decide and conditional write.
#include "sapphirespar/upstream/object_update.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace sapphirespar::upstream {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kInitialBackoff = 100ms;
constexpr std::chrono::milliseconds kMaxBackoff = 2s;
// A platform call without an answer by then is taken to be lost.
constexpr std::chrono::milliseconds kCallTimeout = 2s;

// The pending callbacks own the loop, so it lives until the update ends.
class update_loop : public std::enable_shared_from_this<update_loop>
{
public:
  update_loop(platform_api& aPlatform,
              timer_service& aTimers,
              object_key aKey,
              change_decision aDecide,
              steady_duration aTimeout,
              std::weak_ptr<void> aOwner,
              update_callback aDone)
    : mPlatform(aPlatform)
    , mTimers(aTimers)
    , mKey(std::move(aKey))
    , mDecide(std::move(aDecide))
    , mOwner(std::move(aOwner))
    , mDone(std::move(aDone))
    , mDeadline(aTimers.Now() + aTimeout)
  {
  }

  void Read() { mPlatform.Get(mKey, BeginCall(&update_loop::OnRead)); }

private:
  using handler = void (update_loop::*)(const object_answer&);

  // Begins a platform call and returns the callback for its answer. If no
  // answer arrives within kCallTimeout, aHandler gets the status Unknown.
  object_callback BeginCall(handler aHandler)
  {
    auto finish = [self = shared_from_this(), call = ++mCall, aHandler](
                    const object_answer& aAnswer) {
      if (self->mCall == call && !self->mOwner.expired()) {
        ++self->mCall;
        ((*self).*aHandler)(aAnswer);
      }
    };
    mTimer = mTimers.After(kCallTimeout, [finish] {
      object_answer timedOut;
      timedOut.mStatus = platform_status::Unknown;
      finish(timedOut);
    });
    return finish;
  }

  void OnRead(const object_answer& aAnswer)
  {
    const auto found = aAnswer.mStatus == platform_status::Ok;
    if (!found && aAnswer.mStatus != platform_status::NotFound) {
      Retry();
      return;
    }
    mRead = found ? aAnswer.mObject.mVersion : kNoObject;
    mReadEra = aAnswer.mEra;
    auto change =
      mDecide(found ? aAnswer.mObject.mValue : std::string(), mReadEra);
    if (change.mKind == change_kind::Write) {
      mPlatform.Put(mKey,
                    std::move(change.mValue),
                    mRead,
                    BeginCall(&update_loop::OnWritten));
    } else if (change.mKind == change_kind::Remove) {
      mPlatform.Delete(mKey, mRead, BeginCall(&update_loop::OnWritten));
    } else {
      End(change.mKind == change_kind::Keep ? update_status::Ok
                                            : update_status::Stopped);
    }
  }

  void OnWritten(const object_answer& aAnswer)
  {
    // In another era, the version may belong to a value that was not read.
    const bool inEra = aAnswer.mEra == 0 || aAnswer.mEra == mReadEra;
    if (aAnswer.mStatus == platform_status::Ok && inEra) {
      mRead = aAnswer.mObject.mVersion;
      End(update_status::Ok);
    } else {
      Retry();
    }
  }

  void Retry()
  {
    if (mTimers.Now() + mBackoff >= mDeadline) {
      End(update_status::TimedOut);
      return;
    }
    mTimer = mTimers.After(mBackoff, [self = shared_from_this()] {
      if (!self->mOwner.expired()) {
        self->Read();
      }
    });
    mBackoff = std::min(mBackoff * 2, kMaxBackoff);
  }

  void End(update_status aStatus)
  {
    // Clearing the timer may release the last reference to this loop.
    const auto self = shared_from_this();
    mTimer = {};
    mDone({ aStatus, mRead, mReadEra });
  }

  platform_api& mPlatform;
  timer_service& mTimers;
  const object_key mKey;
  const change_decision mDecide;
  const std::weak_ptr<void> mOwner;
  const update_callback mDone;
  const steady_time mDeadline;
  std::chrono::milliseconds mBackoff = kInitialBackoff;
  // The object's version as read or written, and the era of that answer.
  object_version mRead = kNoObject;
  store_era mReadEra = 0;
  // Number of the latest call; answers to earlier calls are ignored.
  std::uint64_t mCall = 0;
  timer_subscription mTimer;
};

} // namespace

void
UpdateObject(platform_api& aPlatform,
             timer_service& aTimers,
             object_key aKey,
             change_decision aDecide,
             steady_duration aTimeout,
             std::weak_ptr<void> aOwner,
             update_callback aDone)
{
  std::make_shared<update_loop>(aPlatform,
                                aTimers,
                                std::move(aKey),
                                std::move(aDecide),
                                aTimeout,
                                std::move(aOwner),
                                std::move(aDone))
    ->Read();
}

} // namespace sapphirespar::upstream
