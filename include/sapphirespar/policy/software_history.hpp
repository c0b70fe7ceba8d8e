// The software versions that the upstreams of each pool have had lately.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/stream_message.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace sapphirespar::policy {

class software_history
{
public:
  // Records what is listed now; nothing if that is not known. To be called
  // several times a second.
  void Watch(std::span<const pool_software> aListed, steady_time aNow);

  // Adds what another gateway has seen within aSpan. aSeenAll tells whether it
  // has watched for all of that time.
  void Merge(std::span<const pool_software> aSeen,
             bool aSeenAll,
             steady_duration aSpan,
             steady_time aNow);

  // Whether this history covers the last aSpan.
  bool Covers(steady_duration aSpan, steady_time aNow) const;

  // The versions seen within aSpan.
  std::vector<pool_software> SeenWithin(steady_duration aSpan,
                                        steady_time aNow) const;

  // The only version that a pool has had within aSpan; nothing if there were
  // several, none, or the history does not cover that time.
  std::optional<std::uint64_t> OnlyVersion(std::uint64_t aPool,
                                           steady_duration aSpan,
                                           steady_time aNow) const;

private:
  // When each version was last listed.
  std::map<pool_software, steady_time> mLastSeen;
  // Since when the history has no gap; unset before the first list.
  std::optional<steady_time> mSince;
  steady_time mLastWatch{};
};

} // namespace sapphirespar::policy
