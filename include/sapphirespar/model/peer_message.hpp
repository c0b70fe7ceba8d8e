// Messages between routers. The wire format is Thrift; all other code uses
// these types.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/model/outcome.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace sapphirespar {

// Requests per second that one account sends to one router.
struct account_demand
{
  account_id mAccount;
  double mRequestsPerSecond = 0;
};

// Capacity and load for one model or service at one owner.
struct pool_load
{
  // A model's name, or a service's name with a leading '/'.
  std::string mPool;
  std::uint32_t mSlots = 0;
  std::uint32_t mOutstanding = 0;
  std::uint32_t mQueued = 0;
};

// Location and addresses of a router.
struct router_contact
{
  data_centre_id mDataCentre;
  std::string mAddress;
  // Port for callers and port for peers.
  std::uint16_t mPort = 0;
  std::uint16_t mPeerPort = 0;
};

struct heartbeat
{
  process_id mSender;
  std::uint64_t mSequence = 0;
  bool mLeaving = false;
  bundle_version mBundle;
  std::vector<pool_load> mPools;
  std::vector<account_demand> mDemands;
  // Members that are alive, by their own messages or by reports of others.
  // Usually only changes; between the relays of two data centres, from time to
  // time, all live members of the sender's data centre.
  std::vector<process_id> mHeard;
  // mHeard is complete for the sender's data centre: any member there that is
  // not in mHeard is lost.
  bool mHeardIsComplete = false;
  // Members that have been lost; reported in the same way as mHeard.
  std::vector<process_id> mLost;
  // The address is empty if the contact is left out to save bytes.
  router_contact mContact;
  // The latest era of the platform's store that the sender knows; zero if none.
  std::uint64_t mStoreEra = 0;
};

// Requests the newest bundle if the receiver has a newer one than mHave.
struct bundle_request
{
  bundle_version mHave;
};

// A complete signed bundle in the form stored at the platform.
struct bundle_push
{
  bundle_version mVersion;
  std::string mSignedBundle;
};

// Requests a slot from the owner of some upstreams.
struct slot_request
{
  request_id mRequest;
  class_id mClass;
  account_id mAccount;
  std::string mPool;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mMaximumTokens = 0;
  std::uint64_t mPrefixHash = 0;
  // Remaining milliseconds until the deadlines of the first token and of the
  // whole answer.
  std::int64_t mFirstTokenDueMs = 0;
  std::int64_t mAnswerDueMs = 0;
  std::vector<upstream_id> mExcluded;
};

struct slot_grant
{
  request_id mRequest;
  upstream_id mUpstream;
};

// Reports that the request waits in the owner's queue.
struct slot_waiting
{
  request_id mRequest;
};

struct slot_refusal
{
  request_id mRequest;
  refusal_reason mReason = refusal_reason::NoUpstream;
  std::int64_t mRetryAfterMs = 0;
};

// Releases a slot, or withdraws a request that still waits.
struct slot_release
{
  request_id mRequest;
  upstream_id mUpstream;
  bool mSucceeded = false;
  std::uint32_t mTokens = 0;
  std::int64_t mFirstTokenMs = 0;
  std::int64_t mTotalMs = 0;
};

// Notifies a new owner of a slot that an earlier owner granted.
struct slot_holding
{
  slot_request mRequest;
  upstream_id mUpstream;
};

// Instructs the holder of a slot to pause or resume its request at the engine.
struct slot_pause
{
  request_id mRequest;
  bool mResume = false;
};

// Asks the owner of a key's shard to claim the key for mClaimant. Idempotent.
struct claim_request
{
  std::string mKey;
  process_id mClaimant;
  // Identifies this attempt uniquely at the claimant.
  request_id mRequest;
  // An earlier attempt that its holder has promised never to run; empty if
  // there is none.
  request_id mReleased;
  // The caller states that it has not sent the key before.
  bool mFirstAttempt = false;
};

enum class claim_verdict
{
  // Only the claimant may run the request, and only once.
  Granted,
  // Another attempt has claimed the key before.
  Taken,
  // The key could not be claimed now.
  Refused,
};

struct claim_answer
{
  std::string mKey;
  request_id mRequest;
  claim_verdict mVerdict = claim_verdict::Refused;
  // After Taken: the process that holds the claim, its attempt, and the outcome
  // of that attempt as far as known.
  process_id mHolder;
  request_id mHeldRequest;
  outcome mOutcome = outcome::Unknown;
};

// Reports the outcome of a claimed request to the owner of the key's shard.
// After a restore of the store also reports a claim whose request is running;
// an empty key then says that all claims of the sender have been reported.
struct claim_finished
{
  std::string mKey;
  request_id mRequest;
  outcome mOutcome = outcome::Unknown;
};

// Asks the process that issued a token or holds a claim for the outcome of a
// request.
struct outcome_query
{
  std::string mKey;
  request_id mRequest;
};

struct outcome_answer
{
  std::string mKey;
  request_id mRequest;
  outcome mOutcome = outcome::Unknown;
};

using peer_message = std::variant<heartbeat,
                                  bundle_request,
                                  bundle_push,
                                  slot_request,
                                  slot_grant,
                                  slot_waiting,
                                  slot_refusal,
                                  slot_release,
                                  slot_holding,
                                  slot_pause,
                                  claim_request,
                                  claim_answer,
                                  claim_finished,
                                  outcome_query,
                                  outcome_answer>;

using peer_receiver =
  std::function<void(const process_id& aFrom, peer_message aMessage)>;

// Sends messages to other routers. A message may be lost, but is never altered
// or duplicated. Messages from one process arrive in order.
class peer_network
{
public:
  virtual ~peer_network() = default;
  virtual void Send(const vm_id& aTo, peer_message aMessage) = 0;
};

} // namespace sapphirespar
