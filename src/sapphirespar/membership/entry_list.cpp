// Shuffle-sharded entry addresses.
#include "sapphirespar/membership/entry_list.hpp"

#include "sapphirespar/membership/owners.hpp"

#include <algorithm>

namespace sapphirespar::membership {
namespace {

// Long enough to keep questions rare, short enough that a fresh answer comes
// before most vms have been replaced.
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
  for (const auto& one : aMembers) {
    if (one.mState == member_state::Live && !one.mAddress.empty()) {
      ranked.push_back(
        { &one, RendezvousWeight(aAccount.mText, one.mProcess.mVm) });
    }
  }
  std::ranges::sort(ranked, std::ranges::greater{}, &ranked_member::mWeight);
  return ranked;
}

entry_address
AddressOf(const ranked_member& aRanked)
{
  const auto& one = *aRanked.mMember;
  return { one.mProcess.mVm, one.mDataCentre, one.mAddress, one.mPort };
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
  if (localCount >= kEntryAddresses && others != ranked.end()) {
    // Leaves the last place to the best one elsewhere.
    ranked.erase(ranked.begin() + kEntryAddresses - 1, others);
  }
  ranked.resize(std::min(ranked.size(), kEntryAddresses));
  entry_list list;
  list.mTimeToLive = kTimeToLive;
  std::ranges::transform(
    ranked, std::back_inserter(list.mAddresses), AddressOf);
  return list;
}

} // namespace sapphirespar::membership
