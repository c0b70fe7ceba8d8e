// Idempotency tokens. A token names the one process that may ever dispatch
// the request that carries it, and that process can tell its own from forged
// ones.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirespar::ledger {

// What anybody can read from a token.
struct token_fields
{
  process_id mIssuer;
  // On the issuer's clock.
  steady_time mIssuedAt{};
};

// Returns nothing for text that is not a token.
std::optional<token_fields> ReadToken(std::string_view aText);

// Issues the tokens of one process and recognises them.
class token_issuer
{
public:
  explicit token_issuer(process_id aSelf);

  // The token serves aAccount only.
  std::string Issue(const account_id& aAccount, steady_time aNow) const;

  // Whether this process issued aText to aAccount.
  bool Verify(std::string_view aText, const account_id& aAccount) const;

private:
  std::string Sign(std::string_view aBody, const account_id& aAccount) const;

  process_id mSelf;
  // Random, and never leaves this process.
  std::string mSecret;
};

} // namespace sapphirespar::ledger
