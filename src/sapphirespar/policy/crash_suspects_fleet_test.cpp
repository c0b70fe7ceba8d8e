// Events of the simulated fleet.
#include "crash_suspects_fleet_test.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::string_view kPool = "pool";
constexpr std::uint64_t kFirstPart = 1000;
constexpr std::uint64_t kSecondPart = 2000;

shared_parts
SharedOf(const std::vector<std::uint64_t>& aParts)
{
  return { kPool, aParts };
}

} // namespace

std::size_t
fleet_result::SentTooLate() const
{
  if (mCrashes.size() < 5) {
    return 0;
  }
  return static_cast<std::size_t>(std::ranges::count_if(
    mSent, [&](auto aAt) { return aAt > mCrashes[4] + 3s; }));
}

crash_fleet::crash_fleet(fleet_plan aPlan)
  : mPlan(std::move(aPlan))
  , mRandom(mPlan.mSeed)
  , mGateways(mPlan.mGateways)
  , mUpstreams(mPlan.mUpstreams)
{
}

fleet_result
crash_fleet::Run()
{
  const auto start = mNow;
  for (std::size_t index = 0; index < mGateways.size(); ++index) {
    StartGateway(index);
    After(DrawMs(0, 100), [this, index] { Tick(index); });
  }
  for (std::size_t index = 0; index < mUpstreams.size(); ++index) {
    mUpstreams[index].mIncarnation = mNextIncarnation++;
    EndByItself(index);
  }
  After(0ms, [this] { ArriveSound(); });
  for (const auto& kind : mPlan.mCrashing) {
    After(kind.mFrom, [this, &kind] { ArriveCrashing(kind); });
  }
  for (const auto at : mPlan.mPowerOffs) {
    After(at, [this] {
      for (std::size_t index = 0; index < mUpstreams.size(); ++index) {
        if (Draw() < mPlan.mPowerOffShare) {
          Crash(index);
        }
      }
    });
  }
  if (mPlan.mRestart) {
    After(*mPlan.mRestart, [this] { StartGateway(0); });
  }
  while (!mEvents.empty() && mEvents.top().mAt < start + mPlan.mEnd) {
    const auto next = mEvents.top();
    mEvents.pop();
    mNow = next.mAt;
    next.mAction();
  }
  return mResult;
}

milliseconds
crash_fleet::DrawMs(int aFrom, int aTo)
{
  return milliseconds(std::uniform_int_distribution<int>(aFrom, aTo)(mRandom));
}

milliseconds
crash_fleet::Elapsed() const
{
  return std::chrono::duration_cast<milliseconds>(mNow.time_since_epoch() - 1h);
}

milliseconds
crash_fleet::Exponential(double aPerSecond)
{
  const double seconds =
    std::exponential_distribution<double>(aPerSecond)(mRandom);
  return milliseconds(static_cast<int>(1000 * seconds));
}

std::uint64_t
crash_fleet::DrawPart(std::uint64_t aBase, unsigned aCount)
{
  const double share = Draw();
  return aBase + static_cast<std::uint64_t>(share * share * aCount);
}

void
crash_fleet::After(milliseconds aDelay, action aAction)
{
  mEvents.push({ mNow + aDelay, ++mOrder, std::move(aAction) });
}

steady_time
crash_fleet::NowAt(std::size_t aGateway) const
{
  return mNow + mGateways[aGateway].mOffset;
}

void
crash_fleet::StartGateway(std::size_t aIndex)
{
  auto& gateway = mGateways[aIndex];
  gateway.mSuspects = std::make_unique<crash_suspects>(
    [aIndex](const prompt_part&) { return aIndex == 1; });
  gateway.mOffset = DrawMs(0, 3600000);
  gateway.mHeld.clear();
}

bool
crash_fleet::IsCut(std::size_t aGateway) const
{
  return aGateway == 2 && mPlan.mCutFrom && Elapsed() >= *mPlan.mCutFrom &&
         Elapsed() < mPlan.mCutUntil;
}

