// Lists the drain objects, then watches for changes from that version. Lists
// again after any failure of the watch.
#include "sapphirespar/upstream/drain_watcher.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::upstream {
namespace {

using namespace std::chrono_literals;

// Time for which the platform holds one watch open.
constexpr std::chrono::milliseconds kWatchWait = 25s;
// A watch that has not answered by then is taken to be broken.
constexpr std::chrono::milliseconds kWatchTimeout = kWatchWait + 5s;
// Delay after a failed call; doubles with each failure in a row.
constexpr std::chrono::milliseconds kInitialBackoff = 250ms;
constexpr std::chrono::milliseconds kMaxBackoff = 4s;
// For this long after a restore of the store, drains that the copy lacks stay
// in force, so that operators can begin them again. The drains are listed at
// the interval meanwhile.
constexpr std::chrono::milliseconds kRewriteTime = 5s;
constexpr std::chrono::milliseconds kRewriteInterval = 1s;

} // namespace

class drain_watcher::state : public std::enable_shared_from_this<state>
{
public:
  state(platform_api& aPlatform,
        timer_service& aTimers,
        drain_callback aOnChange)
    : mPlatform(aPlatform)
    , mTimers(aTimers)
    , mOnChange(std::move(aOnChange))
  {
  }

  void List();

private:
  void Watch();
  void OnList(const list_answer& aAnswer);
  void OnWatch(const list_answer& aAnswer);
  void NoteEra(store_era aEra);
  void ListAfter(steady_duration aDelay);
  list_callback BeginCall(void (state::*aHandler)(const list_answer&));
  void Retry();

  platform_api& mPlatform;
  timer_service& mTimers;
  const drain_callback mOnChange;
  std::set<upstream_id> mDrained;
  object_version mFrom = kNoObject;
  // The latest era of the store; zero if it has told none. mFrom belongs to it.
  store_era mEra = 0;
  // Until then, drains that are not listed stay in force.
  steady_time mKeepUntil{};
  std::chrono::milliseconds mBackoff = kInitialBackoff;
  // Number of the latest call; answers to earlier calls are ignored.
  std::uint64_t mCall = 0;
  timer_subscription mTimer;
};

// Begins a new call and returns the callback for its answer. The callback
// ignores the answer if a later call has begun since.
list_callback
drain_watcher::state::BeginCall(void (state::*aHandler)(const list_answer&))
{
  return [weak = weak_from_this(), call = ++mCall, aHandler](auto aAnswer) {
    const auto self = weak.lock();
    if (self && self->mCall == call) {
      ((*self).*aHandler)(aAnswer);
    }
  };
}

void
drain_watcher::state::List()
{
  auto done = BeginCall(&state::OnList);
  ListAfter(kWatchTimeout);
  mPlatform.List(std::string(kDrainKind), std::move(done));
}

void
drain_watcher::state::NoteEra(store_era aEra)
{
  if (aEra <= mEra) {
    return;
  }
  if (std::exchange(mEra, aEra) != 0) {
    mKeepUntil = mTimers.Now() + kRewriteTime;
  }
}

void
drain_watcher::state::OnList(const list_answer& aAnswer)
{
  NoteEra(aAnswer.mEra);
  if (aAnswer.mStatus != platform_status::Ok) {
    Retry();
    return;
  }
  std::set<upstream_id> drained;
  std::ranges::transform(
    aAnswer.mObjects,
    std::inserter(drained, drained.end()),
    [](const auto& aObject) { return upstream_id{ aObject.mKey.mName }; });
  mFrom = aAnswer.mVersion;
  const bool keeps = mTimers.Now() < mKeepUntil;
  if (keeps) {
    drained.insert(mDrained.begin(), mDrained.end());
  }
  if (drained != mDrained) {
    mDrained = std::move(drained);
    mOnChange(mDrained);
  }
  if (keeps) {
    ListAfter(kRewriteInterval);
  } else {
    Watch();
  }
}

void
drain_watcher::state::Watch()
{
  mBackoff = kInitialBackoff;
  auto done = BeginCall(&state::OnWatch);
  ListAfter(kWatchTimeout);
  mPlatform.Watch(std::string(kDrainKind), mFrom, kWatchWait, std::move(done));
}

void
drain_watcher::state::OnWatch(const list_answer& aAnswer)
{
  const auto era = mEra;
  NoteEra(aAnswer.mEra);
  if (era != 0 && era != mEra) {
    List();
    return;
  }
  if (aAnswer.mStatus != platform_status::Ok) {
    Retry();
    return;
  }
  for (const auto& object : aAnswer.mObjects) {
    const upstream_id id{ object.mKey.mName };
    if (object.mDeleted) {
      mDrained.erase(id);
    } else {
      mDrained.insert(id);
    }
  }
  mFrom = aAnswer.mVersion;
  if (!aAnswer.mObjects.empty()) {
    mOnChange(mDrained);
  }
  Watch();
}

void
drain_watcher::state::ListAfter(steady_duration aDelay)
{
  mTimer = mTimers.After(aDelay, [this] { List(); });
}

void
drain_watcher::state::Retry()
{
  LogEvent(log_level::Debug, "drain_watch_failed");
  ++mCall;
  ListAfter(mBackoff);
  mBackoff = std::min(mBackoff * 2, kMaxBackoff);
}

drain_watcher::drain_watcher(platform_api& aPlatform,
                             timer_service& aTimers,
                             drain_callback aOnChange)
  : mState(std::make_shared<state>(aPlatform, aTimers, std::move(aOnChange)))
{
  mState->List();
}

drain_watcher::~drain_watcher() = default;

} // namespace sapphirespar::upstream
