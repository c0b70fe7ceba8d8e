// Merges usage counts and adds them up.
#include "sapphirespar/duties/usage_book.hpp"

#include <algorithm>

namespace sapphirespar::duties {
namespace {

// Bounds what messages with a wrong window can take.
constexpr std::size_t kMaximumWindows = 32;

} // namespace

void
usage_book::Merge(const usage_message& aMessage)
{
  if (aMessage.mWindow < mFirst) {
    return;
  }
  auto& counts = mWindows[aMessage.mWindow][aMessage.mSender];
  counts.mComplete = counts.mComplete || aMessage.mComplete;
  for (const auto& count : aMessage.mCounts) {
    auto& requests = counts.mRequests[count.mAccount];
    requests = std::max(requests, count.mRequests);
  }
  if (mWindows.size() > kMaximumWindows) {
    mWindows.erase(mWindows.begin());
  }
}

void
usage_book::DropBefore(usage_window aWindow)
{
  mFirst = std::max(mFirst, aWindow);
  mWindows.erase(mWindows.begin(), mWindows.lower_bound(mFirst));
}

std::vector<usage_count>
usage_book::Sum(usage_window aWindow) const
{
  std::map<account_id, std::uint64_t> sums;
  const auto window = mWindows.find(aWindow);
  if (window != mWindows.end()) {
    for (const auto& [process, counts] : window->second) {
      for (const auto& [account, requests] : counts.mRequests) {
        sums[account] += requests;
      }
    }
  }
  std::vector<usage_count> result;
  for (const auto& [account, requests] : sums) {
    if (requests > 0) {
      result.push_back({ account, requests });
    }
  }
  return result;
}

bool
usage_book::IsComplete(usage_window aWindow, std::span<const vm_id> aVms) const
{
  const auto window = mWindows.find(aWindow);
  if (window == mWindows.end()) {
    return aVms.empty();
  }
  return std::ranges::all_of(aVms, [&](const vm_id& aVm) {
    return std::ranges::any_of(window->second, [&](const auto& aItem) {
      return aItem.first.mVm == aVm && aItem.second.mComplete;
    });
  });
}

} // namespace sapphirespar::duties
