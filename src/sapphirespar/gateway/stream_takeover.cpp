// Looks up the version of a stream, here, at other gateways and in what the
// pool has listed.
#include "stream_takeover.hpp"

#include "forward_admission.hpp"

#include "sapphirespar/base/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A round trip between data centres with a busy receiver.
constexpr milliseconds kAnswerTime{ 250 };

// A read of the platform's store with some answers before it.
constexpr milliseconds kReadTime{ 400 };

// Questions are sent again this often, as datagrams are lost.
constexpr milliseconds kAskAgain{ 60 };

// A question in progress, which ends with this object.
class open_question
{
public:
  open_question(stream_versions& aStreams,
                std::uint64_t aStream,
                std::function<void()> aOnAnswer)
    : mStreams(aStreams)
    , mNumber(aStreams.StartQuestion(aStream, std::move(aOnAnswer)))
  {
  }
  ~open_question() { mStreams.EndQuestion(mNumber); }
  open_question(const open_question&) = delete;
  open_question& operator=(const open_question&) = delete;

  void Ask() { mStreams.Ask(mNumber); }
  bool IsOpen() const { return mStreams.IsOpen(mNumber); }

private:
  stream_versions& mStreams;
  const std::uint64_t mNumber;
};

// Asks other gateways until one of them knows the stream, all have answered,
// the caller has gone or the time is over.
asio::awaitable<std::vector<pool_software>>
AskOthers(const forward_services& aServices,
          std::uint64_t aStream,
          steady_time aUntil,
          const relay_progress& aProgress)
{
  asio::steady_timer wake(co_await asio::this_coro::executor);
  open_question question(
    aServices.mStreams, aStream, [&wake] { wake.cancel(); });
  std::vector<pool_software> versions;
  auto askAt = steady_clock::now();
  while (question.IsOpen() && !aProgress.mCallerGone) {
    const auto now = steady_clock::now();
    if (now >= aUntil) {
      break;
    }
    if (now >= askAt) {
      askAt = now + kAskAgain;
      question.Ask();
    }
    wake.expires_at(std::min(askAt, aUntil));
    co_await wake.async_wait(asio::as_tuple(asio::use_awaitable));
    versions = aServices.mStreams.Find(aStream);
    if (!versions.empty()) {
      break;
    }
  }
  co_return versions;
}

// Starts a read of the platform's store and waits for its answer. Returns an
// empty one if the store does not answer in time.
template<class Answer>
asio::awaitable<Answer>
ReadStore(const std::function<void(std::function<void(Answer)>)>& aStart,
          const forwarded_request& aForwarded,
          const relay_progress& aProgress)
{
  struct answer
  {
    asio::steady_timer mWake;
    bool mDone = false;
    Answer mAnswer;
  };
  const auto until = std::min({ steady_clock::now() + kReadTime,
                                aForwarded.mDeadline,
                                aForwarded.mCallerDeadline });
  // Outlives this call if the store answers later.
  const auto found = std::make_shared<answer>(answer{
    asio::steady_timer(co_await asio::this_coro::executor), false, {} });
  aStart([found](Answer aAnswer) {
    found->mDone = true;
    found->mAnswer = std::move(aAnswer);
    found->mWake.cancel();
  });
  while (!found->mDone && !aProgress.mCallerGone) {
    const auto now = steady_clock::now();
    if (now >= until) {
      break;
    }
    found->mWake.expires_at(std::min(now + kAskAgain, until));
    co_await found->mWake.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return found->mAnswer;
}

// Looks for a stream that no gateway knows.
asio::awaitable<std::vector<pool_software>>
FindArchived(const forward_services& aServices,
             const forwarded_request& aForwarded,
             const relay_progress& aProgress)
{
  co_return co_await ReadStore<std::vector<pool_software>>(
    [&](auto aDone) {
      aServices.mFindArchived(StreamOf(aForwarded), std::move(aDone));
    },
    aForwarded,
    aProgress);
}

// Looks for the only version that can have begun streams of the pool.
asio::awaitable<std::optional<std::uint64_t>>
FindOnlyVersion(const forward_services& aServices,
                const forwarded_request& aForwarded,
                const relay_progress& aProgress)
{
  const auto pool = PoolKey(aForwarded.mPool);
  if (const auto only = aServices.mStreams.OnlyVersion(pool)) {
    co_return only;
  }
  co_return co_await ReadStore<std::optional<std::uint64_t>>(
    [&](auto aDone) { aServices.mFindOnlyVersion(pool, std::move(aDone)); },
    aForwarded,
    aProgress);
}

// The pool of the route at which the stream has a version, and that version.
struct known_version
{
  std::string mPool;
  std::uint64_t mSoftware = 0;
};

std::optional<known_version>
OnRoute(const route& aRoute, std::span<const pool_software> aVersions)
{
  for (const auto& pool : aRoute.mPools) {
    const auto found =
      std::ranges::find(aVersions, PoolKey(pool.mPool), &pool_software::mPool);
    if (found != aVersions.end()) {
      return known_version{ pool.mPool, found->mSoftware };
    }
  }
  return std::nullopt;
}

void
LogTakeover(const forwarded_request& aForwarded,
            std::string_view aSource,
            std::optional<std::uint64_t> aSoftware)
{
  const auto took = steady_clock::now() - aForwarded.mArrived;
  LogEvent(
    log_level::Info,
    "stream_taken_up",
    { { "request", aForwarded.mInfo.mId },
      { "resumed_id", aForwarded.mInfo.mResumedId },
      { "after", aForwarded.mInfo.mLastEventId },
      { "pool", aForwarded.mPool },
      { "software", aSoftware ? PartsText({ &*aSoftware, 1 }) : "" },
      { "source", aSource },
      { "took_ms", std::chrono::duration_cast<milliseconds>(took).count() } });
}

} // namespace

