// Tests the sequence and the repetition of pause orders, and the end of a
// request.
#include "sapphirespar/router/pause_sender.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace sapphirespar::router {
namespace {

using namespace std::chrono_literals;

const request_id kRequest{ "request-1" };

class pause_fixture : public testing::Test
{
protected:
  pause_fixture()
    : mSender(mRegistry,
              mTimers,
              [this](const upstream_spec&,
                     const request_id&,
                     bool aPaused,
                     pause_callback aAnswer) {
                mSent.push_back(aPaused);
                mAnswers.push_back(std::move(aAnswer));
              })
  {
    mRegistry.Register(kRequest);
  }

  void Set(bool aPaused) { mSender.Set(upstream_spec{}, kRequest, aPaused); }

  pause_registry mRegistry;
  manual_timer_service mTimers;
  std::vector<bool> mSent;
  std::vector<pause_callback> mAnswers;
  pause_sender mSender;
};

TEST_F(pause_fixture, Fault_MessageLost_Request_Dispatch_ALostResumeIsRepeated)
{
  Set(true);
  mAnswers.at(0)(true);
  Set(false);
  mAnswers.at(1)(false);
  mTimers.Advance(1s);
  ASSERT_EQ(mSent.size(), 3U);
  EXPECT_FALSE(mSent[2]);
  mAnswers.at(2)(true);
  mTimers.Advance(10s);
  EXPECT_EQ(mSent.size(), 3U);
}

TEST_F(pause_fixture, AResumeNeverOvertakesItsPause)
{
  Set(true);
  Set(false);
  EXPECT_EQ(mSent, (std::vector{ true }));
  mAnswers.at(0)(true);
  mTimers.Advance(1s);
  EXPECT_EQ(mSent, (std::vector{ true, false }));
}

TEST_F(pause_fixture, NothingIsRepeatedOnceTheRequestHasEnded)
{
  Set(true);
  mRegistry.Unregister(kRequest);
  mAnswers.at(0)(false);
  mTimers.Advance(10s);
  EXPECT_EQ(mSent.size(), 1U);
  Set(false);
  EXPECT_EQ(mSent.size(), 1U);
}

} // namespace
} // namespace sapphirespar::router
