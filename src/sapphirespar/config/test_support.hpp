// Helpers shared by the tests of this module.
#pragma once

#include "sapphirespar/config/signed_bundle.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <string>

namespace sapphirespar {

// Returns the text of the failure if aCall fails, or an empty string.
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

// Returns a small bundle in TOML that passes all checks.
std::string GoodBundleText();

// Returns the same bundle parsed, with the given version number and anna's key.
bundle GoodBundle(std::uint64_t aNumber, const std::string& aPublicKey);

} // namespace sapphirespar
