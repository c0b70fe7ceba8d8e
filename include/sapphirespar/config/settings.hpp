// Settings file of one router process: its identity and addresses, the
// platform's address and the trusted signers. All other configuration comes in
// the bundle.
#pragma once

#include "sapphirespar/base/failure.hpp"
#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/log.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar {

// Paths of PEM files. A server needs certificate and key; a client needs the
// certificates of the authorities that it trusts.
struct tls_files
{
  std::string mCertificate;
  std::string mKey;
  std::string mAuthorities;
};

// A numeric IP address and a port.
struct address_port
{
  std::string mAddress;
  std::uint16_t mPort = 0;
};

struct router_settings
{
  vm_id mVm;
  data_centre_id mDataCentre;

  // Listen address for callers and peers. A port of zero selects a free one.
  std::string mAddress;
  std::uint16_t mPort = 0;
  std::uint16_t mPeerPort = 0;

  address_port mPlatform;
  // Budgets of platform calls, shared by all routers of the fleet. Lists and
  // watches count as reads.
  double mFleetReadsPerSecond = 1000;
  double mFleetWritesPerSecond = 200;

  // Signers of the first bundle. Each bundle names the signers of the next.
  std::vector<signer> mSigners;

  unsigned mTrafficThreads = 2;
  log_level mLogLevel = log_level::Info;

  // Address to which trace spans are sent; if unset, none are sent.
  std::optional<address_port> mTraceCollector;
  // Share of requests that are traced, 0 to 1.
  double mTraceSample = 0.01;

  // TLS of each kind of connection; if unset, plain TCP is used.
  std::optional<tls_files> mCallerTls;
  std::optional<tls_files> mPeerTls;
  std::optional<tls_files> mUpstreamTls;
  std::optional<tls_files> mPlatformTls;
};

// Parses settings; aFile is only named in failures. Fails with config_failure.
result<router_settings> ParseSettings(std::string_view aText,
                                      std::string_view aFile);

// Reads a file and parses it. Fails with config_failure.
result<router_settings> LoadSettings(const std::string& aPath);

} // namespace sapphirespar
