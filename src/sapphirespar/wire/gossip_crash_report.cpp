// Conversion of crash reports.
#include "gossip_crash_report.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <vector>

namespace sapphirespar::wire {
namespace {

using std::chrono::milliseconds;

std::int64_t
ToWireKey(std::uint64_t aKey)
{
  return static_cast<std::int64_t>(aKey);
}

std::uint64_t
FromWireKey(std::int64_t aKey)
{
  return static_cast<std::uint64_t>(aKey);
}

milliseconds
FromAgeMs(std::int32_t aAge)
{
  return milliseconds(std::max(aAge, 0));
}

template<class From, class To, class Convert>
void
ConvertAll(const std::vector<From>& aFrom,
           std::vector<To>& aTo,
           Convert aConvert)
{
  std::ranges::transform(aFrom, std::back_inserter(aTo), aConvert);
}

gen::gossip_part_crash
ToWire(const part_crash& aCrash)
{
  gen::gossip_part_crash wire;
  wire.pool = aCrash.mPart.mPool;
  wire.part = ToWireKey(aCrash.mPart.mId);
  wire.upstream = ToWireKey(aCrash.mUpstream);
  wire.age_ms = ToAgeMs(aCrash.mAge);
  wire.fingerprint = ToWireKey(aCrash.mFingerprint);
  if (aCrash.mSentAge) {
    wire.__set_sent_age_ms(ToAgeMs(*aCrash.mSentAge));
  }
  return wire;
}

gen::gossip_upstream_loss
ToWire(const upstream_loss& aLoss)
{
  gen::gossip_upstream_loss wire;
  wire.pool = aLoss.mPool;
  wire.upstream = ToWireKey(aLoss.mUpstream);
  wire.age_ms = ToAgeMs(aLoss.mAge);
  return wire;
}

gen::gossip_part_survival
ToWire(const part_survival& aSurvival)
{
  gen::gossip_part_survival wire;
  wire.pool = aSurvival.mPart.mPool;
  wire.part = ToWireKey(aSurvival.mPart.mId);
  wire.age_ms = ToAgeMs(aSurvival.mAge);
  return wire;
}

gen::gossip_pool_survival
ToWire(const pool_survival& aSurvival)
{
  gen::gossip_pool_survival wire;
  wire.pool = aSurvival.mPool;
  wire.age_ms = ToAgeMs(aSurvival.mAge);
  return wire;
}

gen::gossip_upstream_sign
ToWire(const upstream_sign& aSign)
{
  gen::gossip_upstream_sign wire;
  wire.upstream = ToWireKey(aSign.mUpstream);
  wire.age_ms = ToAgeMs(aSign.mAge);
  return wire;
}

gen::gossip_quarantine
ToWire(const part_quarantine& aQuarantine)
{
  constexpr std::uint32_t kMost = std::numeric_limits<std::int32_t>::max();
  gen::gossip_quarantine wire;
  wire.pool = aQuarantine.mPart.mPool;
  wire.part = ToWireKey(aQuarantine.mPart.mId);
  wire.age_ms = ToAgeMs(aQuarantine.mAge);
  wire.seen_age_ms = ToAgeMs(aQuarantine.mSeenAge);
  wire.trials = static_cast<std::int32_t>(std::min(aQuarantine.mTrials, kMost));
  wire.trial_age_ms = ToAgeMs(aQuarantine.mTrialAge);
  return wire;
}

part_crash
FromWire(const gen::gossip_part_crash& aWire)
{
  part_crash crash{ { aWire.pool, FromWireKey(aWire.part) },
                    FromWireKey(aWire.upstream),
                    FromAgeMs(aWire.age_ms) };
  crash.mFingerprint = FromWireKey(aWire.fingerprint);
  if (aWire.__isset.sent_age_ms) {
    crash.mSentAge = FromAgeMs(aWire.sent_age_ms);
  }
  return crash;
}

upstream_loss
FromWire(const gen::gossip_upstream_loss& aWire)
{
  return { aWire.pool, FromWireKey(aWire.upstream), FromAgeMs(aWire.age_ms) };
}

part_survival
FromWire(const gen::gossip_part_survival& aWire)
{
  return { { aWire.pool, FromWireKey(aWire.part) }, FromAgeMs(aWire.age_ms) };
}

pool_survival
FromWire(const gen::gossip_pool_survival& aWire)
{
  return { aWire.pool, FromAgeMs(aWire.age_ms) };
}

upstream_sign
FromWire(const gen::gossip_upstream_sign& aWire)
{
  return { FromWireKey(aWire.upstream), FromAgeMs(aWire.age_ms) };
}

part_quarantine
FromWire(const gen::gossip_quarantine& aWire)
{
  return { { aWire.pool, FromWireKey(aWire.part) },
           FromAgeMs(aWire.age_ms),
           FromAgeMs(aWire.seen_age_ms),
           static_cast<std::uint32_t>(std::max(aWire.trials, 0)),
           FromAgeMs(aWire.trial_age_ms) };
}

constexpr auto kToWire = [](const auto& aItem) { return ToWire(aItem); };
constexpr auto kFromWire = [](const auto& aItem) { return FromWire(aItem); };

} // namespace

std::int32_t
ToAgeMs(milliseconds aAge)
{
  constexpr milliseconds kMaxAge = std::chrono::hours(24);
  return static_cast<std::int32_t>(std::min(aAge, kMaxAge).count());
}

gen::gossip_crash_report
ToWireReport(const crash_report& aReport)
{
  gen::gossip_crash_report wire;
  ConvertAll(aReport.mCrashes, wire.crashes, kToWire);
  ConvertAll(aReport.mLosses, wire.losses, kToWire);
  ConvertAll(aReport.mSurvivals, wire.survivals, kToWire);
  ConvertAll(aReport.mPoolSurvivals, wire.pool_survivals, kToWire);
  ConvertAll(aReport.mSigns, wire.signs, kToWire);
  ConvertAll(aReport.mQuarantines, wire.quarantines, kToWire);
  return wire;
}

crash_report
FromWireReport(const gen::gossip_crash_report& aReport)
{
  crash_report report;
  ConvertAll(aReport.crashes, report.mCrashes, kFromWire);
  ConvertAll(aReport.losses, report.mLosses, kFromWire);
  ConvertAll(aReport.survivals, report.mSurvivals, kFromWire);
  ConvertAll(aReport.pool_survivals, report.mPoolSurvivals, kFromWire);
  ConvertAll(aReport.signs, report.mSigns, kFromWire);
  ConvertAll(aReport.quarantines, report.mQuarantines, kFromWire);
  return report;
}

} // namespace sapphirespar::wire
