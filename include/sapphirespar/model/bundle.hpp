// The bundle: the complete signed configuration that operators declare, as one
// versioned value.
#pragma once

#include "sapphirespar/base/ids.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sapphirespar {

// How requests of a class are prevented from running twice.
enum class at_most_once_mode
{
  // The class is idempotent and needs no protection.
  None,
  // Only the process named in the request's token may dispatch it.
  Token,
  // The idempotency key is claimed at the platform before dispatch.
  Claim,
};

// Kind of upstream: a model engine or a plain service.
enum class upstream_kind
{
  Engine,
  Service,
};

struct request_class
{
  class_id mId;
  // 1 is served first.
  unsigned mTier = 3;
  upstream_kind mKind = upstream_kind::Engine;
  bool mIdempotent = true;
  at_most_once_mode mOnce = at_most_once_mode::None;
  // From arrival to the first byte of the answer.
  std::chrono::milliseconds mFirstTokenTarget{ 1000 };
  // From arrival to the last byte of the answer.
  std::chrono::milliseconds mAnswerTarget{ 30000 };
  // Share of capacity guaranteed to the class against higher tiers, in percent.
  unsigned mMinimumSharePercent = 0;
  // Maximum number of requests that wait at one router at a time.
  unsigned mQueueLimit = 1000;
  // Value of an answer in time, relative to other classes.
  double mWeight = 1.0;
};

struct client_account
{
  account_id mId;
  // Hexadecimal SHA-256 of the bearer key.
  std::string mKeyHash;
  // Classes that this account may send; if empty, all classes.
  std::vector<class_id> mClasses;
  // Rate limit across all routers.
  double mRequestsPerSecond = 100;
  // Maximum number of requests in progress at one router at a time.
  unsigned mConcurrency = 1000;
};

// A replica on every engine that may load the model.
inline constexpr unsigned kEveryEngine = 100000;

// Bounds on the number of engines that load a model; demand decides between
// them.
struct model_spec
{
  model_id mId;
  unsigned mMinimumReplicas = kEveryEngine;
  unsigned mMaximumReplicas = kEveryEngine;
};

struct upstream_spec
{
  upstream_id mId;
  upstream_kind mKind = upstream_kind::Engine;
  data_centre_id mDataCentre;
  std::string mAddress;
  std::uint16_t mPort = 0;
  // Requests that the upstream runs concurrently.
  unsigned mSlots = 8;
  // Models that the upstream may serve; empty for a plain service.
  std::vector<model_id> mModels;
  // Name in /v1/services/{service}; empty for an engine.
  std::string mService;
  // Whether the upstream rejects orders with a stale fencing number.
  bool mChecksFencing = false;
  // A leaving upstream gets no new requests.
  bool mLeaving = false;
};

// A person who may sign bundles.
struct signer
{
  std::string mName;
  // Ed25519 public key, hexadecimal.
  std::string mPublicKey;
};

// Version of a bundle, compared by epoch first and then by number.
struct bundle_version
{
  std::uint64_t mEpoch = 0;
  std::uint64_t mNumber = 0;

  auto operator<=>(const bundle_version&) const = default;
};

struct bundle
{
  bundle_version mVersion;
  std::vector<request_class> mClasses;
  std::vector<client_account> mAccounts;
  std::vector<model_spec> mModels;
  std::vector<upstream_spec> mUpstreams;
  std::vector<signer> mSigners;
};

using bundle_ptr = std::shared_ptr<const bundle>;

// The Find functions return null if there is no such item.
const request_class* FindClass(const bundle& aBundle, const class_id& aId);
const client_account* FindAccount(const bundle& aBundle, const account_id& aId);
const client_account* FindAccountByKeyHash(const bundle& aBundle,
                                           std::string_view aKeyHash);
const upstream_spec* FindUpstream(const bundle& aBundle,
                                  const upstream_id& aId);

// Returns whether aAccount may send requests of aClass.
bool MaySend(const client_account& aAccount, const class_id& aClass);

} // namespace sapphirespar