void
crash_fleet::Gossip(std::size_t aFrom)
{
  const auto report = mGateways[aFrom].mSuspects->Report(NowAt(aFrom));
  for (std::size_t to = 0; to < mGateways.size(); ++to) {
    if (to == aFrom || Draw() < mPlan.mGossipLoss || IsCut(aFrom) ||
        IsCut(to)) {
      continue;
    }
    After(DrawMs(1, 40), [this, to, report] {
      mGateways[to].mSuspects->Merge(report, NowAt(to));
    });
  }
}

void
crash_fleet::Tick(std::size_t aGateway)
{
  Observe(aGateway);
  Gossip(aGateway);
  After(100ms, [this, aGateway] { Tick(aGateway); });
}

void
crash_fleet::Observe(std::size_t aGateway)
{
  auto& gateway = mGateways[aGateway];
  bool own = false;
  for (const auto& change : gateway.mSuspects->Update(NowAt(aGateway))) {
    const auto id = change.mPart.mId;
    if (!change.mQuarantined) {
      gateway.mHeld.erase(id);
      continue;
    }
    gateway.mHeld.insert(id);
    mResult.mQuarantined.insert(id);
    const bool everywhere = std::ranges::all_of(
      mGateways, [&](const auto& aOther) { return aOther.mHeld.contains(id); });
    if (everywhere) {
      mResult.mEverywhere.try_emplace(id, Elapsed());
    }
    own = own || !change.mFromPeer;
  }
  if (own) {
    Gossip(aGateway);
  }
}

void
crash_fleet::ArriveSound()
{
  request sound;
  sound.mParts = { DrawPart(kFirstPart, mPlan.mFirstParts),
                   DrawPart(kSecondPart, mPlan.mSecondParts) };
  Serve(sound, mRandom() % mGateways.size(), 1);
  After(Exponential(mPlan.mSoundPerSecond), [this] { ArriveSound(); });
}

void
crash_fleet::ArriveCrashing(const crashing_requests& aKind)
{
  if (Elapsed() > aKind.mUntil) {
    return;
  }
  request crashing;
  crashing.mCrashes = true;
  if (aKind.mFirst) {
    crashing.mParts = { aKind.mPart,
                        DrawPart(kSecondPart, mPlan.mSecondParts) };
  } else {
    crashing.mParts = { DrawPart(kFirstPart, mPlan.mFirstParts), aKind.mPart };
  }
  Serve(crashing, mRandom() % mGateways.size(), 1);
  After(Exponential(aKind.mPerSecond),
        [this, &aKind] { ArriveCrashing(aKind); });
}

void
crash_fleet::Serve(const request& aRequest,
                   std::size_t aGateway,
                   unsigned aSends)
{
  const auto now = NowAt(aGateway);
  auto& suspects = *mGateways[aGateway].mSuspects;
  if (aSends == 1 && suspects.Refuse(SharedOf(aRequest.mParts), now)) {
    mResult.mSoundRefused += aRequest.mCrashes ? 0 : 1;
    return;
  }
  std::vector<std::size_t> up;
  for (std::size_t index = 0; index < mUpstreams.size(); ++index) {
    if (mUpstreams[index].mUp) {
      up.push_back(index);
    }
  }
  if (up.empty()) {
    return;
  }
  auto sent = std::make_shared<attempt>();
  sent->mRequest = aRequest;
  sent->mGateway = aGateway;
  sent->mUpstream = up[mRandom() % up.size()];
  auto& upstream = mUpstreams[sent->mUpstream];
  sent->mIncarnation = upstream.mIncarnation;
  sent->mSends = aSends;
  sent->mLength = static_cast<unsigned>(DrawMs(3, 30).count());
  sent->mResets = sent->mUpstream < mPlan.mResetting && Draw() < mPlan.mResets;
  upstream.mAttempts.push_back(sent);
  if (aRequest.mCrashes) {
    mResult.mSent.push_back(Elapsed());
  }
  After(DrawMs(20, 400), [this, sent] { Begin(sent); });
}

