// Tests that the invariant checker reports violations and nothing else.
#include "sapphirespar/soak/invariant_checker.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace sapphirespar::soak {
namespace {

using namespace std::chrono_literals;

const std::string kAccount = "account-k0";

class invariant_checker_test : public testing::Test
{
protected:
  void Send(request_kind aKind) { mChecker.RecordSent("r", aKind, "k0", 0); }
  std::size_t Violations() const { return mChecker.Violations().size(); }

  invariant_checker mChecker;
};

TEST_F(invariant_checker_test, AcceptsACompleteResponse)
{
  Send(request_kind::Stream);
  mChecker.RecordRun("r", kAccount);
  mChecker.RecordResponse(
    "r", 200, invariant_checker::ExpectedBody("r", request_kind::Stream));
  EXPECT_EQ(Violations(), 0U);
}

TEST_F(invariant_checker_test, ReportsStreamsOfTwoSoftwareVersions)
{
  Send(request_kind::ResumableStream);
  const auto event = [](int aNumber, const char* aSoftware) {
    return WithSoftware(ExpectedEvent("r", aNumber), aSoftware);
  };
  mChecker.RecordStream("r", event(1, "v1") + event(2, "v1"), false);
  EXPECT_EQ(Violations(), 0U);
  mChecker.RecordStream("r", event(1, "v1") + event(2, "v2"), false);
  EXPECT_EQ(Violations(), 1U);
}

TEST_F(invariant_checker_test, ReportsGapsInStreamsThatAreTakenUp)
{
  Send(request_kind::ResumableStream);
  std::string whole;
  for (int number = 1; number <= kStreamEvents; ++number) {
    whole += WithSoftware(ExpectedEvent("r", number), "v1");
  }
  mChecker.RecordStream("r", whole, true);
  EXPECT_EQ(Violations(), 0U);
  mChecker.RecordStream(
    "r", ExpectedEvent("r", 1) + ExpectedEvent("r", 3), false);
  EXPECT_EQ(Violations(), 1U);
  mChecker.RecordStream("r", ExpectedEvent("r", 1), true);
  EXPECT_EQ(Violations(), 2U);
}

TEST_F(invariant_checker_test, ReportsASecondRunOfAnAtMostOnceRequest)
{
  Send(request_kind::AtMostOnce);
  mChecker.RecordRun("r", kAccount);
  mChecker.RecordRun("r", kAccount);
  EXPECT_EQ(Violations(), 1U);
}

TEST_F(invariant_checker_test, AllowsResumableStreamsToRunAgain)
{
  Send(request_kind::ResumableStream);
  mChecker.RecordRun("r", kAccount);
  mChecker.RecordRun("r", kAccount);
  EXPECT_EQ(Violations(), 0U);
}

TEST_F(invariant_checker_test, ReportsNotRunResponsesBeforeAndAfterARun)
{
  Send(request_kind::AtMostOnce);
  mChecker.RecordRun("r", kAccount);
  mChecker.RecordResponse("r", 503, "");
  EXPECT_EQ(Violations(), 1U);
  mChecker.RecordSent("late", request_kind::AtMostOnce, "k0", 0);
  mChecker.RecordResponse("late", 503, "");
  mChecker.RecordRun("late", kAccount);
  EXPECT_EQ(Violations(), 2U);
}

TEST_F(invariant_checker_test, ReportsAnIncompleteStreamWithStatus200)
{
  Send(request_kind::ResumableStream);
  mChecker.RecordRun("r", kAccount);
  mChecker.RecordResponse(
    "r", 200, ExpectedEvent("r", 1) + ExpectedEvent("r", 3));
  EXPECT_EQ(Violations(), 1U);
}

TEST_F(invariant_checker_test, ReportsUnknownRequestsAndWrongAccounts)
{
  mChecker.RecordRun("none", kAccount);
  Send(request_kind::Idempotent);
  mChecker.RecordRun("r", "account-k1");
  EXPECT_EQ(Violations(), 2U);
}

TEST_F(invariant_checker_test, ReportsLateRequestsAtALeavingUpstream)
{
  constexpr unsigned kUpstream = 3;
  mChecker.RecordLeaving(kUpstream, 0);
  mChecker.RecordLeaving(kUpstream, 1);
  mChecker.BeginGatewayExcuse(1);
  mChecker.EndGatewayExcuse(1);
  mChecker.RecordSent("early", request_kind::Idempotent, "k0", 0);
  std::this_thread::sleep_for(2100ms);
  mChecker.RecordSent("late", request_kind::Idempotent, "k0", 0);
  mChecker.RecordSent("restarted", request_kind::Idempotent, "k0", 1);
  mChecker.RecordArrival("early", kUpstream);
  mChecker.RecordArrival("late", kUpstream + 1);
  mChecker.RecordArrival("restarted", kUpstream);
  EXPECT_EQ(Violations(), 0U);
  mChecker.RecordArrival("late", kUpstream);
  EXPECT_EQ(Violations(), 1U);
  mChecker.ForgetUpstream(kUpstream);
  mChecker.RecordArrival("late", kUpstream);
  EXPECT_EQ(Violations(), 1U);
}

TEST_F(invariant_checker_test, ReportsAThirdRequestThatIsTurnedAway)
{
  constexpr unsigned kUpstream = 3;
  Send(request_kind::Idempotent);
  mChecker.RecordTurnedAway("r", kUpstream, 10s);
  for (int count = 0; count < 5; ++count) {
    mChecker.RecordArrival("r", kUpstream);
  }
  std::this_thread::sleep_for(550ms);
  mChecker.RecordArrival("r", kUpstream);
  mChecker.RecordArrival("r", kUpstream);
  EXPECT_EQ(Violations(), 0U);
  mChecker.RecordArrival("r", kUpstream);
  EXPECT_EQ(Violations(), 1U);
  mChecker.BeginUpstreamExcuse(kUpstream);
  mChecker.RecordTurnedAway("r", kUpstream, 10s);
  mChecker.RecordArrival("r", kUpstream);
  EXPECT_EQ(Violations(), 1U);
}

TEST_F(invariant_checker_test, ReportsMoreThanTheRateThatAnUpstreamNamed)
{
  Send(request_kind::Idempotent);
  for (int count = 0; count < 100; ++count) {
    mChecker.RecordArrival("r", 1);
    mChecker.RecordNamedRate("r", 1, 1);
  }
  EXPECT_EQ(Violations(), 0U);
  std::this_thread::sleep_for(510ms);
  for (int count = 0; count < 11; ++count) {
    mChecker.RecordArrival("r", 1);
    mChecker.RecordArrival("r", 2);
  }
  EXPECT_EQ(Violations(), 0U);
  mChecker.RecordArrival("r", 1);
  EXPECT_EQ(Violations(), 1U);
  // A gateway that restarts is excused.
  mChecker.BeginGatewayExcuse(0);
  mChecker.RecordArrival("r", 1);
  EXPECT_EQ(Violations(), 1U);
}

} // namespace
} // namespace sapphirespar::soak
