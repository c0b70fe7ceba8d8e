// The fleet and the platform of the tests of duties.
#include "duty_fleet_test.hpp"

#include <algorithm>

namespace sapphirespar::duties {
namespace {

using namespace std::chrono_literals;

constexpr auto kGossipPeriod = 250ms;

boot_time
BootAt(steady_time aTime)
{
  return boot_time(
    std::chrono::duration_cast<boot_clock::duration>(aTime.time_since_epoch()));
}

} // namespace

duty_reply
fake_duty_platform::Report(const vm_id& aCaller,
                           fencing_token aToken,
                           const usage_report& aReport)
{
  const auto reply = Call(aCaller, aToken);
  if (reply != duty_reply::Refused) {
    const auto known = mReports.try_emplace(aReport.mWindow, aReport).first;
    if (known->second != aReport) {
      mBroken.push_back("two reports of window " +
                        std::to_string(aReport.mWindow));
    }
  }
  return reply;
}

duty_reply
fake_duty_platform::Call(const vm_id& aCaller, fencing_token aToken)
{
  ++mCalls;
  if (aToken < mHighest) {
    if (mChecksFencing) {
      return duty_reply::Refused;
    }
    mBroken.push_back("a lower token from " + aCaller.mText);
  }
  mHighest = std::max(mHighest, aToken);
  const auto holder = mHolders.try_emplace(aToken, aCaller).first->second;
  if (holder != aCaller) {
    mBroken.push_back("one token of " + holder.mText + " and " + aCaller.mText);
  }
  CheckOrder(aCaller);
  return Answer();
}

duty_reply
fake_duty_platform::Answer()
{
  if (mLoseAnswers > 0) {
    --mLoseAnswers;
    return duty_reply::Unknown;
  }
  return duty_reply::Done;
}

// Looks for another caller between two calls of this one.
void
fake_duty_platform::CheckOrder(const vm_id& aCaller)
{
  const auto now = mTimers.Now();
  std::erase_if(mRecent, [now](const call& aCall) {
    return now - aCall.mAt >= kLeasePeriod;
  });
  const auto own = std::ranges::find(mRecent, aCaller, &call::mCaller);
  if (std::ranges::any_of(own, mRecent.end(), [&](const call& aCall) {
        return aCall.mCaller != aCaller;
      })) {
    mBroken.push_back("another holder between two calls of " + aCaller.mText);
  }
  mRecent.push_back({ aCaller, now });
}

duty_gateway::duty_gateway(duty_fleet& aFleet,
                           process_id aSelf,
                           bool aFirstStart)
  : mFleet(aFleet)
  , mSelf(std::move(aSelf))
  , mTimers(aFleet.mTimers)
  , mPlatform(mTimers, aFleet.mStore)
  , mMeter(mSelf, kWindow)
  , mLease(mPlatform,
           mTimers,
           { mSelf, kLeasePeriod, aFirstStart },
           { [this] { return BootAt(mFleet.mTimers.Now()); },
             [] { return true; },
             [this] {
               fencing_token told = 0;
               for (unsigned index = 0; index < mFleet.Size(); ++index) {
                 const auto* other = mFleet.At(index);
                 if (other != nullptr && other != this &&
                     mFleet.IsHeard(*this) && mFleet.IsHeard(*other)) {
                   told = std::max(told, other->mLease.HeldToken());
                 }
               }
               return told;
             },
             [this] { mReporter.OnHolderChanged(); } })
  , mReporter(mPlatform,
              mTimers,
              mMetrics,
              mLease,
              mBook,
              { kWindow, 2 * kWindow },
              { [this] { return mFleet.Now(); },
                [this] { return std::vector{ mSelf.mVm }; },
                [this](const usage_report& aReport,
                       fencing_token aToken,
                       const duty_callback& aDone) {
                  aDone(mFleet.mDuties.Report(mSelf.mVm, aToken, aReport));
                },
                [this] { mFleet.Tell(); } })
{
  mPlatform.Faults().mDelay = 4ms;
  mLease.Start();
  mReporter.Start();
}

duty_fleet::duty_fleet(unsigned aGateways)
{
  // Not at the start of a window.
  mTimers.Advance(1000h + 1234ms);
  for (unsigned index = 0; index < aGateways; ++index) {
    mGateways.push_back(std::make_unique<duty_gateway>(
      *this,
      process_id{ { "vm" + std::to_string(index) }, ++mLastIncarnation },
      true));
  }
}

void
duty_fleet::Restart(unsigned aIndex)
{
  mGateways[aIndex].reset();
  mGateways[aIndex] = std::make_unique<duty_gateway>(
    *this,
    process_id{ { "vm" + std::to_string(aIndex) }, ++mLastIncarnation },
    false);
}

void
duty_fleet::Advance(steady_duration aTime)
{
  const auto end = mTimers.Now() + aTime;
  while (mTimers.Now() < end) {
    mTimers.Advance(
      std::min<steady_duration>(kGossipPeriod, end - mTimers.Now()));
    Tell();
    CallAll();
  }
}

void
duty_fleet::CallAll()
{
  for (const auto& gateway : mGateways) {
    if (gateway && !gateway->mTimers.Paused()) {
      if (const auto token = gateway->mLease.Token()) {
        gateway->mLease.NoteCall();
        mDuties.Call(gateway->mSelf.mVm, *token);
      }
    }
  }
}

void
duty_fleet::Tell()
{
  const auto heard = [this](const auto& aGateway) {
    return aGateway && IsHeard(*aGateway);
  };
  usage_window fixed = 0;
  for (const auto& gateway : mGateways) {
    if (heard(gateway)) {
      fixed = std::max(fixed, gateway->mReporter.LastFixed());
    }
  }
  for (const auto& gateway : mGateways) {
    if (heard(gateway)) {
      gateway->mReporter.NoteFixed(fixed);
      // Differs between gateways, so that a second report would be noticed.
      gateway->mMeter.Count({ gateway->mSelf.mVm.mText }, Now());
      for (const auto& message : gateway->mMeter.Messages(Now(), fixed)) {
        gateway->mBook.Merge(message);
      }
    }
  }
}

bool
duty_fleet::IsHeard(const duty_gateway& aGateway) const
{
  return !aGateway.mIsCut && !aGateway.mTimers.Paused();
}

std::vector<unsigned>
duty_fleet::Holders() const
{
  std::vector<unsigned> holders;
  for (unsigned index = 0; index < mGateways.size(); ++index) {
    if (mGateways[index] && mGateways[index]->mLease.Token()) {
      holders.push_back(index);
    }
  }
  return holders;
}

policy::wall_time
duty_fleet::Now() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    mTimers.Now().time_since_epoch());
}

} // namespace sapphirespar::duties