asio::awaitable<void>
AwaitVersionRecord(const forward_services& aServices,
                   const forwarded_request& aForwarded,
                   const upstream& aUpstream,
                   const relay_progress& aProgress)
{
  constexpr milliseconds kLongest{ 100 };
  constexpr milliseconds kCheck{ 5 };
  const pool_software version{ PoolKey(aForwarded.mPool),
                               SoftwareKey(aUpstream.mEntry) };
  const auto end = steady_clock::now() + kLongest;
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (!aServices.mMayBeginStream(version) && !aProgress.mCallerGone) {
    if (steady_clock::now() >= end) {
      LogEvent(log_level::Warning,
               "stream_version_unrecorded",
               { { "request", aForwarded.mInfo.mId },
                 { "upstream", aUpstream.mEntry.mId.mText },
                 { "software", aUpstream.mEntry.mSoftware } });
      break;
    }
    timer.expires_after(kCheck);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

asio::awaitable<std::optional<refusal_answer>>
FindStreamVersion(const forward_services& aServices,
                  forwarded_request& aForwarded,
                  relay_progress& aProgress)
{
  std::string_view source = "own";
  const auto stream = StreamOf(aForwarded);
  auto versions = aServices.mStreams.Find(stream);
  if (versions.empty() && !aForwarded.mInfo.mResumedId.empty()) {
    source = "peer";
    const auto until = std::min({ aForwarded.mArrived + kAnswerTime,
                                  aForwarded.mDeadline,
                                  aForwarded.mCallerDeadline });
    versions = co_await AskOthers(aServices, stream, until, aProgress);
    if (versions.empty() && !aProgress.mCallerGone) {
      source = "store";
      versions = co_await FindArchived(aServices, aForwarded, aProgress);
    }
  }
  if (const auto known = OnRoute(*aForwarded.mRoute, versions)) {
    SetPool(aForwarded, known->mPool);
    aProgress.mSoftware = known->mSoftware;
    LogTakeover(aForwarded, source, aProgress.mSoftware);
    co_return CheckCrashes(aServices, aForwarded);
  }
  if (!versions.empty()) {
    // The route has moved to other pools since the stream began.
    LogTakeover(aForwarded, "moved", std::nullopt);
    co_return std::nullopt;
  }
  aProgress.mSoftware =
    co_await FindOnlyVersion(aServices, aForwarded, aProgress);
  LogTakeover(aForwarded,
              aProgress.mSoftware ? "only_version" : "unknown",
              aProgress.mSoftware);
  if (!aProgress.mSoftware) {
    co_return refusal_answer{ 503, "stream_version_unknown", kRetrySoon };
  }
  co_return std::nullopt;
}

} // namespace sapphirespar::gateway
