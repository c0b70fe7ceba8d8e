// What gateways tell each other about prompt parts that may crash upstreams.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespar {

// A part of prompts, as the upstreams of one pool read it.
struct prompt_part
{
  std::string mPool;
  std::uint64_t mId = 0;

  auto operator<=>(const prompt_part&) const = default;
};

// An upstream broke the connection after the head and before any event of the
// answer to a request with the part. Ages count from the sending of the report.
struct part_crash
{
  prompt_part mPart;
  // The incarnation of the upstream, as in gossip_load.
  std::uint64_t mUpstream = 0;
  std::chrono::milliseconds mAge{ 0 };
  // Since the request was sent; unset if not known.
  std::optional<std::chrono::milliseconds> mSentAge = std::nullopt;
  // The same for requests that ask for the same; zero if not known.
  std::uint64_t mFingerprint = 0;

  bool operator==(const part_crash&) const = default;
};

// An upstream broke a connection in use.
struct upstream_loss
{
  std::string mPool;
  std::uint64_t mUpstream = 0;
  std::chrono::milliseconds mAge{ 0 };

  bool operator==(const upstream_loss&) const = default;
};

// An upstream survived the begin of an answer to a request with the part.
struct part_survival
{
  prompt_part mPart;
  std::chrono::milliseconds mAge{ 0 };

  bool operator==(const part_survival&) const = default;
};

// An upstream of the pool survived the begin of an answer.
struct pool_survival
{
  std::string mPool;
  std::chrono::milliseconds mAge{ 0 };

  bool operator==(const pool_survival&) const = default;
};

// An upstream that broke a connection sent bytes on another one.
struct upstream_sign
{
  std::uint64_t mUpstream = 0;
  std::chrono::milliseconds mAge{ 0 };

  bool operator==(const upstream_sign&) const = default;
};

// Requests with the part are refused, except for trials.
struct part_quarantine
{
  prompt_part mPart;
  std::chrono::milliseconds mAge{ 0 };
  // Since a request with the part came to any gateway.
  std::chrono::milliseconds mSeenAge{ 0 };
  // Trials so far, and the time since the last one; zero without any.
  std::uint32_t mTrials = 0;
  std::chrono::milliseconds mTrialAge{ 0 };

  bool operator==(const part_quarantine&) const = default;
};

// What one gateway has seen itself, and the quarantines it knows of.
struct crash_report
{
  std::vector<part_crash> mCrashes;
  std::vector<upstream_loss> mLosses;
  std::vector<part_survival> mSurvivals;
  // One for each pool at most.
  std::vector<pool_survival> mPoolSurvivals;
  std::vector<upstream_sign> mSigns;
  std::vector<part_quarantine> mQuarantines;

  bool operator==(const crash_report&) const = default;
};

} // namespace sapphirespar
