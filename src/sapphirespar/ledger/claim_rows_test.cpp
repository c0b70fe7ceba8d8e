// Tests the stored form of claims and the handling of damaged objects.
#include "claim_rows.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sapphirespar::ledger {
namespace {

claim_head
MakeHead()
{
  claim_head head;
  head.mClock = 77;
  head.mArchives = { { 1, 40 }, { 2, 70 } };
  head.mRows[HashClaimKey("a")] = {
    { { "vm1" }, 3 }, { "r1" }, outcome::Done, 71
  };
  head.mRows[HashClaimKey("b")] = {
    { { "vm2" }, 9 }, { "r2" }, outcome::Unknown, 77
  };
  return head;
}

TEST(ClaimRows, AHeadIsReadAsItWasWritten)
{
  EXPECT_EQ(DecodeHead(EncodeHead(MakeHead())), MakeHead());
}

TEST(ClaimRows, AnArchiveIsReadAsItWasWritten)
{
  const auto rows = MakeHead().mRows;
  EXPECT_EQ(DecodeArchive(EncodeArchive(rows)), rows);
}

TEST(ClaimRows, AFullHeadStaysSmall)
{
  constexpr std::size_t kRows = 200;
  constexpr std::size_t kHeadBytes = 32 * 1024;
  claim_head head;
  for (std::size_t i = 0; i < kRows; ++i) {
    head.mRows[HashClaimKey(std::to_string(i))] = { { { "cesis-entry-1" },
                                                      1796333000123 },
                                                    NewRequestId(),
                                                    outcome::Unknown,
                                                    86400 };
  }
  EXPECT_LT(EncodeHead(head).size(), kHeadBytes);
}

RC_GTEST_PROP(ClaimRows,
              ADamagedObjectIsRefusedOrReadWithoutCrashing,
              (const std::string& aText))
{
  auto text = EncodeHead(MakeHead());
  const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
  const auto length = *rc::gen::inRange<std::size_t>(0, text.size());
  text.replace(position, length, aText);
  const auto head = DecodeHead(text);
  if (head) {
    RC_ASSERT(DecodeHead(EncodeHead(*head)) == head);
  }
  DecodeArchive(text);
  RC_ASSERT(!DecodeHead(text.substr(0, position)));
}

} // namespace
} // namespace sapphirespar::ledger
