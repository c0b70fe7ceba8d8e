// Writes this gateway's records in batches, and reads those of all gateways
// when a stream is not known otherwise.
#include "sapphirespar/gateway/stream_archive.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <utility>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

// Bounds the size of an object: some 50 bytes each.
constexpr std::size_t kMaximumRecords = 10000;

// What was read is used again for this long, so that streams that nobody knows
// cost few reads.
constexpr milliseconds kReadAgainAfter{ 500 };

constexpr int kHexadecimal = 16;

void
AppendNumber(std::string& aTo, std::uint64_t aNumber, char aEnd)
{
  constexpr std::size_t kMostDigits = 16;
  std::array<char, kMostDigits> digits{};
  const auto end = std::to_chars(
    digits.data(), digits.data() + digits.size(), aNumber, kHexadecimal);
  aTo.append(digits.data(), end.ptr);
  aTo += aEnd;
}

// Takes a number and the character after it from the start of aText.
std::optional<std::uint64_t>
TakeNumber(std::string_view& aText, char aEnd)
{
  std::uint64_t number = 0;
  const auto* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, number, kHexadecimal);
  if (read.ec != std::errc() || read.ptr == end || *read.ptr != aEnd) {
    return std::nullopt;
  }
  aText.remove_prefix(static_cast<std::size_t>(read.ptr - aText.data()) + 1);
  return number;
}

} // namespace

std::string
EncodeStreamRecords(const std::vector<stream_version>& aRecords)
{
  std::string value;
  for (const auto& record : aRecords) {
    AppendNumber(value, record.mStream, ' ');
    AppendNumber(value, record.mPool, ' ');
    AppendNumber(value, record.mSoftware, '\n');
  }
  return value;
}

std::vector<stream_version>
DecodeStreamRecords(std::string_view aValue)
{
  std::vector<stream_version> records;
  while (!aValue.empty()) {
    const auto length = std::min(aValue.find('\n'), aValue.size() - 1) + 1;
    auto line = aValue.substr(0, length);
    aValue.remove_prefix(length);
    const auto stream = TakeNumber(line, ' ');
    const auto pool = stream ? TakeNumber(line, ' ') : std::nullopt;
    const auto software = pool ? TakeNumber(line, '\n') : std::nullopt;
    if (software && line.empty()) {
      records.push_back({ *stream, *pool, *software, {} });
    }
  }
  return records;
}

struct stream_archive::state : std::enable_shared_from_this<state>
{
  state(platform_api& aPlatform,
        timer_service& aTimers,
        const stream_versions& aStreams,
        stream_archive_settings aSettings,
        stream_archive_hooks aHooks)
    : mPlatform(aPlatform)
    , mTimers(aTimers)
    , mStreams(aStreams)
    , mSettings(std::move(aSettings))
    , mHooks(std::move(aHooks))
    , mPrefix(mSettings.mSelf.mVm.mText + ".")
    , mName(mPrefix + std::to_string(mSettings.mSelf.mIncarnation))
  {
  }

  std::chrono::milliseconds Period() const
  {
    return std::max(mSettings.mPeriod,
                    mSettings.mPeriodPerGateway *
                      static_cast<int>(mHooks.mGateways()));
  }

  void WriteChanges()
  {
    if (mWriting || mTimers.Now() < mNextWrite) {
      return;
    }
    auto records = mStreams.OwnAmongSeveralVersions();
    if (records.size() > kMaximumRecords) {
      records.resize(kMaximumRecords);
    }
    auto value = EncodeStreamRecords(records);
    // Records of streams that have ended do no harm.
    if (records.empty() || value == mWritten) {
      return;
    }
    mWriting = true;
    mNextWrite = mTimers.Now() + Period();
    mPlatform.Put(
      { std::string(kStreamRecordKind), mName },
      value,
      mVersion,
      [weak = weak_from_this(), value](const object_answer& aAnswer) {
        if (const auto self = weak.lock()) {
          self->OnWritten(aAnswer, value);
        }
      });
  }

  void OnWritten(const object_answer& aAnswer, const std::string& aValue)
  {
    mWriting = false;
    const bool written = aAnswer.mStatus == platform_status::Ok;
    const bool conflict = aAnswer.mStatus == platform_status::Conflict ||
                          aAnswer.mStatus == platform_status::NotFound;
    if (written || conflict) {
      // Without an object, it is created.
      mVersion = aAnswer.mObject.mVersion;
    }
    if (written) {
      mWritten = aValue;
    }
    if (written != mLogged) {
      mLogged = written;
      LogEvent(written ? log_level::Info : log_level::Warning,
               "stream_records_written",
               { { "written", static_cast<int>(written) },
                 { "status", ToText(aAnswer.mStatus) },
                 { "bytes", aValue.size() } });
    }
  }

