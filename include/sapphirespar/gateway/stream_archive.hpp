// Keeps the records of streams in the platform's store while several versions
// of an upstream's software serve a pool, so that streams can be taken up after
// all gateways were killed at once.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/stream_versions.hpp"
#include "sapphirespar/model/platform.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sapphirespar::gateway {

// Kind of the objects in the platform's store, one for each gateway process.
inline constexpr std::string_view kStreamRecordKind = "stream-records";

struct stream_archive_settings
{
  // Names this process's object: the VM and the process's incarnation.
  process_id mSelf;
  // Least time between two writes, and how often it is looked whether there is
  // anything to write.
  std::chrono::milliseconds mPeriod{ 250 };
  std::chrono::milliseconds mCheck{ 50 };
  // The period is at least this long for each gateway of the fleet.
  std::chrono::milliseconds mPeriodPerGateway{ 5 };
  // Age from which the objects of former processes on this VM are removed.
  std::chrono::milliseconds mRemoveAfter{ 60000 };
};

struct stream_archive_hooks
{
  // Number of gateways that may write; zero if unknown.
  std::function<unsigned()> mGateways;
};

class stream_archive
{
public:
  using versions_callback = std::function<void(std::vector<pool_software>)>;

  // All references must outlive the archive.
  stream_archive(platform_api& aPlatform,
                 timer_service& aTimers,
                 const stream_versions& aStreams,
                 stream_archive_settings aSettings,
                 stream_archive_hooks aHooks);
  ~stream_archive();
  stream_archive(const stream_archive&) = delete;
  stream_archive& operator=(const stream_archive&) = delete;

  void Start();

  // Looks a stream up in what all gateways have written. Passes its versions,
  // one for each pool, or nothing if the stream is not found or the store can't
  // be read. One read of the store serves all look-ups that wait for it.
  void Find(std::uint64_t aStream, versions_callback aDone);

private:
  struct state;
  std::shared_ptr<state> mState;
};

// Converts records to and from the value of an object. What can't be read of a
// value is left out.
std::string EncodeStreamRecords(const std::vector<stream_version>& aRecords);
std::vector<stream_version> DecodeStreamRecords(std::string_view aValue);

} // namespace sapphirespar::gateway
