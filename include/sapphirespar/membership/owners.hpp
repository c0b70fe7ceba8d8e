// Which router is home to an upstream: rendezvous hashing over the live
// routers of the upstream's data centre, or over all if that has none. When a
// router dies only its own upstreams move.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace sapphirespar::membership {

// The weight of aVm for aKey; the live member with the highest one wins.
std::uint64_t RendezvousWeight(std::string_view aKey, const vm_id& aVm);

// Returns the members that may be homes: the live ones of aDataCentre, or all
// live ones if it has none.
std::vector<const member*> HomeCandidates(const data_centre_id& aDataCentre,
                                          std::span<const member> aMembers);

// Returns the home of an upstream, or nothing without a live member.
std::optional<vm_id> OwnerOf(const upstream_id& aUpstream,
                             const data_centre_id& aDataCentre,
                             std::span<const member> aMembers);

// An upstream and its home.
struct owned_upstream
{
  const upstream_spec* mUpstream = nullptr;
  vm_id mOwner;
};

// Returns every upstream that has a home, in the bundle's order. The result
// points into aBundle.
std::vector<owned_upstream> AssignOwners(const bundle& aBundle,
                                         std::span<const member> aMembers);

// Whether an upstream serves a pool: a model's name, or a service's with a
// leading '/'.
bool ServesPool(const upstream_spec& aUpstream, std::string_view aPool);

// Returns the distinct homes of the upstreams that serve aPool, in order of
// their names.
std::vector<vm_id> HomesOfPool(std::string_view aPool,
                               std::span<const owned_upstream> aHomes);

// Returns the members of the blackboard as one list.
std::vector<member> ListMembers(const blackboard& aBoard);

} // namespace sapphirespar::membership
