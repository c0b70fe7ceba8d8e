// Rendezvous hashing of upstreams over routers, with XXH3.
#include "sapphirespar/membership/owners.hpp"

#include <algorithm>
#include <string>

#include <xxhash.h>

namespace sapphirespar::membership {
namespace {

bool
IsLive(const member& aMember)
{
  return aMember.mState == member_state::Live;
}

const member*
Heaviest(std::string_view aKey, std::span<const member* const> aCandidates)
{
  const auto weight = [&](const member* aMember) {
    return RendezvousWeight(aKey, aMember->mProcess.mVm);
  };
  const auto found =
    std::ranges::max_element(aCandidates, std::ranges::less{}, weight);
  return found == aCandidates.end() ? nullptr : *found;
}

} // namespace

std::uint64_t
RendezvousWeight(std::string_view aKey, const vm_id& aVm)
{
  const auto seed = XXH3_64bits(aVm.mText.data(), aVm.mText.size());
  return XXH3_64bits_withSeed(aKey.data(), aKey.size(), seed);
}

std::vector<const member*>
OwnerCandidates(const data_centre_id& aDataCentre,
                std::span<const member> aMembers)
{
  std::vector<const member*> local;
  std::vector<const member*> all;
  for (const auto& candidate : aMembers) {
    if (!IsLive(candidate)) {
      continue;
    }
    all.push_back(&candidate);
    if (candidate.mDataCentre == aDataCentre) {
      local.push_back(&candidate);
    }
  }
  return local.empty() ? all : local;
}

std::optional<vm_id>
OwnerOf(const upstream_id& aUpstream,
        const data_centre_id& aDataCentre,
        std::span<const member> aMembers)
{
  const auto candidates = OwnerCandidates(aDataCentre, aMembers);
  const auto* owner = Heaviest(aUpstream.mText, candidates);
  return owner ? std::optional(owner->mProcess.mVm) : std::nullopt;
}

std::vector<owned_upstream>
AssignOwners(const bundle& aBundle, std::span<const member> aMembers)
{
  std::map<data_centre_id, std::vector<const member*>> candidates;
  std::vector<owned_upstream> owners;
  for (const auto& upstream : aBundle.mUpstreams) {
    auto [entry, added] = candidates.try_emplace(upstream.mDataCentre);
    if (added) {
      entry->second = OwnerCandidates(upstream.mDataCentre, aMembers);
    }
    if (const auto* owner = Heaviest(upstream.mId.mText, entry->second)) {
      owners.push_back({ &upstream, owner->mProcess.mVm });
    }
  }
  return owners;
}

bool
ServesPool(const upstream_spec& aUpstream, std::string_view aPool)
{
  if (aUpstream.mKind == upstream_kind::Service) {
    return aPool.starts_with('/') && aPool.substr(1) == aUpstream.mService;
  }
  return std::ranges::any_of(aUpstream.mModels, [&](const model_id& aModel) {
    return aModel.mText == aPool;
  });
}

std::vector<vm_id>
OwnersOfPool(std::string_view aPool, std::span<const owned_upstream> aOwned)
{
  std::vector<vm_id> owners;
  for (const auto& candidate : aOwned) {
    if (ServesPool(*candidate.mUpstream, aPool)) {
      owners.push_back(candidate.mOwner);
    }
  }
  std::ranges::sort(owners);
  owners.erase(std::unique(owners.begin(), owners.end()), owners.end());
  return owners;
}

std::vector<member>
ListMembers(const blackboard& aBoard)
{
  std::vector<member> members;
  members.reserve(aBoard.mMembers.size());
  for (const auto& [vm, candidate] : aBoard.mMembers) {
    members.push_back(candidate);
  }
  return members;
}

} // namespace sapphirespar::membership
