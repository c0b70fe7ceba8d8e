// Tests which streams are moved off an engine that is about to be taken away.
#include "sapphirespar/policy/leaving_stream.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

TEST(LeavingStream, StaysIfItEndsInTime)
{
  EXPECT_FALSE(IsCutOffIfItStays({ 2500ms, 100, 10 }));
  EXPECT_FALSE(IsCutOffIfItStays({ 1500ms, 0, 10 }));
}

TEST(LeavingStream, IsMovedIfItDoesNot)
{
  EXPECT_TRUE(IsCutOffIfItStays({ 2500ms, 385, 10 }));
}

// The time was written before it was read.
TEST(LeavingStream, IsMovedIfItWouldEndAtTheLastMoment)
{
  EXPECT_TRUE(IsCutOffIfItStays({ 2500ms, 240, 10 }));
}

TEST(LeavingStream, IsMovedWithoutALimitOfItsLength)
{
  EXPECT_TRUE(IsCutOffIfItStays({ 2500ms, std::nullopt, 10 }));
}

// An engine that outlives the time that it named may end at any moment.
TEST(LeavingStream, IsMovedFromAnEngineThatIsOverdue)
{
  EXPECT_TRUE(IsCutOffIfItStays({ -500ms, 1, 10 }));
}

} // namespace
} // namespace sapphirespar::policy
