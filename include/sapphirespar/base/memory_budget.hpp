// Memory that messages in progress share, such as the answers that wait to be
// sent to callers.
#pragma once

#include <cstddef>
#include <memory>

namespace sapphirespar {

// Confined to one thread.
class memory_budget
{
public:
  explicit memory_budget(std::size_t aLimitBytes)
    : mLimitBytes(aLimitBytes)
  {
  }

  std::size_t Taken() const { return mTaken; }
  // Returns the most bytes that were taken at a time.
  std::size_t Peak() const { return mPeak; }

private:
  friend class memory_claim;

  std::size_t mLimitBytes;
  // The sum of all claims; at most mLimitBytes.
  std::size_t mTaken = 0;
  std::size_t mPeak = 0;
};

using memory_budget_ptr = std::shared_ptr<memory_budget>;

// The bytes that one message takes; returned when the claim ends.
class memory_claim
{
public:
  explicit memory_claim(memory_budget_ptr aMemory);
  ~memory_claim();
  memory_claim(const memory_claim&) = delete;
  memory_claim& operator=(const memory_claim&) = delete;

  // Changes the claim to aBytes. Returns false, and changes nothing, if they
  // are not available: a quarter of the memory is for short messages only, and
  // a longer one may take half of what is left of the rest.
  bool Resize(std::size_t aBytes);

private:
  memory_budget_ptr mMemory;
  std::size_t mBytes = 0;
};

} // namespace sapphirespar
