// The claims of one shard that wait for a verdict, and those being committed.
#pragma once

#include "claim_image.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/ledger/claim_shard.hpp"

#include <deque>
#include <string>
#include <vector>

namespace sapphirespar::ledger {

struct waiting_claim
{
  claim_request mRequest;
  std::string mHash;
  claim_callback mDone;
  steady_time mDeadline{};
};

class claim_queue
{
public:
  // A request that is here already only gets its new callback.
  void Add(claim_request aRequest, claim_callback aDone, steady_time aDeadline);

  // Whether nothing waits; a batch does not count.
  bool Empty() const { return mWaiting.empty(); }

  // Removes and returns claims whose deadline has passed.
  std::vector<waiting_claim> TakeLate(steady_time aNow);

  // Removes and returns claims that committed rows already decide.
  std::vector<waiting_claim> TakeDecided(const claim_image& aImage);

  // Moves up to aLimit claims, whose keys are free, to the batch and adds
  // their rows to aNext.
  void FillBatch(const claim_image& aImage,
                 std::size_t aLimit,
                 claim_head& aNext);

  // Removes and returns the batch.
  std::vector<waiting_claim> TakeBatch();

  // Lets the batch wait again, before later claims.
  void PutBatchBack();

private:
  // In order of their deadlines.
  std::deque<waiting_claim> mWaiting;
  std::vector<waiting_claim> mBatch;
};

} // namespace sapphirespar::ledger
