// Messages between routers. They travel as Thrift structs; these are the
// values that the rest of the system sees.
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

// What one home can take for one model or service.
struct pool_load
{
  // A model's name, or a service's with a leading '/'.
  std::string mPool;
  std::uint32_t mSlots = 0;
  std::uint32_t mOutstanding = 0;
  std::uint32_t mQueued = 0;
};

// Where a router is and how it is reached.
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
  // Members that the sender hears from, or hears of: news, or from time to time
  // all of its data centre's, which the relay of each tells the others.
  std::vector<process_id> mHeard;
  // Whoever of the sender's data centre is not in mHeard is lost.
  bool mHeardIsComplete = false;
  // Members that were heard but no longer are, told in the same way.
  std::vector<process_id> mLost;
  // Empty address when left out to save bytes.
  router_contact mContact;
};

// Asks for the newest bundle if the receiver has one after mHave.
struct bundle_request
{
  bundle_version mHave;
};

// A signed bundle, whole, as it stands at the platform.
struct bundle_push
{
  bundle_version mVersion;
  std::string mSignedBundle;
};

// Asks the home of some upstreams for a slot.
struct slot_request
{
  request_id mRequest;
  class_id mClass;
  account_id mAccount;
  std::string mPool;
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mMaximumTokens = 0;
  std::uint64_t mPrefixHash = 0;
  // Left until the first token and until the whole answer are due.
  std::int64_t mFirstTokenDueMs = 0;
  std::int64_t mAnswerDueMs = 0;
  std::vector<upstream_id> mExcluded;
};

struct slot_grant
{
  request_id mRequest;
  upstream_id mUpstream;
};

// The request waits in the home's queue.
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

// Gives a slot back, or withdraws a request that still waits.
struct slot_release
{
  request_id mRequest;
  upstream_id mUpstream;
  bool mSucceeded = false;
  std::uint32_t mTokens = 0;
  std::int64_t mFirstTokenMs = 0;
  std::int64_t mTotalMs = 0;
};

// Tells a new home of a slot that an earlier one granted.
struct slot_holding
{
  slot_request mRequest;
  upstream_id mUpstream;
};

// Tells the holder of a slot to pause or resume its request at the engine.
struct slot_pause
{
  request_id mRequest;
  bool mResume = false;
};

// Asks the owner of a key's shard to claim the key for mClaimant. Sending the
// same request again is harmless.
struct claim_request
{
  std::string mKey;
  process_id mClaimant;
  // Names this attempt, and no other, at the claimant.
  request_id mRequest;
  // An earlier attempt whose holder has promised never to run it; empty if
  // there is none.
  request_id mReleased;
};

enum class claim_verdict
{
  // The claimant, and nobody else ever, may run the request once.
  Granted,
  // Somebody claimed the key before.
  Taken,
  // Could not be claimed now.
  Refused,
};

struct claim_answer
{
  std::string mKey;
  request_id mRequest;
  claim_verdict mVerdict = claim_verdict::Refused;
  // After Taken: who holds it, for which attempt, and how that ended, as far
  // as is known.
  process_id mHolder;
  request_id mHeldRequest;
  outcome mOutcome = outcome::Unknown;
};

// Tells the owner of a key's shard how a claimed request ended.
struct claim_finished
{
  std::string mKey;
  request_id mRequest;
  outcome mOutcome = outcome::Unknown;
};

// Asks the process that issued a token or holds a claim how a request ended.
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

// Sends messages to other routers. A message may be lost but is never changed
// and never arrives twice; messages of one process arrive in order.
class peer_network
{
public:
  virtual ~peer_network() = default;
  virtual void Send(const vm_id& aTo, peer_message aMessage) = 0;
};

} // namespace sapphirespar
