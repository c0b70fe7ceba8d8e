// Encodes and decodes usage counts.
#include "sapphirespar/wire/usage_codec.hpp"

#include "compact_message.hpp"
#include "gen/gossip_types.h"

#include <algorithm>
#include <iterator>

namespace sapphirespar::wire {
namespace {

// Neither gossip nor a message about streams begins with this byte.
constexpr char kTag = 'U';

} // namespace

bool
IsUsageMessage(std::string_view aBytes)
{
  return aBytes.starts_with(kTag);
}

std::string
EncodeUsageMessage(const usage_message& aMessage)
{
  gen::gossip_usage wire;
  wire.vm = aMessage.mSender.mVm.mText;
  wire.incarnation = static_cast<std::int64_t>(aMessage.mSender.mIncarnation);
  wire.window = aMessage.mWindow;
  wire.complete = aMessage.mComplete;
  std::ranges::transform(
    aMessage.mCounts, std::back_inserter(wire.counts), [](const auto& aCount) {
      gen::gossip_usage_count count;
      count.account = aCount.mAccount.mText;
      count.requests = static_cast<std::int64_t>(aCount.mRequests);
      return count;
    });
  return kTag + EncodeCompact(wire);
}

std::optional<usage_message>
DecodeUsageMessage(std::string_view aBytes)
{
  if (!IsUsageMessage(aBytes)) {
    return std::nullopt;
  }
  const auto wire = DecodeCompact<gen::gossip_usage>(aBytes.substr(1));
  if (!wire || wire->vm.empty()) {
    return std::nullopt;
  }
  usage_message message;
  message.mSender = { { wire->vm },
                      static_cast<incarnation_number>(wire->incarnation) };
  message.mWindow = wire->window;
  message.mComplete = wire->complete;
  std::ranges::transform(
    wire->counts, std::back_inserter(message.mCounts), [](const auto& aCount) {
      const auto requests = std::max<std::int64_t>(aCount.requests, 0);
      return usage_count{ { aCount.account },
                          static_cast<std::uint64_t>(requests) };
    });
  return message;
}

} // namespace sapphirespar::wire
