// Lengths of pauses, and their exchange.
#include "sapphirespar/gateway/brittle_guard.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <iterator>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

// After a pause, the first gateway to return may be turned away again. With
// this many pauses in the time of the rejections that are tolerated, there is
// room for those that are on their way while gateways are told.
constexpr double kPausesPerTolerance = 0.25;

constexpr milliseconds kMinimumPause{ 250 };

// A request that is turned away is so within a round trip between data centres.
constexpr milliseconds kSpacing{ 50 };

// How long after a pause requests are spaced out.
constexpr std::chrono::seconds kSpacedFor{ 5 };
constexpr milliseconds kMaximumPause{ 4000 };

milliseconds
PauseFor(double aTolerated)
{
  constexpr double kMsPerSecond = 1000;
  const auto perSecond = kPausesPerTolerance * aTolerated;
  const auto longest = static_cast<double>(kMaximumPause.count());
  const auto length =
    perSecond > 0 ? std::min(kMsPerSecond / perSecond, longest) : longest;
  return std::max(milliseconds(static_cast<std::int64_t>(length)),
                  kMinimumPause);
}

} // namespace

brittle_guard::brittle_guard(timer_service& aTimers, brittle_hooks aHooks)
  : mTimers(aTimers)
  , mHooks(std::move(aHooks))
  , mAlert(mTimers, mHooks.mTellPeers)
{
}

void
brittle_guard::OnRejected(upstream& aUpstream, double aTolerated)
{
  const auto pause = PauseFor(aTolerated);
  const auto now = mTimers.Now();
  LogEvent(log_level::Info,
           "brittle_upstream_full",
           { { "upstream", aUpstream.mEntry.mId.mText },
             { "tolerates_per_s", aTolerated },
             { "slots", aUpstream.mEntry.mSlots },
             { "own_running", aUpstream.mOwnLoad.mRunning },
             { "others_running", aUpstream.mPeerLoad.mRunning },
             { "pausing", aUpstream.TurnsAway(now) } });
  std::erase_if(mOwn, [&](const own_pause& aPause) {
    return aPause.mUpstream == aUpstream.mKey || aPause.mUntil <= now;
  });
  mOwn.push_back({ aUpstream.mKey, now + pause });
  Pause(aUpstream, pause, "answer");
  mAlert.Raise();
}

void
brittle_guard::Pause(upstream& aUpstream,
                     milliseconds aPause,
                     std::string_view aSource)
{
  const auto length =
    aPause + milliseconds(static_cast<std::int64_t>(
               static_cast<double>(aPause.count()) * mHooks.mDraw()));
  const auto now = mTimers.Now();
  if (aUpstream.mTurnsAwayUntil >= now + aPause) {
    return;
  }
  aUpstream.mTurnsAwayUntil = now + length;
  aUpstream.mSpacedUntil = now + length + kSpacedFor;
  LogEvent(log_level::Info,
           "brittle_upstream_spared",
           { { "upstream", aUpstream.mEntry.mId.mText },
             { "for_ms", length.count() },
             { "source", aSource } });
}

void
brittle_guard::OnSend(upstream& aUpstream) const
{
  const auto now = mTimers.Now();
  if (now < aUpstream.mSpacedUntil) {
    aUpstream.mTurnsAwayUntil =
      std::max(aUpstream.mTurnsAwayUntil, now + kSpacing);
  }
}

void
brittle_guard::Merge(std::span<const upstream_pause> aReported)
{
  for (const auto& reported : aReported) {
    if (const auto found = mHooks.mFind(reported.mUpstream)) {
      Pause(*found, std::min(reported.mLeft, kMaximumPause), "peer");
    }
  }
}

std::vector<upstream_pause>
brittle_guard::Report() const
{
  constexpr std::size_t kMaximumReported = 64;
  const auto now = mTimers.Now();
  std::vector<upstream_pause> report;
  for (const auto& pause : mOwn) {
    if (pause.mUntil > now && report.size() < kMaximumReported) {
      report.push_back({ pause.mUpstream,
                         std::chrono::ceil<milliseconds>(pause.mUntil - now) });
    }
  }
  return report;
}

} // namespace sapphirespar::gateway
