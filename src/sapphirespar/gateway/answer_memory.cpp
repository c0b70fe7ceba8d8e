// Divides the memory for answers among those in progress.
#include "sapphirespar/gateway/answer_memory.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::gateway {

answer_claim::answer_claim(answer_memory_ptr aMemory)
  : mMemory(std::move(aMemory))
{
}

answer_claim::~answer_claim()
{
  mMemory->mTaken -= mBytes;
}

bool
answer_claim::Resize(std::size_t aBytes)
{
  // Of the whole limit: what a short answer may take, and what only short
  // answers may use.
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

} // namespace sapphirespar::gateway
