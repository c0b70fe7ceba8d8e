// Serves one forwarded request: matches its route, checks its key, chooses an
// upstream, retries where that is safe, and relays the answer.
#pragma once

#include "sapphirespar/base/memory_budget.hpp"
#include "sapphirespar/gateway/brittle_guard.hpp"
#include "sapphirespar/gateway/crash_guard.hpp"
#include "sapphirespar/gateway/protocol.hpp"
#include "sapphirespar/gateway/rate_guard.hpp"
#include "sapphirespar/gateway/reach_monitor.hpp"
#include "sapphirespar/gateway/routing_state.hpp"
#include "sapphirespar/gateway/software_record.hpp"
#include "sapphirespar/gateway/stream_archive.hpp"
#include "sapphirespar/gateway/stream_versions.hpp"
#include "sapphirespar/gateway/upstream_directory.hpp"
#include "sapphirespar/policy/engine_model.hpp"
#include "sapphirespar/policy/engine_split.hpp"
#include "sapphirespar/policy/fleet_retry_budget.hpp"
#include "sapphirespar/policy/prompt_kinds.hpp"
#include "sapphirespar/policy/zone_exit.hpp"
#include "sapphirespar/telemetry/metrics.hpp"
#include "sapphirespar/wire/http_client.hpp"
#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <vector>

namespace sapphirespar::gateway {

namespace asio = boost::asio;

// The parts of the gateway that forwarding uses. They are confined to one
// thread and outlive every request.
struct forward_services
{
  const protocol& mProtocol;
  const routing_state& mRouting;
  upstream_directory& mUpstreams;
  policy::fleet_retry_budget& mRetries;
  policy::prefill_meter& mPrefill;
  const policy::engine_split& mSplit;
  policy::engine_models& mModels;
  policy::prompt_kinds& mKinds;
  crash_guard& mCrashGuard;
  rate_guard& mRateGuard;
  brittle_guard& mBrittleGuard;
  stream_versions& mStreams;
  reach_monitor& mReach;
  wire::http_client& mClient;
  metrics& mMetrics;
  // Brings the loads of other gateways in mUpstreams up to date.
  std::function<void()> mRefreshLoads;
  // Upper bound of the number of live gateways; zero if unknown.
  std::function<unsigned()> mGateways;
  // Addresses for callers of other gateways that reach the upstreams, the
  // preferred ones first.
  std::function<std::vector<entry_point>()> mHelpers;
  // Returns a random number from 0 to 1.
  std::function<double()> mDraw;
  // Time until this process ends; unset unless it is shutting down.
  std::function<std::optional<std::chrono::milliseconds>()> mTimeToStop;
  data_centre_id mDataCentre;
  // Keys are rejected once the last confirmation of the routing is this old.
  std::chrono::milliseconds mKeyFreshness{ 5000 };
  // A stream is ended if more bytes follow its last event with data.
  std::size_t mEventLimitBytes = 1024 * 1024;
  // Never null.
  memory_budget_ptr mAnswerMemory =
    std::make_shared<memory_budget>(48 * 1024 * 1024);
  // Looks up the versions of a stream in the platform's store; see
  // stream_archive.
  std::function<void(std::uint64_t aStream, stream_archive::versions_callback)>
    mFindArchived =
      [](std::uint64_t, const stream_archive::versions_callback& aDone) {
        aDone({});
      };
  // Finds the only version at which streams of a pool can have begun, and tells
  // whether one may begin at a version; see software_record.
  std::function<void(std::uint64_t aPool, software_record::version_callback)>
    mFindOnlyVersion =
      [](std::uint64_t, const software_record::version_callback& aDone) {
        aDone(std::nullopt);
      };
  std::function<bool(const pool_software&)> mMayBeginStream =
    [](const pool_software&) { return true; };
  // The choice between data centres for requests of a pool; null if they are
  // not told apart.
  std::function<const policy::zone_exit*(const std::string& aPool)> mZoneExit =
    [](const std::string&) { return nullptr; };
  // Called when an upstream has begun to run a request of an account, with the
  // time at which it began, as far as is known. See fleet_duties.
  std::function<void(const account_id&, steady_time)> mCountUsage =
    [](const account_id&, steady_time) {};
};

// Handles one request until it is answered or the caller disconnects. Writes
// one log line and the metrics of the request.
asio::awaitable<void> ServeForward(const forward_services& aServices,
                                   const wire::http_request& aRequest,
                                   wire::http_reply& aReply);

} // namespace sapphirespar::gateway
