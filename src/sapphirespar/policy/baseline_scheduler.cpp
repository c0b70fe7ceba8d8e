// Implements the baseline schedulers.
#include "sapphirespar/policy/baseline_scheduler.hpp"

#include "sapphirespar/policy/refusals.hpp"
#include "sapphirespar/policy/slot_table.hpp"
#include "sapphirespar/policy/waiting_queue.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace sapphirespar::policy {

namespace {

class baseline_scheduler : public scheduler
{
public:
  explicit baseline_scheduler(baseline_choice aChoice)
    : mChoice(aChoice)
  {
  }

  void Configure(bundle_ptr) override {}

  decisions SetUpstreams(std::span<const upstream_view> aUpstreams,
                         steady_time aNow) override
  {
    mSlots.SetUpstreams(aUpstreams);
    return Tick(aNow);
  }

  decisions Submit(queued_request aRequest, steady_time aNow) override
  {
    decisions result;
    if (!mSlots.CanServe(aRequest)) {
      result.mRejections.push_back(RefuseNoUpstream(aRequest));
      return result;
    }
    const queue_key key{ {}, ++mSequence };
    mPositions.emplace(aRequest.mId, queue_position{ aRequest.mPool, key });
    auto& queue = mQueues[aRequest.mPool];
    queue.emplace(key, std::move(aRequest));
    Dispatch(queue, aNow, result);
    return result;
  }

  void Adopt(queued_request aRequest,
             const upstream_id& aUpstream,
             steady_time aNow) override
  {
    mSlots.Take(std::move(aRequest), aUpstream, aNow);
  }

  decisions Finish(const completion& aCompletion, steady_time aNow) override
  {
    decisions result;
    if (const auto holder = mSlots.Release(aCompletion.mRequest)) {
      for (const auto& pool : holder->mUpstream->mView.mPools) {
        Dispatch(mQueues[pool], aNow, result);
      }
    }
    return result;
  }

  decisions Withdraw(const request_id& aRequest, steady_time) override
  {
    if (const auto found = mPositions.find(aRequest);
        found != mPositions.end()) {
      Extract(mQueues[found->second.mPool], found->second.mKey);
      mPositions.erase(found);
    }
    return {};
  }

  decisions Tick(steady_time aNow) override
  {
    decisions result;
    for (auto& [pool, queue] : mQueues) {
      std::erase_if(queue, [&](const auto& aItem) {
        return RejectIfUnservable(aItem.second, aNow, result);
      });
      Dispatch(queue, aNow, result);
    }
    return result;
  }

  std::vector<scheduler_counts> Counts() const override
  {
    auto counts = mSlots.Counts();
    for (auto& count : counts) {
      const auto found = mQueues.find(count.mPool);
      count.mQueued = found == mQueues.end() ? 0 : found->second.size();
    }
    return counts;
  }

private:
  struct queue_position
  {
    std::string mPool;
    queue_key mKey;
  };

  // Rejects a request that no upstream can serve or that is past its deadline;
  // returns false otherwise.
  bool RejectIfUnservable(const queued_request& aRequest,
                          steady_time aNow,
                          decisions& aDecisions)
  {
    if (!mSlots.CanServe(aRequest)) {
      aDecisions.mRejections.push_back(RefuseNoUpstream(aRequest));
    } else if (aRequest.mAnswerBy <= aNow) {
      aDecisions.mRejections.push_back(RefuseTooLate(aRequest, {}));
    } else {
      return false;
    }
    mPositions.erase(aRequest.mId);
    return true;
  }

  // Assigns requests from the front until the pool has no free slot. Skips a
  // request that may not run on any upstream with a free slot.
  void Dispatch(waiting_queue& aQueue, steady_time aNow, decisions& aDecisions)
  {
    for (auto item = aQueue.begin(); item != aQueue.end();) {
      const auto members = mSlots.Members(item->second.mPool);
      if (std::ranges::none_of(members, [](const slot_state* aState) {
            return TakesWork(*aState) && FreeSlots(*aState) > 0;
          })) {
        return;
      }
      const auto* chosen = Choose(members, item->second);
      if (!chosen) {
        ++item;
        continue;
      }
      aDecisions.mAssignments.push_back(
        { item->second.mId, chosen->mView.mId });
      mPositions.erase(item->second.mId);
      mSlots.Take(std::move(item->second), chosen->mView.mId, aNow);
      item = aQueue.erase(item);
    }
  }

  const slot_state* Choose(std::span<slot_state* const> aMembers,
                           const queued_request& aRequest)
  {
    const slot_state* best = nullptr;
    const auto first =
      mChoice == baseline_choice::RoundRobin ? mNextIndex++ : 0;
    for (std::size_t i = 0; i < aMembers.size(); ++i) {
      const auto* state = aMembers[(first + i) % aMembers.size()];
      if (!MayServe(*state, aRequest) || FreeSlots(*state) == 0) {
        continue;
      }
      if (mChoice == baseline_choice::RoundRobin) {
        return state;
      }
      if (!best || state->mRunning < best->mRunning) {
        best = state;
      }
    }
    return best;
  }

  const baseline_choice mChoice;
  slot_table mSlots;
  std::map<std::string, waiting_queue> mQueues;
  // Queue position of each waiting request.
  std::unordered_map<request_id, queue_position> mPositions;
  std::uint64_t mSequence = 0;
  std::size_t mNextIndex = 0;
};

} // namespace

scheduler_ptr
MakeBaselineScheduler(baseline_choice aChoice)
{
  return std::make_unique<baseline_scheduler>(aChoice);
}

} // namespace sapphirespar::policy
