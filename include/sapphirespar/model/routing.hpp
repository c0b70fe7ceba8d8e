// The routing configuration of requests that are forwarded unchanged: routes
// from host and path to pools of upstreams, with their accounts and latency
// targets.
#pragma once

#include "sapphirespar/base/ids.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespar {

// Versions increase, with gaps.
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
  // Running a request twice does no harm; also set for streams that may be
  // resumed.
  bool mIdempotent = false;
  // The answer is a stream of events.
  bool mStreams = false;
  // An interrupted stream may be resumed at another upstream.
  bool mResumable = false;
  // Callers need no key.
  bool mPublic = false;
  // Zero is the most urgent.
  unsigned mPriority = 0;
  // Maximum number of upstreams to which one request is sent.
  unsigned mMaximumAttempts = 1;
  // Timeout of the complete answer.
  std::chrono::milliseconds mTimeout{ 0 };
  // Target time until the answer, or until the first event of a stream.
  std::chrono::milliseconds mTargetLatency{ 0 };
  // Target for the longest gap between events; zero if not a stream.
  std::chrono::milliseconds mTargetGap{ 0 };
};

// Capacity of each engine in a pool of engines.
struct engine_traits
{
  unsigned mSlots = 0;
  // Memory for running requests and cached prompts, in tokens.
  std::uint64_t mMemoryTokens = 0;
  // Tokens that one event of a stream holds.
  unsigned mTokensPerEvent = 1;
  // Running requests can be moved between the engines of the pool.
  bool mMovesRuns = false;
};

// Within which bounds, and at which prices, the platform provides upstreams of
// a pool when they are ordered.
struct capacity_bounds
{
  // For each data centre, both kinds of upstreams together.
  unsigned mMinimum = 0;
  unsigned mMaximum = 0;
  // Time from an order until the upstream accepts requests.
  std::chrono::milliseconds mStartTime{ 0 };
  // Price of a preemptible upstream as a part of that of a regular one; unset
  // if the platform has none. All such upstreams of a data centre may be taken
  // away at once.
  std::optional<double> mPreemptiblePrice;
  // Price of a regular upstream by data centre; all positive.
  std::map<data_centre_id, double> mPrices;

  bool operator==(const capacity_bounds&) const = default;
};

struct upstream_pool
{
  std::string mName;
  unsigned mMaximumConnections = 0;
  // Unset for a plain service.
  std::optional<engine_traits> mEngine;
  // Unset if the pool's upstreams can't be ordered.
  std::optional<capacity_bounds> mCapacity;
};

struct routing_account
{
  account_id mId;
  std::vector<std::string> mKeys;
  // Takes precedence over the route's priority; zero is the most urgent.
  std::optional<unsigned> mPriority;
};

// Size limits and timeouts for callers.
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
  // Whether requests need a key of one of mAccounts, which may be empty.
  // Without, they have no account.
  bool mUsesKeys = true;
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
  // Accepts no new requests.
  bool mDraining = false;
  // Remaining warm-up time during which the upstream is slow after its start.
  std::chrono::milliseconds mColdRemaining{ 0 };
  // Start time in Unix milliseconds; differs between two incarnations of the
  // same id.
  std::int64_t mStartedAtMs = 0;
  // Version of the upstream's software, which may differ within a pool; empty
  // if it names none.
  std::string mSoftware;
  // The platform may take the upstream away with all others of its data centre
  // that are preemptible.
  bool mPreemptible = false;
  // The last list of the store lacked the upstream. It is kept for a while, as
  // its entry may have expired in an outage and be written again.
  bool mMissing = false;

  bool operator==(const upstream_entry&) const = default;
};

} // namespace sapphirespar