  void Find(std::uint64_t aStream, versions_callback aDone)
  {
    mWaiting.emplace_back(aStream, std::move(aDone));
    if (mReading) {
      return;
    }
    if (mReadAt && mTimers.Now() - *mReadAt < kReadAgainAfter) {
      Answer();
      return;
    }
    mReading = true;
    mPlatform.List(std::string(kStreamRecordKind),
                   [weak = weak_from_this()](const list_answer& aAnswer) {
                     if (const auto self = weak.lock()) {
                       self->OnRead(aAnswer);
                     }
                   });
  }

  void OnRead(const list_answer& aAnswer)
  {
    mReading = false;
    if (aAnswer.mStatus == platform_status::Ok) {
      mReadAt = mTimers.Now();
      mKnown.clear();
      for (const auto& object : aAnswer.mObjects) {
        for (const auto& record : DecodeStreamRecords(object.mValue)) {
          mKnown.emplace(record.mStream,
                         pool_software{ record.mPool, record.mSoftware });
        }
      }
    }
    LogEvent(log_level::Info,
             "stream_records_read",
             { { "status", ToText(aAnswer.mStatus) },
               { "gateways", aAnswer.mObjects.size() },
               { "streams", mKnown.size() },
               { "waiting", mWaiting.size() } });
    Answer();
  }

  void Answer()
  {
    for (const auto& [stream, done] : std::exchange(mWaiting, {})) {
      const auto [begin, end] = mKnown.equal_range(stream);
      std::vector<pool_software> versions;
      for (auto found = begin; found != end; ++found) {
        versions.push_back(found->second);
      }
      // Gateways that differ are in doubt.
      std::ranges::sort(versions);
      versions.erase(std::unique(versions.begin(), versions.end()),
                     versions.end());
      const auto samePool =
        std::ranges::adjacent_find(versions, {}, &pool_software::mPool);
      done(samePool == versions.end() ? std::move(versions)
                                      : std::vector<pool_software>{});
    }
  }

  // Removes the objects of processes that ran on this VM before, whose streams
  // have ended by now.
  void RemoveFormer()
  {
    mPlatform.List(
      std::string(kStreamRecordKind),
      [weak = weak_from_this()](const list_answer& aAnswer) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        for (const auto& object : aAnswer.mObjects) {
          const auto& name = object.mKey.mName;
          if (name.starts_with(self->mPrefix) && name != self->mName) {
            self->mPlatform.Delete(
              object.mKey, object.mVersion, [](const object_answer&) {});
          }
        }
      });
  }

  platform_api& mPlatform;
  timer_service& mTimers;
  const stream_versions& mStreams;
  const stream_archive_settings mSettings;
  const stream_archive_hooks mHooks;
  // Of the names of this VM's objects; the name of this process's object.
  const std::string mPrefix;
  const std::string mName;
  object_version mVersion = kNoObject;
  std::string mWritten;
  bool mLogged = false;
  bool mWriting = false;
  steady_time mNextWrite{};
  // What the last read found, and when.
  std::multimap<std::uint64_t, pool_software> mKnown;
  std::optional<steady_time> mReadAt;
  bool mReading = false;
  std::vector<std::pair<std::uint64_t, versions_callback>> mWaiting;
  timer_subscription mWriteTimer;
  timer_subscription mRemoveTimer;
};

stream_archive::stream_archive(platform_api& aPlatform,
                               timer_service& aTimers,
                               const stream_versions& aStreams,
                               stream_archive_settings aSettings,
                               stream_archive_hooks aHooks)
  : mState(std::make_shared<state>(aPlatform,
                                   aTimers,
                                   aStreams,
                                   std::move(aSettings),
                                   std::move(aHooks)))
{
}

stream_archive::~stream_archive() = default;

void
stream_archive::Start()
{
  mState->mWriteTimer = mState->mTimers.Every(
    mState->mSettings.mCheck, [self = mState.get()] { self->WriteChanges(); });
  mState->mRemoveTimer =
    mState->mTimers.After(mState->mSettings.mRemoveAfter,
                          [self = mState.get()] { self->RemoveFormer(); });
}

void
stream_archive::Find(std::uint64_t aStream, versions_callback aDone)
{
  mState->Find(aStream, std::move(aDone));
}

} // namespace sapphirespar::gateway
