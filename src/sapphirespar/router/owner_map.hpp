// Finds the owners of upstreams and pools as this router sees them, and picks
// owners and upstreams by reported load. Used by the slot broker only.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/policy/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar::router {

class owner_map
{
public:
  // aBoard outlives the map.
  owner_map(const blackboard& aBoard, std::function<std::uint64_t()> aRandom);

  void Configure(bundle_ptr aBundle);
  void SetUpstreams(std::span<const policy::upstream_view> aUpstreams);

  // Recomputes the owners from the board's members.
  void Refresh();

  // Returns the upstreams that this router owns.
  std::vector<policy::upstream_view> OwnedUpstreams() const;

  std::optional<vm_id> OwnerOf(const upstream_id& aUpstream) const;

  // Returns the owner to ask for a slot of aPool, or nothing if aTried contains
  // all owners. Prefers this router if it has a free slot, then owners with a
  // free slot in the same data centre, then other owners with a free slot.
  // Among equals it picks the less loaded of two random ones.
  std::optional<vm_id> PickOwner(std::string_view aPool,
                                 const std::set<vm_id>& aTried,
                                 const std::vector<pool_load>& aOwnLoads);

  // Returns the less loaded of two random upstreams by reported load, or
  // nothing if no upstream can serve the request. aRunningCount returns the
  // number of requests that this router itself runs at an upstream.
  std::optional<upstream_id> PickUpstream(
    const policy::queued_request& aRequest,
    const std::function<unsigned(const upstream_id&)>& aRunningCount);

  // Counts a request for a slot of aPool that has been sent to aOwner.
  void NoteSent(const vm_id& aOwner, std::string_view aPool);

private:
  struct sent_key
  {
    vm_id mOwner;
    std::string mPool;

    auto operator<=>(const sent_key&) const = default;
  };
  // Number of requests sent to an owner since its last load report.
  struct sent_count
  {
    steady_time mLoadReceivedAt{};
    unsigned mSent = 0;
  };
  struct owner_score
  {
    vm_id mOwner;
    bool mIsSelf = false;
    bool mSameDataCentre = false;
    bool mHasFreeSlot = false;
    // Outstanding and waiting requests per slot.
    double mLoad = 0;
  };

  std::vector<owner_score> Score(std::string_view aPool,
                                 const std::set<vm_id>& aTried,
                                 const std::vector<pool_load>& aOwnLoads) const;
  owner_score ScoreOf(const vm_id& aOwner,
                      std::string_view aPool,
                      const std::vector<pool_load>& aOwnLoads) const;
  unsigned SentTo(const vm_id& aOwner,
                  std::string_view aPool,
                  steady_time aLoadReceivedAt) const;
  double ReportedLoad(
    const policy::upstream_view& aView,
    const std::function<unsigned(const upstream_id&)>& aRunningCount) const;
  std::size_t RandomIndex(std::size_t aSize);

  const blackboard& mBoard;
  std::function<std::uint64_t()> mRandom;
  bundle_ptr mBundle;
  std::vector<policy::upstream_view> mUpstreams;
  std::map<upstream_id, vm_id> mOwners;
  // Owners of each pool, sorted by name and without duplicates.
  std::map<std::string, std::vector<vm_id>, std::less<>> mPoolOwners;
  std::map<sent_key, sent_count> mSent;
};

} // namespace sapphirespar::router
