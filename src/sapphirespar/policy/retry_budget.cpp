// Implements the retry budget.
#include "sapphirespar/policy/retry_budget.hpp"

#include <algorithm>

namespace sapphirespar::policy {

namespace {

// Sufficient for the streams of one crashed engine.
constexpr double kMaximumRetries = 50;

} // namespace

retry_budget::retry_budget(double aShare)
  : mShare(aShare)
  , mLeft(kMaximumRetries)
{
}

void
retry_budget::AddSuccess()
{
  mLeft = std::min(mLeft + mShare, kMaximumRetries);
}

bool
retry_budget::TryTake()
{
  if (mLeft < 1) {
    return false;
  }
  mLeft -= 1;
  return true;
}

} // namespace sapphirespar::policy
