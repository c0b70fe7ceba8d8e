// Rendezvous hashing of upstreams over routers, by xxHash.
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
HomeCandidates(const data_centre_id& aDataCentre,
               std::span<const member> aMembers)
{
  std::vector<const member*> local;
  std::vector<const member*> all;
  for (const auto& one : aMembers) {
    if (!IsLive(one)) {
      continue;
    }
    all.push_back(&one);
    if (one.mDataCentre == aDataCentre) {
      local.push_back(&one);
    }
  }
  return local.empty() ? all : local;
}

std::optional<vm_id>
OwnerOf(const upstream_id& aUpstream,
        const data_centre_id& aDataCentre,
        std::span<const member> aMembers)
{
  const auto candidates = HomeCandidates(aDataCentre, aMembers);
  const auto* home = Heaviest(aUpstream.mText, candidates);
  return home ? std::optional(home->mProcess.mVm) : std::nullopt;
}

std::vector<owned_upstream>
AssignOwners(const bundle& aBundle, std::span<const member> aMembers)
{
  std::map<data_centre_id, std::vector<const member*>> candidates;
  std::vector<owned_upstream> homes;
  for (const auto& upstream : aBundle.mUpstreams) {
    auto [entry, added] = candidates.try_emplace(upstream.mDataCentre);
    if (added) {
      entry->second = HomeCandidates(upstream.mDataCentre, aMembers);
    }
    if (const auto* home = Heaviest(upstream.mId.mText, entry->second)) {
      homes.push_back({ &upstream, home->mProcess.mVm });
    }
  }
  return homes;
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
HomesOfPool(std::string_view aPool, std::span<const owned_upstream> aHomes)
{
  std::vector<vm_id> homes;
  for (const auto& one : aHomes) {
    if (ServesPool(*one.mUpstream, aPool)) {
      homes.push_back(one.mOwner);
    }
  }
  std::ranges::sort(homes);
  homes.erase(std::unique(homes.begin(), homes.end()), homes.end());
  return homes;
}

std::vector<member>
ListMembers(const blackboard& aBoard)
{
  std::vector<member> members;
  members.reserve(aBoard.mMembers.size());
  for (const auto& [vm, one] : aBoard.mMembers) {
    members.push_back(one);
  }
  return members;
}

} // namespace sapphirespar::membership
