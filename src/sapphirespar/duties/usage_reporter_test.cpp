// Tests that each window is reported once and in time, while the holder dies
// between its steps, answers are lost and the store comes back from a copy.
#include "duty_fleet_test.hpp"

#include "usage_record.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::duties {
namespace {

using namespace std::chrono_literals;

class usage_reporter_test : public testing::Test
{
protected:
  unsigned Holder() const
  {
    const auto holders = mFleet.Holders();
    EXPECT_EQ(holders.size(), 1U);
    return holders.empty() ? 0 : holders.front();
  }

  // Moves to this long after the end of the present window.
  void ToWindowEnd(std::chrono::milliseconds aAfter)
  {
    const auto now = mFleet.Now();
    mFleet.Advance(WindowEnd(WindowAt(now, kWindow), kWindow) - now + aAfter);
  }

  object_version StoredVersion() const
  {
    const auto* object = mFleet.mStore->Find(
      { std::string(kReportKind), std::string(kReportName) });
    return object ? object->mVersion : kNoObject;
  }

  // Writes a report as another gateway may have.
  void StoreReport(const usage_report& aReport)
  {
    mFleet.mStore->Write({ std::string(kReportKind), std::string(kReportName) },
                         WriteUsageRecord({ aReport, mFleet.mStore->mEra }),
                         false,
                         StoredVersion());
  }

  void ExpectNoGap() const
  {
    const auto& reports = mFleet.mDuties.mReports;
    ASSERT_FALSE(reports.empty());
    const auto first = reports.begin()->first;
    EXPECT_EQ(reports.rbegin()->first - first + 1, std::ssize(reports));
    EXPECT_TRUE(mFleet.mDuties.mBroken.empty());
  }

