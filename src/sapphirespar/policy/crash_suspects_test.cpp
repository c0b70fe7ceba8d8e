// Tests of the search for prompt parts that crash upstreams, at one gateway.
#include "sapphirespar/policy/crash_suspects.hpp"

#include <gtest/gtest.h>

#include <array>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kPart = 7;
constexpr std::uint64_t kOther = 9;
constexpr std::array kParts{ kPart };
constexpr std::array kOtherParts{ kOther };
constexpr std::array kBoth{ kPart, kOther };
const shared_parts kPrompt{ "pool", kParts };
const shared_parts kSound{ "pool", kOtherParts };
const shared_parts kMixed{ "pool", kBoth };

class crash_suspects_test : public testing::Test
{
protected:
  // Another upstream ends at the begin of an answer.
  void Crash(const shared_parts& aParts)
  {
    mSuspects.OnUpstreamLost(aParts, ++mUpstream, true, mNow);
  }

  void Pass(std::chrono::milliseconds aTime) { mNow += aTime; }

  // Answers without the part go on meanwhile.
  void PassWithSound(std::chrono::milliseconds aTime)
  {
    for (const auto end = mNow + aTime; mNow < end; Pass(50ms)) {
      mSuspects.OnSurvival(kSound, mNow);
    }
  }

  // Crashes with sound answers in between, which no other part explains.
  void CrashInTurn(const shared_parts& aParts, unsigned aCount)
  {
    for (unsigned count = 0; count < aCount; ++count) {
      Crash(aParts);
      PassWithSound(500ms);
      mSuspects.Update(mNow);
      Pass(500ms);
    }
  }

  bool Refuses(const shared_parts& aParts)
  {
    return mSuspects.Refuse(aParts, mNow).has_value();
  }

  bool mMakesTrials = true;
  crash_suspects mSuspects{ [this](const prompt_part&) {
    return mMakesTrials;
  } };
  steady_time mNow{ 1h };
  std::uint64_t mUpstream = 0;
};

TEST_F(crash_suspects_test, RefusesAPartAfterThreeCrashes)
{
  CrashInTurn(kPrompt, 2);
  EXPECT_FALSE(Refuses(kPrompt));
  CrashInTurn(kPrompt, 1);
  EXPECT_TRUE(Refuses(kPrompt));
  EXPECT_TRUE(Refuses(kMixed));
  EXPECT_FALSE(Refuses(kSound));
  EXPECT_FALSE(Refuses({ "another pool", kParts }));
}

TEST_F(crash_suspects_test, ReportsEachChangeOnce)
{
  for (int count = 0; count < 3; ++count) {
    Crash(kPrompt);
    PassWithSound(400ms);
  }
  const auto changes = mSuspects.Update(mNow);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].mPart, (prompt_part{ "pool", kPart }));
  EXPECT_TRUE(changes[0].mQuarantined);
  EXPECT_EQ(changes[0].mCrashes, 3U);
  EXPECT_FALSE(changes[0].mFromPeer);
  EXPECT_TRUE(mSuspects.Update(mNow).empty());
}

TEST_F(crash_suspects_test, AnAnswerThatGoesOnClearsAPart)
{
  CrashInTurn(kPrompt, 2);
  mSuspects.OnSurvival(kPrompt, mNow);
  CrashInTurn(kPrompt, 2);
  EXPECT_FALSE(Refuses(kPrompt));
}

TEST_F(crash_suspects_test, AnUpstreamThatSendsOnHasNotCrashed)
{
  for (int count = 0; count < 5; ++count) {
    Crash(kPrompt);
    Pass(100ms);
    mSuspects.OnSign(mUpstream, mNow);
    PassWithSound(900ms);
    mSuspects.Update(mNow);
  }
  EXPECT_FALSE(Refuses(kPrompt));
}

TEST_F(crash_suspects_test, BytesThatCameLateAreNoSignOfLife)
{
  for (int count = 0; count < 3; ++count) {
    Crash(kPrompt);
    PassWithSound(400ms);
    mSuspects.OnSign(mUpstream, mNow);
    mSuspects.OnUpstreamLost(kSound, mUpstream, false, mNow);
    PassWithSound(400ms);
    mSuspects.Update(mNow);
  }
  EXPECT_TRUE(Refuses(kPrompt));
}

TEST_F(crash_suspects_test, CrashesWhileNoAnswersAreGivenCountOnce)
{
  for (int count = 0; count < 5; ++count) {
    Crash(kPrompt);
    Pass(1s);
    mSuspects.Update(mNow);
  }
  EXPECT_FALSE(Refuses(kPrompt));
}

TEST_F(crash_suspects_test, CrashesAmongFewAnswersAreNoProof)
{
  for (int count = 0; count < 5; ++count) {
    Crash(kPrompt);
    Pass(200ms);
    mSuspects.OnSurvival(kSound, mNow);
    Pass(200ms);
    mSuspects.Update(mNow);
  }
  EXPECT_FALSE(Refuses(kPrompt));
}

