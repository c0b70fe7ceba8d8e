// Tests the fields of tokens and the rejection of forged tokens.
#include "sapphirespar/ledger/token.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sapphirespar::ledger {
namespace {

using namespace std::chrono_literals;

const process_id kSelf{ { "vm-1.cesis" }, 7 };
const account_id kBuyer{ "buyer" };

TEST(Token, ContainsIssuerAndIssueTime)
{
  const token_issuer issuer(kSelf);
  const auto text = issuer.Issue(kBuyer, steady_time(90s));
  const auto fields = ReadToken(text);
  ASSERT_TRUE(fields);
  EXPECT_EQ(fields->mIssuer, kSelf);
  EXPECT_EQ(fields->mIssuedAt, steady_time(90s));
  EXPECT_TRUE(issuer.Verify(text, kBuyer));
}

TEST(Token, IsValidForOneAccountAndOneProcess)
{
  const token_issuer issuer(kSelf);
  const token_issuer otherIssuer(kSelf);
  const auto text = issuer.Issue(kBuyer, {});
  EXPECT_FALSE(issuer.Verify(text, { "other" }));
  EXPECT_FALSE(otherIssuer.Verify(text, kBuyer));
}

RC_GTEST_PROP(Token, AChangedTokenIsRefused, ())
{
  const token_issuer issuer(kSelf);
  auto text = issuer.Issue(kBuyer, steady_time(90s));
  const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
  const auto character = *rc::gen::arbitrary<char>();
  RC_PRE(text[position] != character);
  text[position] = character;
  RC_ASSERT(!issuer.Verify(text, kBuyer));
}

RC_GTEST_PROP(Token, AnyTextIsReadOrRefused, (const std::string& aText))
{
  const auto fields = ReadToken("st1." + aText);
  if (fields) {
    RC_ASSERT(!fields->mIssuer.mVm.Empty());
  }
}

} // namespace
} // namespace sapphirespar::ledger