void
crash_fleet::Begin(const std::shared_ptr<attempt>& aAttempt)
{
  if (aAttempt->mDone) {
    return;
  }
  aAttempt->mBegun = true;
  mGateways[aAttempt->mGateway].mSuspects->OnSign(aAttempt->mIncarnation,
                                                  NowAt(aAttempt->mGateway));
  if (aAttempt->mRequest.mCrashes) {
    After(DrawMs(20, 120), [this, aAttempt] {
      if (!aAttempt->mDone) {
        mResult.mCrashes.push_back(Elapsed());
        Crash(aAttempt->mUpstream);
      }
    });
    return;
  }
  After(DrawMs(20, 120), [this, aAttempt] { Continue(aAttempt); });
}

void
crash_fleet::Continue(const std::shared_ptr<attempt>& aAttempt)
{
  if (aAttempt->mDone) {
    return;
  }
  // Half of the resets come before the first event.
  if (aAttempt->mResets && (aAttempt->mEvents > 0 || Draw() < 0.5)) {
    Break(aAttempt);
    return;
  }
  auto& suspects = *mGateways[aAttempt->mGateway].mSuspects;
  const auto now = NowAt(aAttempt->mGateway);
  suspects.OnSign(aAttempt->mIncarnation, now);
  ++aAttempt->mEvents;
  if (aAttempt->mEvents == 2) {
    suspects.OnSurvival(SharedOf(aAttempt->mRequest.mParts), now);
  }
  if (aAttempt->mEvents >= aAttempt->mLength) {
    aAttempt->mDone = true;
    ++mResult.mSoundAnswered;
    std::erase(mUpstreams[aAttempt->mUpstream].mAttempts, aAttempt);
    return;
  }
  After(DrawMs(20, 80), [this, aAttempt] { Continue(aAttempt); });
}

void
crash_fleet::Break(const std::shared_ptr<attempt>& aAttempt)
{
  aAttempt->mDone = true;
  std::erase(mUpstreams[aAttempt->mUpstream].mAttempts, aAttempt);
  auto& suspects = *mGateways[aAttempt->mGateway].mSuspects;
  const auto now = NowAt(aAttempt->mGateway);
  const auto parts = SharedOf(aAttempt->mRequest.mParts);
  if (suspects.OnUpstreamLost(parts,
                              aAttempt->mIncarnation,
                              aAttempt->mBegun && aAttempt->mEvents == 0,
                              now)) {
    Gossip(aAttempt->mGateway);
  }
  if (aAttempt->mEvents > 0) {
    return;
  }
  if (aAttempt->mSends < 2 && suspects.MayRepeat(parts, now)) {
    Serve(aAttempt->mRequest, aAttempt->mGateway, aAttempt->mSends + 1);
    return;
  }
  // The client comes again, at any gateway.
  if (aAttempt->mRequest.mClientRepeats < 2) {
    auto again = aAttempt->mRequest;
    ++again.mClientRepeats;
    After(DrawMs(50, 500),
          [this, again] { Serve(again, mRandom() % mGateways.size(), 1); });
  }
}

void
crash_fleet::Crash(std::size_t aUpstream)
{
  auto& upstream = mUpstreams[aUpstream];
  if (!upstream.mUp) {
    return;
  }
  upstream.mUp = false;
  for (const auto& lost : std::vector(upstream.mAttempts)) {
    After(DrawMs(0, 3), [this, lost] {
      if (!lost->mDone) {
        Break(lost);
      }
    });
  }
  After(mPlan.mDownFor, [this, aUpstream] {
    mUpstreams[aUpstream].mUp = true;
    mUpstreams[aUpstream].mIncarnation = mNextIncarnation++;
    EndByItself(aUpstream);
  });
}

void
crash_fleet::EndByItself(std::size_t aUpstream)
{
  if (mPlan.mLifetime == 0ms) {
    return;
  }
  const auto incarnation = mUpstreams[aUpstream].mIncarnation;
  After(Exponential(1000.0 / static_cast<double>(mPlan.mLifetime.count())),
        [this, aUpstream, incarnation] {
          if (mUpstreams[aUpstream].mIncarnation == incarnation) {
            Crash(aUpstream);
          }
        });
}

} // namespace sapphirespar::policy
