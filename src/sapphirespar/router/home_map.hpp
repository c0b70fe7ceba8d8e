// Which router is home to which upstream and pool, as this router sees it, and
// how loaded it says it is. For use by the slot broker only.
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

class home_map
{
public:
  // aBoard outlives the map.
  home_map(const blackboard& aBoard, std::function<std::uint64_t()> aRandom);

  void Configure(bundle_ptr aBundle);
  void SetUpstreams(std::span<const policy::upstream_view> aUpstreams);

  // Works out the homes anew from the board's members.
  void Refresh();

  // Returns the upstreams homed at this router.
  std::vector<policy::upstream_view> OwnUpstreams() const;

  std::optional<vm_id> HomeOf(const upstream_id& aUpstream) const;

  // Returns a home to ask for aPool: this router if it has a free slot, then
  // the better of two at random, near ones with free slots first. Nothing if
  // all are in aTried.
  std::optional<vm_id> PickHome(std::string_view aPool,
                                const std::set<vm_id>& aTried,
                                const std::vector<pool_load>& aOwnLoads);

  // Returns the better of two upstreams at random by reported load, aHeld being
  // how many requests this router itself has on one. Nothing if none can serve.
  std::optional<upstream_id> PickUpstream(
    const policy::queued_request& aRequest,
    const std::function<unsigned(const upstream_id&)>& aHeld);

  // A request has been put to aHome.
  void NoteAsked(const vm_id& aHome, std::string_view aPool);

private:
  struct asked_key
  {
    vm_id mOwner;
    std::string mPool;

    auto operator<=>(const asked_key&) const = default;
  };
  // Requests put to a home since it last said how loaded it is.
  struct asked_count
  {
    steady_time mLoadHeard{};
    unsigned mAsked = 0;
  };
  struct home_score
  {
    vm_id mOwner;
    bool mIsSelf = false;
    bool mIsNear = false;
    bool mHasFree = false;
    // Outstanding and waiting requests for each slot.
    double mLoad = 0;
  };

  std::vector<home_score> Score(std::string_view aPool,
                                const std::set<vm_id>& aTried,
                                const std::vector<pool_load>& aOwnLoads) const;
  home_score ScoreOf(const vm_id& aHome,
                     std::string_view aPool,
                     const std::vector<pool_load>& aOwnLoads) const;
  unsigned AskedOf(const vm_id& aHome,
                   std::string_view aPool,
                   steady_time aLoadHeard) const;
  double ReportedLoad(
    const policy::upstream_view& aView,
    const std::function<unsigned(const upstream_id&)>& aHeld) const;
  std::size_t RandomIndex(std::size_t aSize);

  const blackboard& mBoard;
  std::function<std::uint64_t()> mRandom;
  bundle_ptr mBundle;
  std::vector<policy::upstream_view> mUpstreams;
  std::map<upstream_id, vm_id> mHomes;
  // Homes of each pool in order of their names, each once.
  std::map<std::string, std::vector<vm_id>, std::less<>> mPoolHomes;
  std::map<asked_key, asked_count> mAsked;
};

} // namespace sapphirespar::router
