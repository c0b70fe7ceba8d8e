// Fixes, sends and repeats reports, one window after another.
#include "sapphirespar/duties/usage_reporter.hpp"

#include "usage_record.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/duties/usage_meter.hpp"
#include "sapphirespar/upstream/object_update.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace sapphirespar::duties {
namespace {

using std::chrono::milliseconds;
using upstream::change_kind;
using upstream::object_change;
using upstream::update_result;
using upstream::update_status;

constexpr milliseconds kTick{ 250 };
constexpr milliseconds kUpdateTimeout{ 4000 };
constexpr milliseconds kFirstRetry{ 500 };
constexpr milliseconds kLongestRetry{ 4000 };

// Gateways that have named no final counts are waited for until this part of
// the delay has passed.
constexpr int kPatiencePart = 2;

// Windows that have been over for so many windows are not reported any more.
constexpr usage_window kOldest = 12;

} // namespace

struct usage_reporter::state : std::enable_shared_from_this<state>
{
  state(platform_api& aPlatform,
        timer_service& aTimers,
        metrics& aMetrics,
        duty_lease& aLease,
        const usage_book& aBook,
        usage_reporter_settings aSettings,
        usage_reporter_hooks aHooks)
    : mPlatform(aPlatform)
    , mTimers(aTimers)
    , mMetrics(aMetrics)
    , mLease(aLease)
    , mBook(aBook)
    , mSettings(aSettings)
    , mHooks(std::move(aHooks))
  {
  }

  void Tick()
  {
    const auto now = mHooks.mNow();
    if (!mFirst) {
      mFirst = WindowAt(now, mSettings.mWindowLength);
    }
    const auto token = mLease.Token();
    if (!token || mBusy) {
      return;
    }
    if (!mLoaded) {
      Update(std::nullopt);
    } else if (mUnsent) {
      if (mTimers.Now() >= mNextCall) {
        Send(*token);
      }
    } else if (const auto window = DueWindow(now)) {
      Update(usage_report{ *window, mBook.Sum(*window) });
    }
  }

  // Returns the next window if its report can be made.
  std::optional<usage_window> DueWindow(policy::wall_time aNow) const
  {
    const auto length = mSettings.mWindowLength;
    const auto next = std::max(mLastFixed == 0 ? *mFirst : mLastFixed + 1,
                               WindowAt(aNow, length) - kOldest);
    const auto since = aNow - WindowEnd(next, length);
    if (since < milliseconds::zero()) {
      return std::nullopt;
    }
    const bool complete = mBook.IsComplete(next, mHooks.mCounting());
    return complete || since >= mSettings.mDelay / kPatiencePart
             ? std::optional(next)
             : std::nullopt;
  }

  // Reads the latest report of the store and, unless it is of aReport's window
  // or a later one, replaces it by aReport.
  void Update(std::optional<usage_report> aReport)
  {
    mBusy = true;
    const auto found = std::make_shared<std::optional<usage_record>>();
    const auto replaces = [aReport, found] {
      return aReport &&
             (!*found || (*found)->mReport.mWindow < aReport->mWindow);
    };
    const auto decide = [=](std::string_view aValue, store_era aEra) {
      *found = ReadUsageRecord(aValue);
      return replaces() ? object_change{ change_kind::Write,
                                         WriteUsageRecord({ *aReport, aEra }) }
                        : object_change{ change_kind::Keep, {} };
    };
    const auto done = [=, this, term = mTerm](const update_result& aResult) {
      mBusy = false;
      if (aResult.mStatus != update_status::Ok || term != mTerm) {
        return;
      }
      if (replaces()) {
        OnFixed(*aReport, "new");
      } else {
        OnRead(*found, aResult.mEra);
      }
    };
    upstream::UpdateObject(
      mPlatform,
      mTimers,
      { std::string(kReportKind), std::string(kReportName) },
      decide,
      kUpdateTimeout,
      weak_from_this(),
      done);
  }

  // Takes the report that the store holds, if any.
  void OnRead(const std::optional<usage_record>& aRecord, store_era aEra)
  {
    constexpr store_era kFirstEra = 1;
    const bool isLatest =
      aRecord ? aEra == 0 || aRecord->mEra == aEra : aEra <= kFirstEra;
    if (!std::exchange(mLoaded, true) && !isLatest) {
      // The store was restored. Which of the ended windows were reported before
      // is known only to the gateway that did, which may be gone or cut off.
      NoteFixed(WindowAt(mHooks.mNow(), mSettings.mWindowLength) - 1);
      LogEvent(log_level::Warning,
               "usage_unknown",
               { { "until_window", mLastFixed }, { "era", aEra } });
    }
    // An older report is from a restored store, and was sent by the holder that
    // fixed the later one.
    if (aRecord && aRecord->mReport.mWindow >= mLastFixed) {
      OnFixed(aRecord->mReport, "found");
    }
  }

