// Exchange of evidence and quarantines with other gateways.
#include "sapphirespar/policy/crash_suspects.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::policy {
namespace {

using std::chrono::milliseconds;

// Crashes are reported for this long and not taken over later: a gateway that
// returns doesn't know what survived in between.
constexpr std::chrono::seconds kReportFor{ 3 };

// Difference between the times of one event at different gateways.
constexpr milliseconds kSkew{ 100 };

// A quarantine whose part was seen longer ago than this is not adopted. It ends
// soon.
constexpr std::chrono::minutes kAdoptFor{ 59 };

// Smaller differences are delays of messages, which would add up.
constexpr std::chrono::minutes kSeenStep{ 1 };

// Entries of each kind in a report, which goes into a datagram.
constexpr std::size_t kMaximumReported = 48;
constexpr std::size_t kMaximumAdopted = 32;

milliseconds
AgeOf(steady_time aTime, steady_time aNow)
{
  const auto age = std::chrono::duration_cast<milliseconds>(aNow - aTime);
  return std::max(age, milliseconds::zero());
}

} // namespace

void
crash_suspects::Merge(const crash_report& aReport, steady_time aNow)
{
  for (const auto& reported : aReport.mCrashes) {
    if (reported.mAge > kReportFor) {
      continue;
    }
    std::optional<steady_time> sent;
    if (reported.mSentAge) {
      sent = aNow - *reported.mSentAge;
    }
    AddCrash(reported.mPart,
             { reported.mUpstream,
               aNow - reported.mAge,
               false,
               sent,
               reported.mFingerprint },
             aNow);
  }
  for (const auto& reported : aReport.mLosses) {
    AddLoss(reported.mPool,
            { reported.mUpstream, aNow - reported.mAge, false },
            aNow);
  }
  for (const auto& reported : aReport.mSigns) {
    OnSign(reported.mUpstream, aNow - reported.mAge);
  }
  for (const auto& reported : aReport.mSurvivals) {
    AddSurvival(reported.mPart, aNow - reported.mAge, false);
  }
  for (const auto& reported : aReport.mPoolSurvivals) {
    AddPoolSurvival(reported.mPool, aNow - reported.mAge, false);
  }
  for (const auto& reported : aReport.mQuarantines) {
    AdoptQuarantine(reported, aNow);
  }
}

void
crash_suspects::AdoptQuarantine(const part_quarantine& aReported,
                                steady_time aNow)
{
  const auto since = aNow - aReported.mAge;
  const auto seen = aNow - aReported.mSeenAge;
  const auto survived = mSurvivals.find(aReported.mPart);
  const bool outdated =
    survived != mSurvivals.end() && survived->second.mLast + kSkew > since;
  if (outdated || aReported.mSeenAge > kAdoptFor) {
    return;
  }
  auto known = mQuarantines.find(aReported.mPart);
  if (known == mQuarantines.end()) {
    if (mQuarantines.size() >= kMaximumAdopted) {
      return;
    }
    known =
      mQuarantines.emplace(aReported.mPart, quarantine{ since, seen, 0, {} })
        .first;
    mChanges.push_back({ aReported.mPart, true, 0, true });
  }
  auto& own = known->second;
  own.mSince = std::min(own.mSince, since);
  if (seen > own.mSeen + kSeenStep) {
    own.mSeen = seen;
  }
  if (aReported.mTrials > own.mTrials) {
    own.mTrials = aReported.mTrials;
    own.mLastTrial = aNow - aReported.mTrialAge;
  }
}

crash_report
crash_suspects::Report(steady_time aNow) const
{
  crash_report report;
  const auto isFresh = [&](steady_time aTime) {
    return aNow - aTime <= kReportFor;
  };
  for (const auto& [part, crashes] : mCrashes) {
    for (const auto& crash : crashes) {
      if (crash.mOwn && isFresh(crash.mEnded)) {
        std::optional<milliseconds> sentAge;
        if (crash.mSent) {
          sentAge = AgeOf(*crash.mSent, aNow);
        }
        report.mCrashes.push_back({ part,
                                    crash.mUpstream,
                                    AgeOf(crash.mEnded, aNow),
                                    sentAge,
                                    crash.mFingerprint });
      }
    }
  }
  std::ranges::sort(report.mCrashes, {}, &part_crash::mAge);
  report.mCrashes.resize(std::min(report.mCrashes.size(), kMaximumReported));
  for (const auto& [part, survived] : mSurvivals) {
    if (survived.mLastOwn && report.mSurvivals.size() < kMaximumReported) {
      report.mSurvivals.push_back({ part, AgeOf(*survived.mLastOwn, aNow) });
    }
  }
  for (const auto& [pool, survivals] : mPoolSurvivals) {
    if (survivals.mLastOwn && isFresh(*survivals.mLastOwn)) {
      report.mPoolSurvivals.push_back(
        { pool, AgeOf(*survivals.mLastOwn, aNow) });
    }
  }
  for (const auto& [upstream, lost] : mLosses) {
    if (lost.mOwn && isFresh(lost.mEnded) &&
        report.mLosses.size() < kMaximumReported) {
      report.mLosses.push_back(
        { lost.mPool, upstream, AgeOf(lost.mEnded, aNow) });
    }
    if (lost.mSign && isFresh(*lost.mSign) &&
        report.mSigns.size() < kMaximumReported) {
      report.mSigns.push_back({ upstream, AgeOf(*lost.mSign, aNow) });
    }
  }
  for (const auto& [part, held] : mQuarantines) {
    const auto trialAge =
      held.mTrials == 0 ? milliseconds::zero() : AgeOf(held.mLastTrial, aNow);
    report.mQuarantines.push_back({ part,
                                    AgeOf(held.mSince, aNow),
                                    AgeOf(held.mSeen, aNow),
                                    held.mTrials,
                                    trialAge });
  }
  return report;
}

} // namespace sapphirespar::policy
