// Settings file of one gateway process. All other configuration comes from the
// platform's store.
#pragma once

#include "sapphirespar/base/failure.hpp"
#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/log.hpp"
#include "sapphirespar/config/settings.hpp"
#include "sapphirespar/model/engine_figures.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar {

// Limits of the bytes of upstreams' answers. An answer that exceeds one is
// ended, and its connection closed.
struct answer_limits
{
  // A head together with the interim heads before it.
  std::size_t mHeadBytes = 16 * 1024;
  // The body of a refusal or of a stale answer, which is dropped.
  std::size_t mDroppedBytes = 1024 * 1024;
  // The body of an answer.
  std::size_t mBodyBytes = 16 * 1024 * 1024;
  // What follows the last event with data: an unfinished event, or comments.
  std::size_t mEventBytes = 1024 * 1024;
  // All answers that wait to be sent to callers.
  std::size_t mTotalBytes = 48 * 1024 * 1024;
};

// Calls to the platform that one gateway makes for the whole fleet.
struct duty_settings
{
  // Where the platform takes the calls.
  address_port mPlatform;
  // Whether usage is reported, and whether upstreams are ordered.
  bool mMetering = false;
  bool mAutoscaler = false;
  // Switches orders off without a restart, and keeps what runs.
  bool mSendsOrders = true;
  // Calls that the platform takes from all gateways together.
  double mCallsPerSecond = 50;
  // Within this time, the duties change their holder at most once.
  std::chrono::milliseconds mLease{ 3000 };
  // Usage is reported for each window of this length, at the latest after
  // mReportDelay.
  std::chrono::milliseconds mReportWindow{ 5000 };
  std::chrono::milliseconds mReportDelay{ 10000 };
};

struct gateway_settings
{
  vm_id mVm;
  data_centre_id mDataCentre;
  // The whole fleet starts for the first time: there is no traffic yet.
  bool mFirstStart = false;

  // Listen address for requests.
  address_port mCallers;
  // Listen address for the platform's readiness checks.
  address_port mReadiness;
  // Listen address where callers ask which gateways to use.
  address_port mEntry;
  // Listen address for other gateways and operators.
  address_port mAdmin;
  // Listen address for metrics.
  address_port mMetrics;
  // Listen address for gossip datagrams of other gateways.
  address_port mGossip;

  // Address of the platform's store.
  address_port mPlatform;

  // Admin addresses of some gateways, which may be stale.
  std::vector<address_port> mSeeds;

  // Limit of open file descriptors.
  unsigned mOpenFiles = 1024;
  // CPU cores that the process may use; may be a fraction.
  double mProcessor = 1;
  // Memory that the process may use, in bytes.
  std::size_t mMemoryBytes = 0;
  answer_limits mAnswers;
  // Bytes of the bodies of all requests in progress.
  std::size_t mRequestBytes = 32 * 1024 * 1024;

  // Requests with a key are refused if the routing has not been confirmed for
  // this long, because the key may have been revoked.
  std::chrono::milliseconds mKeyFreshness{ 5000 };
  // Longest time until changes of the routing and of upstreams take effect.
  std::chrono::milliseconds mMaxPropagationDelay{ 2000 };
  // How often a live upstream writes its entry in the store. The entry expires
  // after three times this.
  std::chrono::milliseconds mUpstreamHeartbeat{ 1200 };
  // Time from the request to stop until the process is killed.
  std::chrono::milliseconds mDrainTime{ 8000 };
  // Retry budget of all gateways together: in any window, retries may number at
  // most mRetryRatio times the requests, plus mRetrySlack.
  double mRetryRatio = 0.2;
  double mRetrySlack = 0;
  std::chrono::seconds mRetryWindow{ 10 };
  // Longest time for which callers may cache an answer of mEntry.
  std::chrono::milliseconds mEntryTtl{ 5000 };

  // Requests to engines stay in this data centre unless leaving it pays.
  bool mOwnZoneFirst = false;

  // Unset if the platform asks for no such calls.
  std::optional<duty_settings> mDuties;

  // Speed of the engines from which learning starts.
  engine_figures mEngines;

  log_level mLogLevel = log_level::Info;
};

// Parses settings; aFile is only named in failures. Fails with config_failure.
result<gateway_settings> ParseGatewaySettings(std::string_view aText,
                                              std::string_view aFile);

// Reads a file and parses it. Fails with config_failure.
result<gateway_settings> LoadGatewaySettings(const std::string& aPath);

} // namespace sapphirespar
