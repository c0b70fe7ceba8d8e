// Tests of log line formatting.
#include "sapphirespar/base/log.hpp"

#include <gtest/gtest.h>

namespace sapphirespar {
namespace {

TEST(LogValue, QuotesOnlyWhereNeeded)
{
  EXPECT_EQ(QuoteLogValue("plain"), "plain");
  EXPECT_EQ(QuoteLogValue("two words"), "\"two words\"");
  EXPECT_EQ(QuoteLogValue("a=\"b\""), "\"a=\\\"b\\\"\"");
  EXPECT_EQ(QuoteLogValue(""), "\"\"");
}

TEST(LogValue, NeverBreaksTheLine)
{
  EXPECT_EQ(QuoteLogValue("one\ntwo"), "\"one two\"");
}

} // namespace
} // namespace sapphirespar
