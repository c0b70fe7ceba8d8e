// Shuffle sharding of entry addresses by rendezvous weight.
#include "sapphirespar/membership/entry_list.hpp"

#include "sapphirespar/membership/owners.hpp"

#include <algorithm>

namespace sapphirespar::membership {
namespace {

// Longer values could outlive most of the listed VMs; shorter ones cause more
// lookups.
constexpr std::chrono::seconds kTimeToLive{ 30 };

struct ranked_member
{
  const member* mMember = nullptr;
  std::uint64_t mWeight = 0;
};

std::vector<ranked_member>
RankLive(std::span<const member> aMembers, const account_id& aAccount)
{
  std::vector<ranked_member> ranked;
  for (const auto& candidate : aMembers) {
    if (candidate.mState == member_state::Live && !candidate.mAddress.empty()) {
      ranked.push_back(
        { &candidate,
          RendezvousWeight(aAccount.mText, candidate.mProcess.mVm) });
    }
  }
  std::ranges::sort(ranked, std::ranges::greater{}, &ranked_member::mWeight);
  return ranked;
}

entry_address
AddressOf(const ranked_member& aRanked)
{
  const auto& candidate = *aRanked.mMember;
  return { candidate.mProcess.mVm,
           candidate.mDataCentre,
           candidate.mAddress,
           candidate.mPort };
}

} // namespace

entry_list
EntryAddresses(std::span<const member> aMembers,
               const account_id& aAccount,
               const data_centre_id& aPreferred)
{
  auto ranked = RankLive(aMembers, aAccount);
  const auto isLocal = [&](const ranked_member& aRanked) {
    return aRanked.mMember->mDataCentre == aPreferred;
  };
  const auto others =
    std::stable_partition(ranked.begin(), ranked.end(), isLocal);
  const auto localCount = static_cast<std::size_t>(others - ranked.begin());
  if (localCount >= kMaxEntryAddresses && others != ranked.end()) {
    // Keeps the last place for the best router of another data centre.
    ranked.erase(ranked.begin() + kMaxEntryAddresses - 1, others);
  }
  ranked.resize(std::min(ranked.size(), kMaxEntryAddresses));
  entry_list list;
  list.mTimeToLive = kTimeToLive;
  std::ranges::transform(
    ranked, std::back_inserter(list.mAddresses), AddressOf);
  return list;
}

} // namespace sapphirespar::membership
