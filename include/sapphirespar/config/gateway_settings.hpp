// What one gateway's process is told by its settings file. All else comes from
// the platform's store.
#pragma once

#include "sapphirespar/base/failure.hpp"
#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/log.hpp"
#include "sapphirespar/config/settings.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar {

struct gateway_settings
{
  vm_id mVm;
  data_centre_id mDataCentre;

  // Where requests arrive.
  address_port mCallers;
  // Where the platform asks whether this gateway is ready.
  address_port mReadiness;
  // Where callers ask which gateways to use.
  address_port mEntry;
  // Where other gateways and operators ask.
  address_port mAdmin;
  // Where metrics are read.
  address_port mMetrics;
  // Where datagrams of other gateways arrive.
  address_port mGossip;

  address_port mPlatform;

  // Admin addresses of some gateways, which may be stale.
  std::vector<address_port> mSeeds;

  // Descriptors that the process may open.
  unsigned mOpenFiles = 1024;
  // Share of a core that the process may use.
  double mProcessor = 1;

  // A request with a key is refused when the routing has not been confirmed for
  // this long, as the key may have been taken away.
  std::chrono::milliseconds mKeyFreshness{ 5000 };
  // Changes of the routing and of upstreams are to take effect within this.
  std::chrono::milliseconds mMaxPropagationDelay{ 2000 };
  // From a request to stop until the process is killed.
  std::chrono::milliseconds mDrainTime{ 8000 };
  // Attempts beyond the first, by all gateways together: a share of the
  // requests and a number besides, in any window.
  double mRetryRatio = 0.2;
  double mRetrySlack = 0;
  std::chrono::seconds mRetryWindow{ 10 };
  // Longest time for which callers keep an answer about entries.
  std::chrono::milliseconds mEntryTtl{ 5000 };

  log_level mLogLevel = log_level::Info;
};

// Reads settings; aFile is only named in failures.
result<gateway_settings> ParseGatewaySettings(std::string_view aText,
                                              std::string_view aFile);

result<gateway_settings> LoadGatewaySettings(const std::string& aPath);

} // namespace sapphirespar
