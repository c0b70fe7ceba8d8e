// Remembers which version of the upstreams' software began each stream, so that
// the rest comes from the same version at whichever gateway the caller takes
// the stream up. A few other gateways keep a copy of each record; a gateway
// without one asks them.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/upstream_directory.hpp"
#include "sapphirespar/model/stream_message.hpp"
#include "sapphirespar/policy/software_history.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirespar::gateway {

// Callers may take a stream up until their deadline, and a little later.
inline constexpr std::chrono::milliseconds kTakeUpMargin{ 5000 };

// Hashes that name streams and versions; the same at all gateways. aRequestId
// is the id of the request that brought the stream's first event.
std::uint64_t StreamKey(std::string_view aRequestId);
std::uint64_t SoftwareKey(const upstream_entry& aEntry);

// The versions of all upstreams that a directory lists, draining ones included.
std::vector<pool_software> ListedSoftware(const upstream_directory& aUpstreams);

struct stream_versions_hooks
{
  // Addresses of at most aCount other live gateways, those that should keep the
  // stream's record first. All gateways prefer the same ones.
  std::function<std::vector<std::string>(std::uint64_t aStream,
                                         std::size_t aCount)>
    mKeepers;
  std::function<void(const std::string& aAddress, const stream_message&)> mSend;
  // The pools' versions as listed now; empty unless the list is up to date.
  std::function<std::vector<pool_software>()> mListed;
  // The longest time for which a caller may take a stream up, as configured.
  std::function<std::chrono::milliseconds()> mLongestLifetime;
};

class stream_versions
{
public:
  // aTimers must outlive this object.
  stream_versions(timer_service& aTimers, stream_versions_hooks aHooks);

  // Records the version at which a stream has begun and tells the keepers. To
  // be called before the first event is sent to the caller. aLifetime is how
  // long the caller may take the stream up again. The first version recorded
  // for a stream and pool stays.
  void Begin(std::uint64_t aStream,
             pool_software aVersion,
             std::chrono::milliseconds aLifetime);

  // Forgets a stream that the caller has got whole.
  void End(std::uint64_t aStream);

  // The versions that began the stream, one for each pool; empty if unknown.
  std::vector<pool_software> Find(std::uint64_t aStream) const;

  // Starts a question to the keepers of a stream and returns its number.
  // aOnAnswer is called with each answer until EndQuestion.
  std::uint64_t StartQuestion(std::uint64_t aStream,
                              std::function<void()> aOnAnswer);
  // Asks the keepers that have not answered.
  void Ask(std::uint64_t aQuestion);
  // Whether there are keepers that have not answered.
  bool IsOpen(std::uint64_t aQuestion) const;
  void EndQuestion(std::uint64_t aQuestion);

  // The only version that can have begun streams of a pool; nothing if there
  // may have been several.
  std::optional<std::uint64_t> OnlyVersion(std::uint64_t aPool);

  // The versions listed within the longest life of a stream, and whether this
  // gateway knows all of them.
  std::vector<pool_software> SeenLately() const;
  bool HasSeenAll() const;

  // Handles the message of another gateway.
  void OnMessage(const std::string& aFrom, const stream_message& aMessage);

  // Tells other gateways all that this one remembers, before it ends.
  void HandOver();

  // The records of streams that this gateway has relayed, at pools of which
  // several versions were listed lately.
  std::vector<stream_version> OwnAmongSeveralVersions() const;

  std::size_t Size() const { return mRecords.size(); }

private:
  struct record
  {
    std::vector<pool_software> mVersions;
    steady_time mExpires{};
    // This gateway has relayed part of the stream and keeps the others told.
    bool mOwn = false;
  };

  struct question
  {
    std::uint64_t mStream = 0;
    // Addresses that have not answered.
    std::set<std::string> mWaiting;
    std::function<void()> mOnAnswer;
  };

  // For how long streams may have to be remembered.
  steady_duration Span() const;
  void Update();
  void Watch();
  void Remember(const stream_version& aTold, bool aOwn);
  void Tell(const std::function<bool(const record&)>& aWhich);
  void Reply(const std::string& aFrom, const stream_message& aMessage);
  void NoteAnswer(const std::string& aFrom, std::uint64_t aStream);

  timer_service& mTimers;
  const stream_versions_hooks mHooks;
  std::unordered_map<std::uint64_t, record> mRecords;
  // By number.
  std::map<std::uint64_t, question> mQuestions;
  std::uint64_t mLastQuestion = 0;
  policy::software_history mHistory;
  // The longest lifetime met.
  steady_duration mSpan;
  timer_subscription mUpdate;
  timer_subscription mWatch;
};

} // namespace sapphirespar::gateway