TEST_F(crash_suspects_test, APartThatExplainsFewOfTheCrashesIsNotBlamed)
{
  for (int count = 0; count < 4; ++count) {
    Crash(kPrompt);
    PassWithSound(500ms);
    // Crashes without the part.
    for (int more = 0; more < 3; ++more) {
      Pass(500ms);
      mSuspects.OnUpstreamLost(kSound, ++mUpstream, false, mNow);
    }
    mSuspects.Update(mNow);
  }
  EXPECT_FALSE(Refuses(kPrompt));
}

TEST_F(crash_suspects_test, OfTwoPartsTheOneWithMoreCrashesIsBlamed)
{
  constexpr std::array kThird{ std::uint64_t{ 11 } };
  constexpr std::array kWithThird{ kPart, std::uint64_t{ 11 } };
  CrashInTurn({ "pool", kWithThird }, 3);
  EXPECT_FALSE(Refuses(kPrompt));
  CrashInTurn(kPrompt, 1);
  EXPECT_TRUE(Refuses(kPrompt));
  EXPECT_FALSE(Refuses({ "pool", kThird }));
}

TEST_F(crash_suspects_test, ASuspectedRequestIsNotRepeated)
{
  EXPECT_TRUE(mSuspects.MayRepeat(kPrompt, mNow));
  Crash(kPrompt);
  EXPECT_TRUE(mSuspects.MayRepeat(kPrompt, mNow));
  PassWithSound(1s);
  Crash(kPrompt);
  EXPECT_FALSE(mSuspects.MayRepeat(kPrompt, mNow));
  EXPECT_TRUE(mSuspects.MayRepeat(kSound, mNow));
}

TEST_F(crash_suspects_test, TriesAPartTwiceWithinAnHourAndReleasesIt)
{
  CrashInTurn(kPrompt, 3);
  unsigned sent = 0;
  for (int second = 0; second < 3000; ++second) {
    Pass(1s);
    mSuspects.Update(mNow);
    const auto left = mSuspects.Refuse(kPrompt, mNow);
    sent += left ? 0 : 1;
    EXPECT_LE(left.value_or(0ms), 60s);
  }
  EXPECT_EQ(sent, 2U);
  mSuspects.OnSurvival(kPrompt, mNow);
  EXPECT_FALSE(Refuses(kPrompt));
  const auto changes = mSuspects.Update(mNow);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_FALSE(changes[0].mQuarantined);
}

TEST_F(crash_suspects_test, OnlyOneGatewayMakesTrials)
{
  CrashInTurn(kPrompt, 3);
  mMakesTrials = false;
  Pass(10min);
  EXPECT_TRUE(Refuses(kPrompt));
}

TEST_F(crash_suspects_test, APeerTakesOverTheQuarantineAndItsEnd)
{
  crash_suspects peer([](const prompt_part&) { return false; });
  CrashInTurn(kPrompt, 3);
  peer.Merge(mSuspects.Report(mNow), mNow);
  EXPECT_TRUE(peer.Refuse(kPrompt, mNow));
  const auto begun = peer.Update(mNow);
  ASSERT_EQ(begun.size(), 1U);
  EXPECT_TRUE(begun[0].mFromPeer);
  const auto old = mSuspects.Report(mNow);

  Pass(1s);
  mSuspects.OnSurvival(kPrompt, mNow);
  peer.Merge(mSuspects.Report(mNow), mNow);
  EXPECT_FALSE(peer.Refuse(kPrompt, mNow));
  // A report that was under way.
  auto late = old;
  late.mQuarantines[0].mAge += 1s;
  peer.Merge(late, mNow);
  EXPECT_FALSE(peer.Refuse(kPrompt, mNow));
}

TEST_F(crash_suspects_test, RepeatedReportsChangeNothing)
{
  crash_suspects peer([](const prompt_part&) { return false; });
  CrashInTurn(kPrompt, 1);
  for (int count = 0; count < 20; ++count) {
    peer.Merge(mSuspects.Report(mNow), mNow);
    mSuspects.Merge(peer.Report(mNow), mNow + 40ms);
    Pass(100ms);
    peer.OnSurvival(kSound, mNow);
    peer.Update(mNow);
  }
  EXPECT_EQ(peer.Quarantined(), 0U);
}

TEST_F(crash_suspects_test, OldReportsAreNotTakenOver)
{
  crash_suspects peer([](const prompt_part&) { return false; });
  Crash(kPrompt);
  auto report = mSuspects.Report(mNow);
  ASSERT_EQ(report.mCrashes.size(), 1U);
  report.mCrashes[0].mAge = 4s;
  peer.Merge(report, mNow);
  Crash(kPrompt);
  peer.Merge(mSuspects.Report(mNow), mNow);
  EXPECT_TRUE(peer.MayRepeat(kPrompt, mNow));
}

TEST_F(crash_suspects_test, AQuarantineWhosePartDoesNotComeIsForgotten)
{
  CrashInTurn(kPrompt, 3);
  Pass(61min);
  EXPECT_EQ(mSuspects.Update(mNow).size(), 1U);
  EXPECT_EQ(mSuspects.Quarantined(), 0U);
}

