// What a gateway must know of the protocol that callers, upstreams and the
// platform speak. Names of headers and the shape of messages stay behind these
// hooks; the gateway works with the values.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/model/routing.hpp"
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

// One of the pieces that a prompt is made of, in order. Requests share pieces.
struct prompt_part
{
  std::uint64_t mId = 0;
  unsigned mTokens = 0;
};

// What a request's headers say.
struct request_facts
{
  // Empty if the caller gave none.
  std::string mId;
  // How long the caller will wait.
  std::optional<std::chrono::milliseconds> mDeadline;
  // Empty if there is none.
  std::string mKey;
  unsigned mPromptTokens = 0;
  unsigned mMaximumOutputTokens = 0;
  // The last one belongs to the request, or to its session, alone.
  std::vector<prompt_part> mPrompt;
  // Last event of a stream that the caller has; empty for a new stream.
  std::string mLastEventId;
};

// What an upstream is told beside what the caller sent.
struct forward_facts
{
  // How long the upstream may take.
  std::chrono::milliseconds mDeadline{ 0 };
  // Any other upstream refuses the request.
  upstream_id mExpected;
  // Unset on routes that need no key.
  std::optional<account_id> mAccount;
  // Zero is the most urgent.
  unsigned mPriority = 0;
  // Where a broken stream goes on; empty to leave it as the caller sent it.
  std::string mLastEventId;
};

// What the head of an upstream's answer says.
struct answer_facts
{
  // Whose answer it is; empty if it does not say.
  std::string mRequestId;
  // Proves that the upstream made the answer.
  bool mSigned = false;
  // The upstream states that it has not run the request and will not.
  bool mNotRun = false;
};

struct entry_point
{
  std::string mAddress;
  std::uint16_t mPort = 0;
};

struct protocol
{
  std::function<request_facts(const wire::http_headers&)> mReadRequest;
  // Headers for the upstream, made from the caller's.
  std::function<wire::http_headers(const wire::http_headers&,
                                   const forward_facts&)>
    mForwardHeaders;
  std::function<answer_facts(unsigned aStatus, const wire::http_headers&)>
    mReadAnswer;
  // Headers for the caller, made from the upstream's.
  std::function<wire::http_headers(const wire::http_headers&)> mAnswerHeaders;

  // Reads the routing as it lies in the platform's store; nothing if it can't
  // be read.
  std::function<std::optional<routing_config>(std::string_view aValue)>
    mReadRouting;
  // Reads an upstream's own entry; nothing for one that names no upstream to
  // use.
  std::function<std::optional<upstream_entry>(std::string_view aName,
                                              std::string_view aValue)>
    mReadUpstream;

  // Body of the answer that tells callers where to connect.
  std::function<std::string(std::span<const entry_point>,
                            std::chrono::milliseconds aTimeToLive)>
    mEntryBody;
  // Paths of the pages of a gateway.
  std::string mEntryPath;
  std::string mReadinessPath;

  // Objects in the platform's store.
  std::string mRoutingKind;
  std::string mRoutingName;
  std::string mUpstreamKind;
};

} // namespace sapphirespar::gateway
