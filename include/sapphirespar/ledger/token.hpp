// Idempotency tokens. A token names the only process that may dispatch the
// request that carries it. A signature lets that process recognise forgeries.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirespar::ledger {

// The unencrypted fields of a token, which any process can read.
struct token_fields
{
  process_id mIssuer;
  // On the issuer's clock, which other processes do not share.
  steady_time mIssuedAt{};
};

// Parses a token without checking its signature. Returns nothing for text that
// is not a token.
std::optional<token_fields> ReadToken(std::string_view aText);

// Issues and verifies the tokens of one process.
class token_issuer
{
public:
  explicit token_issuer(process_id aSelf);

  // Returns a new token that is valid for aAccount only.
  std::string Issue(const account_id& aAccount, steady_time aNow) const;

  // Returns whether this process issued aText to aAccount.
  bool Verify(std::string_view aText, const account_id& aAccount) const;

private:
  std::string Sign(std::string_view aBody, const account_id& aAccount) const;

  process_id mSelf;
  // Random HMAC key that never leaves this process.
  std::string mSecret;
};

} // namespace sapphirespar::ledger
