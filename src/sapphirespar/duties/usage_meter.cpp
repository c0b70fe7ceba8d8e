// Counts by window, and their messages.
#include "sapphirespar/duties/usage_meter.hpp"

#include <algorithm>
#include <iterator>

namespace sapphirespar::duties {
namespace {

using std::chrono::milliseconds;

// A window's counts are final this long after its end: what began in it is
// known by then.
constexpr milliseconds kSettleTime{ 300 };

// Windows that nobody has reported are forgotten after so many more.
constexpr usage_window kKeptWindows = 12;

// Accounts in one datagram.
constexpr std::size_t kMaximumAccounts = 400;

} // namespace

usage_window
WindowAt(policy::wall_time aTime, milliseconds aLength)
{
  return aTime / aLength;
}

policy::wall_time
WindowEnd(usage_window aWindow, milliseconds aLength)
{
  return (aWindow + 1) * aLength;
}

usage_meter::usage_meter(process_id aSelf, milliseconds aWindowLength)
  : mSelf(std::move(aSelf))
  , mWindowLength(aWindowLength)
{
}

void
usage_meter::Count(const account_id& aAccount, policy::wall_time aTime)
{
  ++mWindows[WindowAt(aTime, mWindowLength)][aAccount];
}

std::vector<usage_message>
usage_meter::Messages(policy::wall_time aNow, usage_window aFixed)
{
  const auto current = WindowAt(aNow, mWindowLength);
  mWindows.try_emplace(current);
  const auto first = std::max(aFixed + 1, current - kKeptWindows);
  mWindows.erase(mWindows.begin(), mWindows.lower_bound(first));
  std::vector<usage_message> messages;
  for (const auto& [window, counts] : mWindows) {
    usage_message message{
      mSelf, window, aNow >= WindowEnd(window, mWindowLength) + kSettleTime, {}
    };
    for (const auto& [account, requests] : counts) {
      message.mCounts.push_back({ account, requests });
      if (message.mCounts.size() == kMaximumAccounts) {
        // The last part alone says that the counts are complete.
        messages.push_back(message);
        messages.back().mComplete = false;
        message.mCounts.clear();
      }
    }
    messages.push_back(std::move(message));
  }
  return messages;
}

} // namespace sapphirespar::duties
