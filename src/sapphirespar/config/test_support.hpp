// What the tests of this module share.
#pragma once

#include "sapphirespar/config/signed_bundle.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <string>

namespace sapphirespar {

// Returns the text of the failure that aCall ends with, or an empty one.
template<class Call>
std::string
FailureText(const Call& aCall)
{
  return leaf::try_handle_all(
    [&]() -> result<std::string> {
      BOOST_LEAF_CHECK(aCall());
      return std::string();
    },
    [](const config_failure& aFailure) { return Describe(aFailure); },
    [](const signature_failure& aFailure) { return aFailure.mProblem; },
    [] { return std::string("another failure"); });
}

// A small bundle in TOML that passes all checks.
std::string GoodBundleText();

// The same, read, with the given number and a signer "anna".
bundle GoodBundle(std::uint64_t aNumber, const std::string& aPublicKey);

} // namespace sapphirespar
