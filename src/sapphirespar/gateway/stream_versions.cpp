// Records of streams, and the messages that copy them.
#include "sapphirespar/gateway/stream_versions.hpp"

#include "sapphirespar/base/log.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

// Other gateways that keep a record. A third of the fleet, lost at once, takes
// all of them along in one of 27 cases.
constexpr std::size_t kKeepers = 3;

// Gateways that are asked. More than the keepers, as the asker may know of
// newer gateways than the teller did.
constexpr std::size_t kAsked = 8;

// Keepers are told again this often, as datagrams are lost and keepers restart.
constexpr std::chrono::seconds kTellAgain{ 2 };

constexpr milliseconds kWatchPeriod{ 500 };

// Least time for which streams are remembered.
constexpr std::chrono::seconds kMinimumSpan{ 30 };
constexpr std::chrono::minutes kMaximumSpan{ 30 };

// Bound of the table; the records of other gateways' streams go first.
constexpr std::size_t kMaximumRecords = 65536;

// Versions in one datagram.
constexpr std::size_t kMaximumTold = 400;

std::uint64_t
KeyOf(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

} // namespace

std::uint64_t
StreamKey(std::string_view aRequestId)
{
  return KeyOf(aRequestId);
}

std::uint64_t
SoftwareKey(const upstream_entry& aEntry)
{
  return KeyOf(aEntry.mSoftware);
}

std::vector<pool_software>
ListedSoftware(const upstream_directory& aUpstreams)
{
  std::set<pool_software> listed;
  for (const auto& entry : aUpstreams.Entries()) {
    listed.insert({ PoolKey(entry.mPool), SoftwareKey(entry) });
  }
  return { listed.begin(), listed.end() };
}

stream_versions::stream_versions(timer_service& aTimers,
                                 stream_versions_hooks aHooks)
  : mTimers(aTimers)
  , mHooks(std::move(aHooks))
  , mSpan(kMinimumSpan)
{
  mUpdate = mTimers.Every(kTellAgain, [this] { Update(); });
  mWatch = mTimers.Every(kWatchPeriod, [this] { Watch(); });
}

void
stream_versions::Begin(std::uint64_t aStream,
                       pool_software aVersion,
                       milliseconds aLifetime)
{
  const stream_version begun{
    aStream, aVersion.mPool, aVersion.mSoftware, aLifetime
  };
  Remember(begun, true);
  stream_message message;
  message.mTold = { begun };
  for (const auto& address : mHooks.mKeepers(aStream, kKeepers)) {
    mHooks.mSend(address, message);
  }
}

void
stream_versions::End(std::uint64_t aStream)
{
  mRecords.erase(aStream);
}

std::vector<pool_software>
stream_versions::Find(std::uint64_t aStream) const
{
  const auto found = mRecords.find(aStream);
  const bool known =
    found != mRecords.end() && found->second.mExpires > mTimers.Now();
  return known ? found->second.mVersions : std::vector<pool_software>{};
}

void
stream_versions::Remember(const stream_version& aTold, bool aOwn)
{
  if (mRecords.size() >= kMaximumRecords && !mRecords.contains(aTold.mStream)) {
    if (!aOwn) {
      return;
    }
    const auto dropped = std::ranges::find_if(
      mRecords, [](const auto& aItem) { return !aItem.second.mOwn; });
    mRecords.erase(dropped == mRecords.end() ? mRecords.begin() : dropped);
  }
  const auto lifetime = std::min<steady_duration>(aTold.mLeft, kMaximumSpan);
  mSpan = std::max(mSpan, lifetime);
  auto& record = mRecords[aTold.mStream];
  record.mExpires = std::max(record.mExpires, mTimers.Now() + lifetime);
  record.mOwn = record.mOwn || aOwn;
  const auto known =
    std::ranges::find(record.mVersions, aTold.mPool, &pool_software::mPool);
  if (known == record.mVersions.end()) {
    record.mVersions.push_back({ aTold.mPool, aTold.mSoftware });
  } else if (known->mSoftware != aTold.mSoftware) {
    LogEvent(log_level::Warning,
             "stream_version_differs",
             { { "stream", aTold.mStream },
               { "known", known->mSoftware },
               { "told", aTold.mSoftware } });
  }
}

std::uint64_t
stream_versions::StartQuestion(std::uint64_t aStream,
                               std::function<void()> aOnAnswer)
{
  const auto keepers = mHooks.mKeepers(aStream, kAsked);
  auto& question = mQuestions[++mLastQuestion];
  question.mStream = aStream;
  question.mWaiting.insert(keepers.begin(), keepers.end());
  question.mOnAnswer = std::move(aOnAnswer);
  return mLastQuestion;
}

void
stream_versions::Ask(std::uint64_t aQuestion)
{
  // A copy, as answers may arrive while questions are sent.
  const auto question = mQuestions.at(aQuestion);
  stream_message message;
  message.mAsked = { question.mStream };
  for (const auto& address : question.mWaiting) {
    mHooks.mSend(address, message);
  }
}

bool
stream_versions::IsOpen(std::uint64_t aQuestion) const
{
  return !mQuestions.at(aQuestion).mWaiting.empty();
}

