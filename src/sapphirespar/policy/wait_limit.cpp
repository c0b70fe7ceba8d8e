// The longest wait of either kind of work.
#include "sapphirespar/policy/wait_limit.hpp"

#include <algorithm>

namespace sapphirespar::policy {

std::optional<std::chrono::milliseconds>
RefuseWait(const expected_wait& aWait, double aDraw)
{
  using std::chrono::milliseconds;
  // Callers that were refused together come back spread over this time.
  constexpr milliseconds kSpread{ 1500 };
  constexpr milliseconds kSoonest{ 500 };
  const auto limit = aWait.mInteractive
                       ? aWait.mPatience
                       : std::min(aWait.mTarget, aWait.mPatience);
  if (aWait.mFirstEvent <= limit) {
    return std::nullopt;
  }
  const auto spread = std::chrono::duration_cast<milliseconds>(kSpread * aDraw);
  return std::max(aWait.mFirstEvent - limit, kSoonest) + spread;
}

} // namespace sapphirespar::policy
