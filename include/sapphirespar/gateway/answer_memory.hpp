// Limits of the upstreams' answers, and the memory that answers in progress
// share.
#pragma once

#include <cstddef>
#include <memory>

namespace sapphirespar::gateway {

// The memory in which answers wait until they can be sent to the callers.
// Confined to one thread.
class answer_memory
{
public:
  explicit answer_memory(std::size_t aLimitBytes)
    : mLimitBytes(aLimitBytes)
  {
  }

  std::size_t Taken() const { return mTaken; }
  // Returns the most bytes that were taken at a time.
  std::size_t Peak() const { return mPeak; }

private:
  friend class answer_claim;

  std::size_t mLimitBytes;
  // The sum of all claims; at most mLimitBytes.
  std::size_t mTaken = 0;
  std::size_t mPeak = 0;
};

using answer_memory_ptr = std::shared_ptr<answer_memory>;

// The bytes that one answer takes; returned when the claim ends.
class answer_claim
{
public:
  explicit answer_claim(answer_memory_ptr aMemory);
  ~answer_claim();
  answer_claim(const answer_claim&) = delete;
  answer_claim& operator=(const answer_claim&) = delete;

  // Changes the claim to aBytes. Returns false, and changes nothing, if they
  // are not available: a quarter of the memory is for short answers only, and a
  // longer one may take half of what is left of the rest.
  bool Resize(std::size_t aBytes);

private:
  answer_memory_ptr mMemory;
  std::size_t mBytes = 0;
};

} // namespace sapphirespar::gateway
