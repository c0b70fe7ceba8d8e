// Remembers listed software versions.
#include "sapphirespar/policy/software_history.hpp"

#include <algorithm>

namespace sapphirespar::policy {
namespace {

// Versions that were not listed for this long are forgotten.
constexpr std::chrono::hours kForgetAfter{ 1 };

// A longer time without a list is a gap, in which a version may have come and
// gone.
constexpr std::chrono::seconds kMaximumGap{ 2 };

} // namespace

void
software_history::Watch(std::span<const pool_software> aListed,
                        steady_time aNow)
{
  if (aListed.empty()) {
    return;
  }
  if (!mSince || aNow - mLastWatch > kMaximumGap) {
    mSince = aNow;
  }
  mLastWatch = aNow;
  for (const auto& listed : aListed) {
    mLastSeen[listed] = aNow;
  }
  std::erase_if(mLastSeen, [aNow](const auto& aItem) {
    return aNow - aItem.second > kForgetAfter;
  });
}

void
software_history::Merge(std::span<const pool_software> aSeen,
                        bool aSeenAll,
                        steady_duration aSpan,
                        steady_time aNow)
{
  for (const auto& seen : aSeen) {
    mLastSeen[seen] = aNow;
  }
  if (aSeenAll && mSince) {
    mSince = std::min(*mSince, aNow - aSpan);
  }
}

bool
software_history::Covers(steady_duration aSpan, steady_time aNow) const
{
  return mSince && aNow - *mSince >= aSpan && aNow - mLastWatch <= kMaximumGap;
}

std::vector<pool_software>
software_history::SeenWithin(steady_duration aSpan, steady_time aNow) const
{
  std::vector<pool_software> seen;
  for (const auto& [version, lastSeen] : mLastSeen) {
    if (aNow - lastSeen <= aSpan) {
      seen.push_back(version);
    }
  }
  return seen;
}

std::optional<std::uint64_t>
software_history::OnlyVersion(std::uint64_t aPool,
                              steady_duration aSpan,
                              steady_time aNow) const
{
  if (!Covers(aSpan, aNow)) {
    return std::nullopt;
  }
  auto seen = SeenWithin(aSpan, aNow);
  std::erase_if(
    seen, [aPool](const auto& aVersion) { return aVersion.mPool != aPool; });
  return seen.size() == 1 ? std::optional(seen.front().mSoftware)
                          : std::nullopt;
}

} // namespace sapphirespar::policy
