// Our scheduler.
#include "sapphirespar/policy/tiered_scheduler.hpp"

#include "sapphirespar/policy/class_lanes.hpp"
#include "sapphirespar/policy/refusals.hpp"
#include "sapphirespar/policy/slot_table.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace sapphirespar::policy {

namespace {

constexpr unsigned kFirstTier = 1;

// When a refused request may be tried again if nothing better is known.
constexpr std::chrono::milliseconds kRetryAfter{ 1000 };

class tiered_scheduler : public scheduler
{
public:
  void Configure(bundle_ptr aBundle) override
  {
    mBundle = std::move(aBundle);
    for (auto& [pool, lanes] : mPools) {
      for (auto& lane : lanes) {
        lane.mClass = ClassOf(lane.mClass.mId);
      }
      std::ranges::stable_sort(lanes, {}, [](const class_lane& aLane) {
        return std::tie(aLane.mClass.mTier, aLane.mClass.mId);
      });
    }
  }

  decisions SetUpstreams(std::span<const upstream_view> aUpstreams,
                         steady_time aNow) override
  {
    mSlots.SetUpstreams(aUpstreams);
    return Tick(aNow);
  }

  decisions Submit(queued_request aRequest, steady_time aNow) override
  {
    decisions made;
    if (RepeatDecision(aRequest.mId, made)) {
      return made;
    }
    if (!mSlots.CanServe(aRequest)) {
      made.mRejections.push_back(RefuseNoUpstream(aRequest));
      return made;
    }
    auto& lanes = mPools[aRequest.mPool];
    auto& lane = LaneOf(lanes, ClassOf(aRequest.mClass));
    if (IsLost(lane, aRequest, aNow)) {
      made.mRejections.push_back(RefuseTooLate(aRequest, kRetryAfter));
      return made;
    }
    if (IsFull(lane, aRequest.mAccount)) {
      made.mRejections.push_back(RefuseQueueFull(aRequest, kRetryAfter));
      return made;
    }
    const queue_key key{ aRequest.mFirstTokenBy, ++mSequence };
    mPlaces.emplace(aRequest.mId,
                    place{ aRequest.mPool, aRequest.mClass, key });
    Push(lane, key, std::move(aRequest));
    Dispatch(lanes, aNow, made);
    return made;
  }

  void Adopt(queued_request aRequest,
             const upstream_id& aUpstream,
             steady_time aNow) override
  {
    mSlots.Take(std::move(aRequest), aUpstream, aNow);
  }

  decisions Finish(const completion& aCompletion, steady_time aNow) override
  {
    decisions made;
    if (const auto holder = mSlots.Release(aCompletion.mRequest)) {
      for (const auto& pool : holder->mUpstream->mView.mPools) {
        Dispatch(mPools[pool], aNow, made);
      }
    }
    return made;
  }

  decisions Withdraw(const request_id& aRequest, steady_time) override
  {
    if (const auto found = mPlaces.find(aRequest); found != mPlaces.end()) {
      const auto& [pool, classId, key] = found->second;
      Remove(LaneOf(mPools[pool], ClassOf(classId)), key);
      mPlaces.erase(found);
    }
    return {};
  }

  decisions Tick(steady_time aNow) override
  {
    decisions made;
    for (auto& [pool, lanes] : mPools) {
      for (auto& lane : lanes) {
        RejectLost(lane, aNow, made);
      }
      Dispatch(lanes, aNow, made);
    }
    return made;
  }

  std::vector<scheduler_counts> Counts() const override
  {
    auto counts = mSlots.Counts();
    for (auto& count : counts) {
      const auto found = mPools.find(count.mPool);
      count.mQueued = found == mPools.end() ? 0 : Waiting(found->second);
    }
    return counts;
  }

private:
  struct place
  {
    std::string mPool;
    class_id mClass;
    queue_key mKey;
  };

  // A class that the bundle does not name counts as an undemanding one.
  request_class ClassOf(const class_id& aId) const
  {
    if (const auto* found = mBundle ? FindClass(*mBundle, aId) : nullptr) {
      return *found;
    }
    request_class unnamed;
    unnamed.mId = aId;
    return unnamed;
  }

  // A request that is submitted again keeps its place or its slot.
  bool RepeatDecision(const request_id& aRequest, decisions& aMade)
  {
    if (const auto* holder = mSlots.Find(aRequest)) {
      aMade.mAssignments.push_back({ aRequest, holder->mUpstream->mView.mId });
      return true;
    }
    return mPlaces.contains(aRequest);
  }

  // The first tier waits for as long as its whole answer is still wanted.
  static bool IsLost(const class_lane& aLane,
                     const queued_request& aRequest,
                     steady_time aNow)
  {
    const auto by = aLane.mClass.mTier == kFirstTier
                      ? aRequest.mAnswerBy
                      : std::min(aRequest.mFirstTokenBy, aRequest.mAnswerBy);
    return by <= aNow;
  }

  void RejectLost(class_lane& aLane, steady_time aNow, decisions& aMade)
  {
    for (auto item = aLane.mQueue.begin(); item != aLane.mQueue.end();) {
      const auto [key, request] = *item++;
      if (!mSlots.CanServe(request)) {
        aMade.mRejections.push_back(RefuseNoUpstream(request));
      } else if (IsLost(aLane, request, aNow)) {
        aMade.mRejections.push_back(RefuseTooLate(request, kRetryAfter));
      } else {
        continue;
      }
      mPlaces.erase(request.mId);
      Remove(aLane, key);
    }
  }

  void Dispatch(class_lanes& aLanes, steady_time aNow, decisions& aMade)
  {
    for (auto& lane : aLanes) {
      for (auto item = lane.mQueue.begin(); item != lane.mQueue.end();) {
        const auto current = item++;
        const auto members = mSlots.Members(current->second.mPool);
        if (std::ranges::none_of(members, [](const slot_state* aState) {
              return TakesWork(*aState) && FreeSlots(*aState) > 0;
            })) {
          return;
        }
        if (const auto* chosen = Choose(members, current->second)) {
          Assign(lane, current->first, *chosen, aNow, aMade);
        }
      }
    }
  }

  void Assign(class_lane& aLane,
              queue_key aKey,
              const slot_state& aUpstream,
              steady_time aNow,
              decisions& aMade)
  {
    auto request = Remove(aLane, aKey);
    mPlaces.erase(request->mId);
    aMade.mAssignments.push_back({ request->mId, aUpstream.mView.mId });
    mSlots.Take(*std::move(request), aUpstream.mView.mId, aNow);
  }

  static const slot_state* Choose(std::span<slot_state* const> aMembers,
                                  const queued_request& aRequest)
  {
    const slot_state* best = nullptr;
    for (const auto* state : aMembers) {
      if (MayServe(*state, aRequest) && FreeSlots(*state) > 0 &&
          (!best || FreeSlots(*state) > FreeSlots(*best))) {
        best = state;
      }
    }
    return best;
  }

  bundle_ptr mBundle;
  slot_table mSlots;
  std::map<std::string, class_lanes> mPools;
  // Where each waiting request stands.
  std::unordered_map<request_id, place> mPlaces;
  std::uint64_t mSequence = 0;
};

} // namespace

scheduler_ptr
MakeTieredScheduler()
{
  return std::make_unique<tiered_scheduler>();
}

} // namespace sapphirespar::policy