  void OnFixed(const usage_report& aReport, std::string_view aSource)
  {
    mUnsent = aReport;
    mNextCall = {};
    NoteFixed(aReport.mWindow);
    LogEvent(
      log_level::Info,
      "usage_fixed",
      { { "window", aReport.mWindow },
        { "accounts", aReport.mCounts.size() },
        { "requests", Total(aReport) },
        { "age_ms",
          (mHooks.mNow() - WindowEnd(aReport.mWindow, mSettings.mWindowLength))
            .count() },
        { "source", aSource } });
    mHooks.mFixed();
  }

  static std::uint64_t Total(const usage_report& aReport)
  {
    std::uint64_t sum = 0;
    for (const auto& count : aReport.mCounts) {
      sum += count.mRequests;
    }
    return sum;
  }

  void Send(fencing_token aToken)
  {
    mBusy = true;
    mLease.NoteCall();
    mHooks.mReport(
      *mUnsent,
      aToken,
      [weak = weak_from_this(), aToken, term = mTerm](duty_reply aReply) {
        const auto self = weak.lock();
        if (self) {
          self->mBusy = false;
          self->OnReply(aReply, aToken, term);
        }
      });
  }

  void OnReply(duty_reply aReply, fencing_token aToken, std::uint64_t aTerm)
  {
    if (!mUnsent || aTerm != mTerm) {
      return;
    }
    LogEvent(log_level::Info,
             "usage_reported",
             { { "window", mUnsent->mWindow },
               { "token", aToken },
               { "reply", ToText(aReply) } });
    mMetrics.Count("duties_usage_reports_total",
                   { { "reply", ToText(aReply) } });
    if (aReply == duty_reply::Done) {
      mUnsent.reset();
      mRetry = kFirstRetry;
      return;
    }
    if (aReply == duty_reply::Refused) {
      // Either another gateway holds the duties, which the store tells, or the
      // platform has seen a call that was sent after this token was read.
      mLease.RaiseToken();
    }
    mNextCall = mTimers.Now() + mRetry;
    mRetry = std::min(2 * mRetry, kLongestRetry);
  }

  void NoteFixed(usage_window aWindow)
  {
    mLastFixed = std::max(mLastFixed, aWindow);
  }

  platform_api& mPlatform;
  timer_service& mTimers;
  metrics& mMetrics;
  duty_lease& mLease;
  const usage_book& mBook;
  const usage_reporter_settings mSettings;
  const usage_reporter_hooks mHooks;
  // The window in which this process started; unset before the first tick.
  std::optional<usage_window> mFirst;
  usage_window mLastFixed = 0;
  // Whether the report in the store has been read since the duties were taken.
  bool mLoaded = false;
  // A fixed report that the platform has not accepted yet, as far as is known.
  std::optional<usage_report> mUnsent;
  // A call to the store or the platform is in progress.
  bool mBusy = false;
  // Counts how often the duties have been taken or lost.
  std::uint64_t mTerm = 0;
  steady_time mNextCall{};
  milliseconds mRetry = kFirstRetry;
  timer_subscription mTick;
};

usage_reporter::usage_reporter(platform_api& aPlatform,
                               timer_service& aTimers,
                               metrics& aMetrics,
                               duty_lease& aLease,
                               const usage_book& aBook,
                               usage_reporter_settings aSettings,
                               usage_reporter_hooks aHooks)
  : mState(std::make_shared<state>(aPlatform,
                                   aTimers,
                                   aMetrics,
                                   aLease,
                                   aBook,
                                   aSettings,
                                   std::move(aHooks)))
{
}

usage_reporter::~usage_reporter() = default;

void
usage_reporter::Start()
{
  mState->mTick =
    mState->mTimers.Every(kTick, [self = mState.get()] { self->Tick(); });
}

void
usage_reporter::OnHolderChanged()
{
  ++mState->mTerm;
  mState->mLoaded = false;
  mState->mUnsent.reset();
}

void
usage_reporter::NoteFixed(usage_window aWindow)
{
  mState->NoteFixed(aWindow);
}

usage_window
usage_reporter::LastFixed() const
{
  return mState->mLastFixed;
}

} // namespace sapphirespar::duties
