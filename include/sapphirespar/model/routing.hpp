// The routing table of requests that are forwarded unchanged: which host and
// path leads to which pool of upstreams, who may use it, and what callers of
// it were promised.
#pragma once

#include "sapphirespar/base/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespar {

// Versions rise, in uneven steps.
using routing_version = std::uint64_t;

struct weighted_pool
{
  std::string mPool;
  double mWeight = 1;
};

struct route
{
  std::string mName;
  std::string mHost;
  // Begins and ends with a slash.
  std::string mPathPrefix;
  // Never empty.
  std::vector<weighted_pool> mPools;
  // A second run does no harm; also set for streams that may be resumed.
  bool mIdempotent = false;
  // The answer is a series of events.
  bool mStreams = false;
  // A stream that broke off may go on at another upstream.
  bool mResumable = false;
  // Needs no key.
  bool mPublic = false;
  // Zero is the most urgent.
  unsigned mPriority = 0;
  // Upstreams that one request may be sent to.
  unsigned mMaximumAttempts = 1;
  // Longest time until the final answer.
  std::chrono::milliseconds mTimeout{ 0 };
  // Time until the answer, or the first event of a stream, that callers expect.
  std::chrono::milliseconds mTargetLatency{ 0 };
  // Longest pause between events that callers expect; zero for no stream.
  std::chrono::milliseconds mTargetGap{ 0 };
};

// What an engine can hold; only pools of engines have it.
struct engine_traits
{
  unsigned mSlots = 0;
  // Tokens of running requests and cached prompts.
  std::uint64_t mMemoryTokens = 0;
};

struct upstream_pool
{
  std::string mName;
  unsigned mMaximumConnections = 0;
  // Unset for a plain service.
  std::optional<engine_traits> mEngine;
};

struct routing_account
{
  account_id mId;
  std::vector<std::string> mKeys;
  // Goes before the route's priority: zero is the most urgent.
  std::optional<unsigned> mPriority;
};

// What a caller may send and how long it may take.
struct caller_limits
{
  std::uint64_t mHeaderBytes = 16 * 1024;
  std::uint64_t mBodyBytes = 4 * 1024 * 1024;
  std::chrono::milliseconds mHeaderTimeout{ 3000 };
  std::chrono::milliseconds mIdleTimeout{ 15000 };

  bool operator==(const caller_limits&) const = default;
};

struct routing_config
{
  routing_version mVersion = 0;
  std::vector<route> mRoutes;
  std::vector<upstream_pool> mPools;
  std::vector<routing_account> mAccounts;
  caller_limits mLimits;
};

// One upstream as it describes itself in the platform's store.
struct upstream_entry
{
  upstream_id mId;
  std::string mPool;
  std::string mAddress;
  std::uint16_t mPort = 0;
  data_centre_id mDataCentre;
  unsigned mSlots = 0;
  // Takes no new work.
  bool mDraining = false;
  // Slow for this much longer after its start.
  std::chrono::milliseconds mColdRemaining{ 0 };
  // Unix milliseconds of its start; differs between two lives under one id.
  std::int64_t mStartedAtMs = 0;

  bool operator==(const upstream_entry&) const = default;
};

} // namespace sapphirespar
