// Tries every schedule of a few faults of two gateways and their calls to the
// store, at steps of half a lease period. Guards against two holders that act
// at the same time or with one token, and against duties that nobody holds
// afterwards.
#include "duty_fleet_test.hpp"

#include <gtest/gtest.h>

#include <array>

namespace sapphirespar::duties {
namespace {

using namespace std::chrono_literals;

constexpr auto kStep = kLeasePeriod / 2;
constexpr std::size_t kSteps = 5;

// Longer than the lease waits for an answer, so that the call takes effect
// after it was given up.
constexpr auto kLate = 3400ms;

enum class fault
{
  None,
  PauseFirst,
  PauseSecond,
  Resume,
  CutFirst,
  LoseAnswerOfFirst,
  LoseAnswerOfSecond,
  LateCallsOfFirst,
  LateCallsOfSecond,
  Count,
};

constexpr std::array<std::string_view, static_cast<std::size_t>(fault::Count)>
  kNames{ "none",          "pause 1",      "pause 2",
          "resume",        "cut 1",        "lose answer 1",
          "lose answer 2", "late calls 1", "late calls 2" };

using schedule = std::array<fault, kSteps>;

void
Bring(duty_fleet& aFleet, fault aFault)
{
  auto& first = *aFleet.At(0);
  auto& second = *aFleet.At(1);
  switch (aFault) {
    case fault::PauseFirst:
      return first.mTimers.Pause();
    case fault::PauseSecond:
      return second.mTimers.Pause();
    case fault::Resume:
      first.mTimers.Resume();
      return second.mTimers.Resume();
    case fault::CutFirst:
      first.mIsCut = true;
      return;
    case fault::LoseAnswerOfFirst:
      ++first.mPlatform.Faults().mLoseAnswers;
      return;
    case fault::LoseAnswerOfSecond:
      ++second.mPlatform.Faults().mLoseAnswers;
      return;
    case fault::LateCallsOfFirst:
      first.mPlatform.Faults().mDelay = 2 * kLate;
      return;
    case fault::LateCallsOfSecond:
      second.mPlatform.Faults().mDelay = 2 * kLate;
      return;
    case fault::None:
    case fault::Count:
      return;
  }
}

void
Heal(duty_fleet& aFleet)
{
  for (unsigned index = 0; index < aFleet.Size(); ++index) {
    auto& gateway = *aFleet.At(index);
    gateway.mTimers.Resume();
    gateway.mIsCut = false;
    gateway.mPlatform.Faults() = {};
  }
}

std::string
ToText(const schedule& aSchedule)
{
  std::string text;
  for (const auto fault : aSchedule) {
    text += std::string(kNames[static_cast<std::size_t>(fault)]) + ", ";
  }
  return text;
}

// Plays one schedule before a platform that doesn't check tokens.
void
Play(const schedule& aSchedule)
{
  duty_fleet fleet(2);
  fleet.mDuties.mChecksFencing = false;
  fleet.Advance(1s);
  for (const auto fault : aSchedule) {
    Bring(fleet, fault);
    fleet.Advance(kStep);
  }
  Heal(fleet);
  fleet.Advance(5 * kLeasePeriod);
  EXPECT_TRUE(fleet.mDuties.mBroken.empty())
    << ToText(aSchedule) << fleet.mDuties.mBroken.front();
  EXPECT_EQ(fleet.Holders().size(), 1U) << ToText(aSchedule);
}

TEST(lease_schedules, NoneBreaksAPromise)
{
  constexpr auto kFaults = static_cast<std::size_t>(fault::Count);
  std::size_t schedules = 1;
  for (std::size_t step = 0; step < kSteps; ++step) {
    schedules *= kFaults;
  }
  for (std::size_t number = 0;
       number < schedules && !testing::Test::HasFailure();
       ++number) {
    schedule drawn{};
    auto rest = number;
    for (auto& step : drawn) {
      step = static_cast<fault>(rest % kFaults);
      rest /= kFaults;
    }
    Play(drawn);
  }
}

} // namespace
} // namespace sapphirespar::duties