void
stream_versions::EndQuestion(std::uint64_t aQuestion)
{
  mQuestions.erase(aQuestion);
}

void
stream_versions::NoteAnswer(const std::string& aFrom, std::uint64_t aStream)
{
  for (auto& [number, question] : mQuestions) {
    if (question.mStream == aStream && question.mWaiting.erase(aFrom) > 0) {
      question.mOnAnswer();
    }
  }
}

std::optional<std::uint64_t>
stream_versions::OnlyVersion(std::uint64_t aPool)
{
  // A list that is not up to date may lack the version that began the stream.
  const auto listed = mHooks.mListed();
  if (listed.empty()) {
    return std::nullopt;
  }
  const auto now = mTimers.Now();
  mHistory.Watch(listed, now);
  return mHistory.OnlyVersion(aPool, Span(), now);
}

std::vector<pool_software>
stream_versions::SeenLately() const
{
  return mHistory.SeenWithin(Span(), mTimers.Now());
}

bool
stream_versions::HasSeenAll() const
{
  return mHistory.Covers(Span(), mTimers.Now());
}

steady_duration
stream_versions::Span() const
{
  return std::clamp<steady_duration>(
    mHooks.mLongestLifetime(), mSpan, kMaximumSpan);
}

void
stream_versions::OnMessage(const std::string& aFrom,
                           const stream_message& aMessage)
{
  for (const auto& told : aMessage.mTold) {
    Remember(told, false);
  }
  if (!aMessage.mUnknown.empty()) {
    // Earlier builds watch for at least the minimum and don't tell.
    const auto watched =
      std::max<steady_duration>(aMessage.mSpan, kMinimumSpan);
    mHistory.Merge(aMessage.mSeen, aMessage.mSeenAll, watched, mTimers.Now());
  }
  if (!aMessage.mAsked.empty()) {
    Reply(aFrom, aMessage);
  }
  const auto note = [&](std::uint64_t aStream) { NoteAnswer(aFrom, aStream); };
  std::ranges::for_each(aMessage.mUnknown, note);
  std::ranges::for_each(aMessage.mTold, note, &stream_version::mStream);
}

void
stream_versions::Reply(const std::string& aFrom, const stream_message& aMessage)
{
  const auto now = mTimers.Now();
  stream_message reply;
  for (const auto stream : aMessage.mAsked) {
    const auto versions = Find(stream);
    if (versions.empty()) {
      reply.mUnknown.push_back(stream);
      continue;
    }
    const auto left =
      std::chrono::ceil<milliseconds>(mRecords.at(stream).mExpires - now);
    for (const auto& version : versions) {
      reply.mTold.push_back({ stream, version.mPool, version.mSoftware, left });
    }
  }
  if (!reply.mUnknown.empty()) {
    reply.mSeen = SeenLately();
    reply.mSeenAll = HasSeenAll();
    reply.mSpan = std::chrono::floor<milliseconds>(Span());
  }
  mHooks.mSend(aFrom, reply);
}

void
stream_versions::Update()
{
  const auto now = mTimers.Now();
  std::erase_if(mRecords, [now](const auto& aItem) {
    return aItem.second.mExpires <= now;
  });
  Tell([](const record& aRecord) { return aRecord.mOwn; });
}

void
stream_versions::Watch()
{
  mHistory.Watch(mHooks.mListed(), mTimers.Now());
}

std::vector<stream_version>
stream_versions::OwnAmongSeveralVersions() const
{
  const auto now = mTimers.Now();
  std::map<std::uint64_t, int> versions;
  for (const auto& seen : SeenLately()) {
    ++versions[seen.mPool];
  }
  std::vector<stream_version> found;
  if (std::ranges::all_of(versions,
                          [](const auto& aItem) { return aItem.second < 2; })) {
    return found;
  }
  for (const auto& [stream, known] : mRecords) {
    if (!known.mOwn || known.mExpires <= now) {
      continue;
    }
    for (const auto& version : known.mVersions) {
      const auto count = versions.find(version.mPool);
      if (count != versions.end() && count->second > 1) {
        found.push_back(
          { stream,
            version.mPool,
            version.mSoftware,
            std::chrono::ceil<milliseconds>(known.mExpires - now) });
      }
    }
  }
  return found;
}

void
stream_versions::HandOver()
{
  Tell([](const record&) { return true; });
}

void
stream_versions::Tell(const std::function<bool(const record&)>& aWhich)
{
  const auto now = mTimers.Now();
  std::map<std::string, stream_message> messages;
  for (const auto& [stream, known] : mRecords) {
    if (!aWhich(known)) {
      continue;
    }
    const auto left = std::chrono::ceil<milliseconds>(known.mExpires - now);
    for (const auto& address : mHooks.mKeepers(stream, kKeepers)) {
      auto& message = messages[address];
      for (const auto& version : known.mVersions) {
        message.mTold.push_back(
          { stream, version.mPool, version.mSoftware, left });
      }
      if (message.mTold.size() >= kMaximumTold) {
        mHooks.mSend(address, std::exchange(message, {}));
      }
    }
  }
  for (const auto& [address, message] : messages) {
    if (!message.mTold.empty()) {
      mHooks.mSend(address, message);
    }
  }
}

} // namespace sapphirespar::gateway
