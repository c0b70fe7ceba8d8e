// Converts failures of bundles to texts for operators.
#pragma once

#include "sapphirespar/base/failure.hpp"
#include "sapphirespar/config/signed_bundle.hpp"

#include <optional>
#include <string>

namespace sapphirespar {

// Returns the text of the failure if aCall fails, or nothing.
template<class Call>
std::optional<std::string>
ProblemOf(const Call& aCall)
{
  using problem = std::optional<std::string>;
  return leaf::try_handle_all(
    [&]() -> result<problem> {
      BOOST_LEAF_CHECK(aCall());
      return problem();
    },
    [](const signature_failure& aFailure) {
      return problem(aFailure.mProblem);
    },
    [](const config_failure& aFailure) { return problem(Describe(aFailure)); },
    [] { return problem("unreadable"); });
}

} // namespace sapphirespar
