// What one router's process is told by its settings file: who and where it is,
// where the platform is, and whom to trust. All else comes in the bundle.
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

// Files in PEM. A server needs certificate and key; a client needs the
// certificates of the authorities that it trusts.
struct tls_files
{
  std::string mCertificate;
  std::string mKey;
  std::string mAuthorities;
};

// An address by IP number and a port.
struct address_port
{
  std::string mAddress;
  std::uint16_t mPort = 0;
};

struct router_settings
{
  vm_id mVm;
  data_centre_id mDataCentre;

  // Where callers and peers connect; a zero port takes any free one.
  std::string mAddress;
  std::uint16_t mPort = 0;
  std::uint16_t mPeerPort = 0;

  address_port mPlatform;
  // Platform calls that the whole fleet may make, shared by its routers:
  // reads, lists and watches, and writes.
  double mFleetReadsPerSecond = 1000;
  double mFleetWritesPerSecond = 200;

  // Who may sign the first bundle; later ones name their own signers.
  std::vector<signer> mSigners;

  unsigned mTrafficThreads = 2;
  log_level mLogLevel = log_level::Info;

  // Where spans are sent; unset sends none.
  std::optional<address_port> mTraceCollector;
  // Share of requests that are traced, 0 to 1.
  double mTraceSample = 0.01;

  // Unset speaks plain TCP.
  std::optional<tls_files> mCallerTls;
  std::optional<tls_files> mPeerTls;
  std::optional<tls_files> mUpstreamTls;
  std::optional<tls_files> mPlatformTls;
};

// Reads settings; aFile is only named in failures.
result<router_settings> ParseSettings(std::string_view aText,
                                      std::string_view aFile);

result<router_settings> LoadSettings(const std::string& aPath);

} // namespace sapphirespar