  duty_fleet mFleet{ 3 };
};

TEST_F(usage_reporter_test, EachWindowIsReportedWithinTheDelay)
{
  for (int windows = 0; windows < 6; ++windows) {
    const auto window = WindowAt(mFleet.Now(), kWindow);
    ToWindowEnd(3s);
    EXPECT_TRUE(mFleet.mDuties.mReports.contains(window));
  }
  ExpectNoGap();
}

TEST_F(usage_reporter_test, AReportSumsUpTheCountsOfItsWindow)
{
  mFleet.Advance(20s);
  // The fleet counts a request every 250 ms at each gateway; the holder knows
  // its own.
  const auto& report = mFleet.mDuties.mReports.rbegin()->second;
  ASSERT_EQ(report.mCounts.size(), 1U);
  EXPECT_NEAR(static_cast<double>(report.mCounts[0].mRequests), 20, 1);
}

TEST_F(usage_reporter_test, Fault_CrashBefore_Duty_Report_AFixedReportIsSent)
{
  mFleet.Advance(3s);
  const auto holder = Holder();
  const auto window = WindowAt(mFleet.Now(), kWindow);
  const usage_report fixed{ window, { { { "x" }, 7 } } };
  StoreReport(fixed);
  mFleet.Kill(holder);
  mFleet.Advance(20s);
  EXPECT_EQ(mFleet.mDuties.mReports[window], fixed);
  EXPECT_TRUE(mFleet.mDuties.mBroken.empty());
}

TEST_F(usage_reporter_test, Fault_Slow_Duty_Report_AReportThatCameFirstIsSent)
{
  mFleet.Advance(3s);
  auto& holder = *mFleet.At(Holder());
  const auto window = WindowAt(mFleet.Now(), kWindow);
  holder.mPlatform.Faults().mDelay = 600ms;
  ToWindowEnd(1300ms);
  // The holder has read the former report and not yet written its own.
  const usage_report other{ window, { { { "x" }, 7 } } };
  StoreReport(other);
  mFleet.Advance(10s);
  EXPECT_EQ(mFleet.mDuties.mReports[window], other);
  EXPECT_TRUE(mFleet.mDuties.mBroken.empty());
}

TEST_F(usage_reporter_test, Fault_AnswerLost_Duty_Report_TheSameIsSentAgain)
{
  mFleet.Advance(3s);
  mFleet.mDuties.mLoseAnswers = 100;
  mFleet.Advance(30s);
  mFleet.mDuties.mLoseAnswers = 0;
  mFleet.Advance(40s);
  ExpectNoGap();
}

TEST_F(usage_reporter_test, Fault_PausePastLease_Duty_Report_NobodyDiffers)
{
  for (auto length = 500ms; length <= 8s; length += 750ms) {
    mFleet.Advance(1500ms);
    const auto holders = mFleet.Holders();
    if (!holders.empty()) {
      auto& holder = *mFleet.At(holders.front());
      holder.mTimers.Pause();
      mFleet.Advance(length);
      holder.mTimers.Resume();
    }
    mFleet.Advance(9s);
  }
  mFleet.Advance(20s);
  ExpectNoGap();
}

TEST_F(usage_reporter_test, Fault_StoreRestore_Duty_Report_NoWindowIsMadeAgain)
{
  mFleet.mStore->mEra = 1;
  mFleet.Advance(10s);
  const auto copy = mFleet.mStore->Copy();
  mFleet.Advance(6s);
  const auto before = mFleet.mDuties.mReports.size();
  mFleet.mStore->Restore(copy);
  mFleet.Advance(30s);
  EXPECT_TRUE(mFleet.mDuties.mBroken.empty());
  // Windows that ended while nobody held the duties are left out.
  EXPECT_GE(mFleet.mDuties.mReports.size(), before + 4);
}

// Nobody is left who knows which windows were reported after the copy.
TEST_F(usage_reporter_test, Fault_StoreRestore_Duty_Report_AllWereKilledToo)
{
  mFleet.mStore->mEra = 1;
  mFleet.Advance(10s);
  const auto copy = mFleet.mStore->Copy();
  mFleet.Advance(12s);
  mFleet.mStore->Restore(copy);
  for (unsigned index = 0; index < mFleet.Size(); ++index) {
    mFleet.Restart(index);
  }
  const auto before = mFleet.mDuties.mReports.size();
  mFleet.Advance(30s);
  EXPECT_TRUE(mFleet.mDuties.mBroken.empty());
  EXPECT_GE(mFleet.mDuties.mReports.size(), before + 3);
}

TEST(usage_book, MessagesMayComeTwiceAndOutOfOrder)
{
  const process_id first{ { "a" }, 1 };
  const process_id second{ { "a" }, 2 };
  usage_book book;
  book.Merge({ first, 7, false, { { { "x" }, 5 }, { { "y" }, 1 } } });
  book.Merge({ first, 7, false, { { { "x" }, 3 } } });
  book.Merge({ first, 7, false, { { { "x" }, 5 } } });
  // The VM was restarted and counts anew.
  book.Merge({ second, 7, true, { { { "x" }, 4 } } });
  EXPECT_EQ(book.Sum(7),
            (std::vector<usage_count>{ { { "x" }, 9 }, { { "y" }, 1 } }));
  EXPECT_TRUE(book.IsComplete(7, std::vector{ vm_id{ "a" } }));
  EXPECT_FALSE(book.IsComplete(7, std::vector{ vm_id{ "a" }, vm_id{ "b" } }));
  book.DropBefore(8);
  book.Merge({ first, 7, false, { { { "x" }, 5 } } });
  EXPECT_TRUE(book.Sum(7).empty());
}

TEST(usage_book, MessagesWithWrongWindowsTakeLittleMemory)
{
  usage_book book;
  for (usage_window window = 0; window < 1000; ++window) {
    book.Merge({ { { "a" }, 1 }, window, false, { { { "x" }, 1 } } });
  }
  EXPECT_TRUE(book.Sum(900).empty());
  EXPECT_FALSE(book.Sum(999).empty());
}

TEST(usage_meter, ManyAccountsTakeSeveralMessages)
{
  usage_meter meter({ { "a" }, 1 }, kWindow);
  constexpr unsigned kAccounts = 5000;
  for (unsigned account = 0; account < kAccounts; ++account) {
    meter.Count({ std::to_string(account) }, 12s);
  }
  usage_book book;
  for (const auto& message : meter.Messages(15s + 400ms, 0)) {
    EXPECT_LE(message.mCounts.size(), 400U);
    book.Merge(message);
  }
  EXPECT_EQ(book.Sum(2).size(), kAccounts);
  EXPECT_TRUE(book.IsComplete(2, std::vector{ vm_id{ "a" } }));
}

TEST(usage_meter, ReportedWindowsAreForgotten)
{
  usage_meter meter({ { "a" }, 1 }, kWindow);
  meter.Count({ "x" }, 2s);
  meter.Count({ "x" }, 7s);
  const auto messages = meter.Messages(8s, 0);
  ASSERT_EQ(messages.size(), 1U);
  EXPECT_EQ(messages[0].mWindow, 1);
  EXPECT_FALSE(messages[0].mComplete);
}

} // namespace
} // namespace sapphirespar::duties
