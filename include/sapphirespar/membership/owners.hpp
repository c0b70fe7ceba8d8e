// Assigns each upstream to the router that owns it, by rendezvous hashing over
// the live routers of the upstream's data centre, or over all live routers if
// it has none. When a router dies, only its own upstreams move.
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

// Returns the weight of aVm for aKey. The live member with the highest weight
// owns the key.
std::uint64_t RendezvousWeight(std::string_view aKey, const vm_id& aVm);

// Returns the members that may own upstreams of aDataCentre: its live members,
// or all live members if it has none.
std::vector<const member*> OwnerCandidates(const data_centre_id& aDataCentre,
                                           std::span<const member> aMembers);

// Returns the owner of an upstream, or nothing if no member is live.
std::optional<vm_id> OwnerOf(const upstream_id& aUpstream,
                             const data_centre_id& aDataCentre,
                             std::span<const member> aMembers);

// An upstream and the VM of its owner.
struct owned_upstream
{
  const upstream_spec* mUpstream = nullptr;
  vm_id mOwner;
};

// Returns every upstream that has an owner, in the order of the bundle. The
// result points into aBundle.
std::vector<owned_upstream> AssignOwners(const bundle& aBundle,
                                         std::span<const member> aMembers);

// Returns whether an upstream serves a pool. A pool is the name of a model, or
// '/' followed by the name of a service.
bool ServesPool(const upstream_spec& aUpstream, std::string_view aPool);

// Returns the distinct owners of the upstreams that serve aPool, sorted by VM.
std::vector<vm_id> OwnersOfPool(std::string_view aPool,
                                std::span<const owned_upstream> aOwned);

// Returns the members of the blackboard as one list.
std::vector<member> ListMembers(const blackboard& aBoard);

} // namespace sapphirespar::membership
