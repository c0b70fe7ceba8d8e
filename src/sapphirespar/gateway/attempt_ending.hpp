// What an attempt knows of its upstream and how it ends: results, the health of
// the upstream, and evidence about parts that crash upstreams. Internal to
// gateway.
#pragma once

#include "forward_state.hpp"

#include "sapphirespar/wire/sse_splitter.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirespar::gateway {

bool IsEventStream(const wire::http_response& aHead);

// Whether an answer that was asked for after the event aLast may begin with
// aFirst. Only numbers can be compared; anything else is taken to follow.
bool FollowsEvent(std::string_view aLast, std::string_view aFirst);

// Marks the reply as in use for the lifetime of this object.
class reply_use
{
public:
  explicit reply_use(relay_progress& aProgress)
    : mProgress(aProgress)
  {
    ++mProgress.mReplyUses;
  }
  ~reply_use() { --mProgress.mReplyUses; }
  reply_use(const reply_use&) = delete;
  reply_use& operator=(const reply_use&) = delete;

private:
  relay_progress& mProgress;
};

class attempt_ending
{
protected:
  // The arguments outlive this object.
  attempt_ending(const forward_services& aServices,
                 const forwarded_request& aForwarded,
                 running_attempt& aAttempt,
                 relay_progress& aProgress);

  // Reads the next piece of the answer.
  asio::awaitable<wire::wire_result<std::string>> ReadPiece();

  // Takes over what the upstream states of itself in an answer to this request.
  void NoteStatements(const answer_info& aInfo, answer_kind aKind);

  // Returns the time left for the request.
  std::chrono::milliseconds Left() const;

  // Records that bytes of the answer have arrived.
  void OnBytes();

  // Records once that the upstream goes on after the begin of a stream.
  void RecordSurvival();

  // Records that the upstream broke the connection.
  void RecordLoss();

  attempt_result End(attempt_end aEnd, std::string aDetail = {});

  // Ends the attempt of a stream whose run aMove has stopped.
  attempt_result EndMoved(std::shared_ptr<run_move> aMove);

  // Ends the attempt after no head of an answer arrived.
  attempt_result OpenFailed(const wire::wire_error& aError);

  // Ends the attempt after the answer, or the rest of it, failed to arrive.
  attempt_result AnswerLost(const wire::wire_error& aError);

  // Ends the attempt and closes the connection, as the answer is too long.
  attempt_result EndAtLimit(std::string_view aLimit, std::size_t aBytes);

  // Other answers take the memory too, so that the upstream isn't blamed.
  attempt_result NoMemory(std::size_t aBytes);

  const forward_services& mServices;
  const forwarded_request& mForwarded;
  running_attempt& mAttempt;
  const attempt_target& mTarget;
  upstream& mUpstream;
  relay_progress& mProgress;
  wire::sse_splitter mSplitter;
  // Null until the head of an answer has arrived.
  wire::http_stream_ptr mStream;
  std::optional<double> mAcceptedRate;

private:
  // Sends no further request to the upstream for this long.
  void TurnAwayFor(std::chrono::milliseconds aTime);

  // Returns the end of an attempt that this gateway has aborted.
  std::optional<attempt_result> Stopped();

  // Whether bytes arrived that are no complete head, event or plain answer.
  bool HasUnfinishedPart(const wire::wire_error& aError) const;

  // When the upstream last sent bytes of the answer, or the start.
  steady_time mLastBytes = std::chrono::steady_clock::now();
  // The upstream went on after the begin of the answer.
  bool mSurvived = false;
};

} // namespace sapphirespar::gateway
