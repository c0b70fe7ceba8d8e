// Divides a memory budget among the messages in progress.
#include "sapphirespar/base/memory_budget.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar {

memory_claim::memory_claim(memory_budget_ptr aMemory)
  : mMemory(std::move(aMemory))
{
}

memory_claim::~memory_claim()
{
  mMemory->mTaken -= mBytes;
}

bool
memory_claim::Resize(std::size_t aBytes)
{
  // Of the whole limit: what a short message may take, and what only short
  // messages may use.
  constexpr std::size_t kShortPart = 1024;
  constexpr std::size_t kReservedPart = 4;
  const auto limit = mMemory->mLimitBytes;
  const auto others = mMemory->mTaken - mBytes;
  const auto reserved =
    aBytes <= limit / kShortPart ? 0 : limit / kReservedPart;
  const auto left = limit - others;
  const auto usable =
    reserved == 0 ? left : (left - std::min(left, reserved)) / 2;
  if (aBytes > mBytes && aBytes > usable) {
    return false;
  }
  mMemory->mTaken = others + aBytes;
  mMemory->mPeak = std::max(mMemory->mPeak, mMemory->mTaken);
  mBytes = aBytes;
  return true;
}

} // namespace sapphirespar