class fingerprint_suspects_test : public testing::Test
{
protected:
  // Another upstream ends under the request, which was sent this long before.
  void Crash(const shared_parts& aRequest, std::chrono::milliseconds aSentAge)
  {
    mSuspects.OnUpstreamLost(
      aRequest, ++mUpstream, true, mNow, mNow - aSentAge);
  }

  // Whether a request is refused once all that was seen is confirmed.
  bool RefusesSoon(const shared_parts& aRequest)
  {
    mNow += 400ms;
    mSuspects.Update(mNow);
    return mSuspects.Refuse(aRequest, mNow).has_value();
  }

  crash_suspects mSuspects{ [](const prompt_part&) { return true; },
                            kFingerprintRules };
  std::uint64_t mUpstream = 0;
  steady_time mNow{ 100s };
};

TEST_F(fingerprint_suspects_test, ThreeUpstreamsInTurnSuffice)
{
  for (int count = 0; count < 3; ++count) {
    Crash(kPrompt, 20ms);
    mSuspects.OnSurvival(kSound, mNow);
    mNow += 30ms;
  }
  EXPECT_TRUE(RefusesSoon(kPrompt));
  EXPECT_FALSE(mSuspects.Refuse(kSound, mNow));
}

TEST_F(fingerprint_suspects_test, ASuspectedRequestWaitsForTheConfirmation)
{
  for (int count = 0; count < 3; ++count) {
    EXPECT_FALSE(mSuspects.Refuse(kPrompt, mNow));
    Crash(kPrompt, 20ms);
    mNow += 50ms;
  }
  const auto wait = mSuspects.Refuse(kPrompt, mNow);
  ASSERT_TRUE(wait);
  EXPECT_LE(*wait, 500ms);
  EXPECT_FALSE(mSuspects.Refuse(kSound, mNow));
  // The upstreams had not ended.
  mNow += 50ms;
  for (std::uint64_t upstream = 1; upstream <= mUpstream; ++upstream) {
    mSuspects.OnSign(upstream, mNow);
  }
  EXPECT_FALSE(mSuspects.Refuse(kPrompt, mNow));
}

TEST_F(fingerprint_suspects_test, AnUnconfirmedSuspicionEnds)
{
  for (int count = 0; count < 3; ++count) {
    Crash(kPrompt, 20ms);
    mNow += 50ms;
  }
  EXPECT_TRUE(mSuspects.Refuse(kPrompt, mNow));
  mNow += 600ms;
  mSuspects.Update(mNow);
  EXPECT_FALSE(mSuspects.Refuse(kPrompt, mNow));
}

TEST_F(fingerprint_suspects_test, UpstreamsThatEndTogetherCountOnce)
{
  for (int count = 0; count < 6; ++count) {
    Crash(kPrompt, 500ms);
    mNow += 5ms;
  }
  mSuspects.OnSurvival(kSound, mNow);
  EXPECT_FALSE(RefusesSoon(kPrompt));
}

TEST_F(fingerprint_suspects_test, ACompleteAnswerClearsARequest)
{
  for (int count = 0; count < 6; ++count) {
    Crash(kPrompt, 20ms);
    mSuspects.OnSurvival(kSound, mNow);
    mNow += 200ms;
    if (count % 2 == 1) {
      mSuspects.OnSurvival(kPrompt, mNow);
    }
  }
  EXPECT_FALSE(RefusesSoon(kPrompt));
}

TEST_F(fingerprint_suspects_test, AnUpstreamThatSendsOnHasNotCrashed)
{
  for (int count = 0; count < 6; ++count) {
    Crash(kPrompt, 20ms);
    mNow += 200ms;
    mSuspects.OnSign(mUpstream, mNow);
    mSuspects.OnSurvival(kSound, mNow);
  }
  EXPECT_FALSE(RefusesSoon(kPrompt));
}

TEST_F(fingerprint_suspects_test, EachOfManyRequestsIsFound)
{
  constexpr std::array<std::uint64_t, 4> kIds{ 11, 12, 13, 14 };
  for (int round = 0; round < 3; ++round) {
    for (const auto& id : kIds) {
      Crash({ "pool", { &id, 1 } }, 20ms);
      mSuspects.OnSurvival(kSound, mNow);
      mNow += 150ms;
    }
  }
  mNow += 400ms;
  mSuspects.Update(mNow);
  for (const auto& id : kIds) {
    EXPECT_TRUE(mSuspects.Refuse({ "pool", { &id, 1 } }, mNow)) << id;
  }
}

TEST_F(fingerprint_suspects_test, APoolWithoutAnswersBlamesNothingAtFirst)
{
  for (int count = 0; count < 3; ++count) {
    Crash(kPrompt, 20ms);
    mNow += 200ms;
  }
  EXPECT_FALSE(RefusesSoon(kPrompt));
  Crash(kPrompt, 20ms);
  mNow += 200ms;
  Crash(kPrompt, 20ms);
  EXPECT_TRUE(RefusesSoon(kPrompt));
}

} // namespace
} // namespace sapphirespar::policy
