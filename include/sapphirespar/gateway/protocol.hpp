// Hooks that decode and encode the protocol of callers, upstreams and the
// platform. Header names and message formats stay behind these hooks; the
// gateway works with the decoded values.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/duties/duty_calls.hpp"
#include "sapphirespar/model/routing.hpp"
#include "sapphirespar/model/upstream_rate.hpp"
#include "sapphirespar/wire/http_message.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar::gateway {

// One segment of a prompt. Requests whose prompts begin alike share segments.
struct prompt_segment
{
  // The same for equal segments of different requests.
  std::uint64_t mId = 0;
  unsigned mTokens = 0;
};

// Values decoded from a request's headers.
struct request_info
{
  // Request id; empty if the caller sent none.
  std::string mId;
  // How long the caller will wait.
  std::optional<std::chrono::milliseconds> mDeadline;
  // API key; empty if the caller sent none.
  std::string mKey;
  unsigned mPromptTokens = 0;
  unsigned mMaximumOutputTokens = 0;
  // In prompt order. The last segment is not shared with requests outside the
  // session.
  std::vector<prompt_segment> mPrompt;
  // Last event that the caller received of a stream that it resumes; empty for
  // a new stream.
  std::string mLastEventId;
  // Id of the request by which the caller got the first event of the stream
  // that it resumes; empty for a new stream.
  std::string mResumedId;
  // Another gateway has passed the request on.
  bool mFromGateway = false;
};

// An address where a gateway or an engine accepts connections.
struct entry_point
{
  std::string mAddress;
  std::uint16_t mPort = 0;
};

// The memory of a run that has stopped, from which the request can go on at
// another engine.
struct run_copy
{
  // The engine at which the run was.
  entry_point mSource;
  std::string mHandle;
};

// Values that the gateway adds to a forwarded request.
struct forward_info
{
  // How long the upstream may take.
  std::chrono::milliseconds mDeadline{ 0 };
  // The intended upstream; any other one refuses the request.
  upstream_id mExpected;
  // Unset on routes that need no key.
  std::optional<account_id> mAccount;
  // Zero is the most urgent.
  unsigned mPriority = 0;
  // Event after which to resume a broken stream; empty to keep the caller's
  // header.
  std::string mLastEventId;
  // The request goes on from this copy.
  std::optional<run_copy> mCopy;
};

// A call that copies the memory of a run to another engine.
struct run_move_call
{
  std::string mRequestId;
  entry_point mTo;
  // Stops the run, so that it can go on from the copy.
  bool mStops = false;
};

enum class run_move_end
{
  // No byte of the call was sent.
  NotSent,
  Copied,
  // The run has ended, or is not known.
  NoSuchRun,
  // Another call for the run is in progress.
  Busy,
  // The other engine has no room or can't be reached. The run has stopped
  // nevertheless if the call asked for that.
  NoRoom,
  Unknown,
};

// Returns the name used in logs, such as "no_such_run".
std::string_view ToText(run_move_end aEnd);

struct run_move_reply
{
  run_move_end mEnd = run_move_end::Unknown;
  // Names the copy; empty if there is none.
  std::string mHandle;
};

// Values decoded from the head of an upstream's answer.
struct answer_info
{
  // Id of the request that is answered; empty if the answer names none.
  std::string mRequestId;
  // Carries the signature that shows that the upstream produced the answer.
  bool mSigned = false;
  // The upstream states that it has not run the request and never will.
  bool mNotRun = false;
  // The upstream states that it is shutting down.
  bool mLeaving = false;
  // How long the upstream, which is overloaded, wants no request from this
  // gateway; at most an hour.
  std::optional<std::chrono::milliseconds> mRetryAfter = std::nullopt;
  // The request rate that the upstream accepts; unset if the answer does not
  // tell it. See upstream_rate.
  std::optional<double> mAcceptedRate = std::nullopt;
  // The requests a second that the upstream can turn away for want of room
  // without falling over; unset unless it says that it is brittle.
  std::optional<double> mToleratedRejections = std::nullopt;
  // The answer names more than one request.
  bool mHasSeveralIds = false;
};

// Who makes a call for the whole fleet, and its permission to do so.
struct duty_caller
{
  vm_id mVm;
  duties::fencing_token mToken = 0;
};

struct protocol
{
  std::function<request_info(const wire::http_headers&)> mReadRequest;
  // Makes the headers for the upstream from the caller's.
  std::function<wire::http_headers(const wire::http_headers&,
                                   const forward_info&)>
    mForwardHeaders;
  // Makes the headers for another gateway from the caller's; aDeadline is how
  // long that gateway may take.
  std::function<wire::http_headers(const wire::http_headers&,
                                   std::chrono::milliseconds aDeadline)>
    mRelayHeaders;
  std::function<answer_info(unsigned aStatus, const wire::http_headers&)>
    mReadAnswer;
  // Makes the headers for the caller from the upstream's.
  std::function<wire::http_headers(const wire::http_headers&)> mAnswerHeaders;

  // Decodes the routing stored in the platform's store. Returns nothing if it
  // can't be decoded.
  std::function<std::optional<routing_config>(std::string_view aValue)>
    mReadRouting;
  // Decodes an upstream's entry in the store. Returns nothing for an entry that
  // does not describe a usable upstream.
  std::function<std::optional<upstream_entry>(std::string_view aName,
                                              std::string_view aValue)>
    mReadUpstream;

  // Makes the body of the answer that lists the gateways a caller may use.
  // aTimeToLive is how long the caller may cache it.
  std::function<std::string(std::span<const entry_point>,
                            std::chrono::milliseconds aTimeToLive)>
    mEntryBody;
  // Make the calls of the duties. The answer is read by its status alone.
  std::function<wire::http_request(const duties::usage_report&,
                                   const duty_caller&)>
    mUsageRequest;
  std::function<wire::http_request(const duties::capacity_order&,
                                   const duty_caller&)>
    mCapacityRequest;
  std::function<duties::duty_reply(unsigned aStatus)> mReadDutyReply;

  // Asks an engine for its state, and reads the time until it is taken away;
  // nothing if it names none, or is another than that of the entry.
  std::function<wire::http_request()> mStateRequest;
  std::function<std::optional<std::chrono::milliseconds>(
    const upstream_entry&,
    std::string_view aBody)>
    mReadLeavesIn;
  // Make the calls that move runs between engines, and read their replies.
  std::function<wire::http_request(const run_move_call&)> mMoveRequest;
  std::function<wire::http_request(std::string_view aHandle)> mFreeCopyRequest;
  std::function<run_move_reply(unsigned aStatus, std::string_view aBody)>
    mReadMoveReply;

  // Paths of the gateway's entry and readiness pages.
  std::string mEntryPath;
  std::string mReadinessPath;

  // Kinds and name of the objects in the platform's store.
  std::string mRoutingKind;
  std::string mRoutingName;
  std::string mUpstreamKind;
};

} // namespace sapphirespar::gateway
