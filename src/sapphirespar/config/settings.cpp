// Reads a router's settings file.
#include "sapphirespar/config/settings.hpp"

#include "sapphirespar/config/toml_reader.hpp"
#include "setting_values.hpp"
#include "signer_table.hpp"

namespace sapphirespar {
namespace {

constexpr integer_bounds kThreadBounds{ 1, 64 };
constexpr real_bounds kCallsPerSecondBounds{ 1, 100000 };
constexpr real_bounds kShareBounds{ 0, 1 };

std::uint16_t
ReadPort(toml_table& aTable, std::string_view aKey)
{
  return static_cast<std::uint16_t>(aTable.Integer(aKey, kPortBounds));
}

std::uint16_t
ReadListenPort(toml_table& aTable, std::string_view aKey)
{
  return static_cast<std::uint16_t>(aTable.Integer(aKey, kListenPortBounds, 0));
}

address_port
ReadAddressPort(toml_table& aTable)
{
  address_port parsed;
  parsed.mAddress = aTable.Text("address");
  parsed.mPort = ReadPort(aTable, "port");
  return parsed;
}

void
ReadTlsFiles(toml_table& aTls,
             std::string_view aKey,
             std::optional<tls_files>& aInto)
{
  aTls.Table(aKey, [&](toml_table& aTable) {
    tls_files files;
    files.mCertificate = aTable.Text("certificate", "");
    files.mKey = aTable.Text("key", "");
    files.mAuthorities = aTable.Text("ca", "");
    if (files.mCertificate.empty() != files.mKey.empty()) {
      aTable.Fail("", "certificate and key must be given together");
    }
    if (files.mCertificate.empty() && files.mAuthorities.empty()) {
      aTable.Fail("", "expected certificate and key, or ca, or all three");
    }
    aInto = files;
  });
}

void
ReadTls(toml_table& aTls, router_settings& aSettings)
{
  ReadTlsFiles(aTls, "callers", aSettings.mCallerTls);
  ReadTlsFiles(aTls, "peers", aSettings.mPeerTls);
  ReadTlsFiles(aTls, "upstreams", aSettings.mUpstreamTls);
  ReadTlsFiles(aTls, "platform", aSettings.mPlatformTls);
  const auto check =
    [&](std::string_view aKey, bool aIsMissing, const char* aProblem) {
      if (aIsMissing) {
        aTls.Fail(aKey, aProblem);
      }
    };
  const auto lacksCertificate = [](const std::optional<tls_files>& aFiles) {
    return aFiles && aFiles->mCertificate.empty();
  };
  const auto lacksAuthorities = [](const std::optional<tls_files>& aFiles) {
    return aFiles && aFiles->mAuthorities.empty();
  };
  constexpr auto kServer = "a server needs certificate and key";
  constexpr auto kClient = "a client needs ca";
  check("callers", lacksCertificate(aSettings.mCallerTls), kServer);
  check("peers", lacksCertificate(aSettings.mPeerTls), kServer);
  check("peers", lacksAuthorities(aSettings.mPeerTls), kClient);
  check("upstreams", lacksAuthorities(aSettings.mUpstreamTls), kClient);
  check("platform", lacksAuthorities(aSettings.mPlatformTls), kClient);
}

void
ReadPlatform(toml_table& aTable, router_settings& aSettings)
{
  aSettings.mPlatform = ReadAddressPort(aTable);
  aSettings.mFleetReadsPerSecond = aTable.Real(
    "reads_per_second", kCallsPerSecondBounds, aSettings.mFleetReadsPerSecond);
  aSettings.mFleetWritesPerSecond =
    aTable.Real("writes_per_second",
                kCallsPerSecondBounds,
                aSettings.mFleetWritesPerSecond);
}

void
ReadTrace(toml_table& aTable, router_settings& aSettings)
{
  if (aTable.Has("address")) {
    aSettings.mTraceCollector = ReadAddressPort(aTable);
  }
  aSettings.mTraceSample =
    aTable.Real("sample", kShareBounds, aSettings.mTraceSample);
}

void
ReadTrust(toml_table& aTable, router_settings& aSettings)
{
  aSettings.mSigners = ReadSigners(aTable, "signers");
  if (aSettings.mSigners.empty()) {
    aTable.Fail("signers", "expected at least one signer");
  }
}

void
ReadNode(toml_table& aTable, router_settings& aSettings)
{
  aSettings.mVm = { aTable.Text("vm") };
  aSettings.mDataCentre = { aTable.Text("data_centre") };
}

void
ReadListen(toml_table& aTable, router_settings& aSettings)
{
  aSettings.mAddress = aTable.Text("address");
  aSettings.mPort = ReadListenPort(aTable, "port");
  aSettings.mPeerPort = ReadListenPort(aTable, "peer_port");
}

void
ReadAll(toml_table& aRoot, router_settings& aSettings)
{
  const auto with = [&](auto aRead) {
    return [&, aRead](toml_table& aTable) { aRead(aTable, aSettings); };
  };
  ReadRequiredTable(aRoot, "node", with(ReadNode));
  ReadRequiredTable(aRoot, "listen", with(ReadListen));
  ReadRequiredTable(aRoot, "platform", with(ReadPlatform));
  ReadRequiredTable(aRoot, "trust", with(ReadTrust));
  aRoot.Table("traffic", [&](toml_table& aTable) {
    aSettings.mTrafficThreads = static_cast<unsigned>(
      aTable.Integer("threads", kThreadBounds, aSettings.mTrafficThreads));
  });
  aRoot.Table("log", [&](toml_table& aTable) {
    aSettings.mLogLevel = ReadLogLevel(aTable, "level", aSettings.mLogLevel);
  });
  aRoot.Table("trace", with(ReadTrace));
  aRoot.Table("tls", with(ReadTls));
}

} // namespace

result<router_settings>
ParseSettings(std::string_view aText, std::string_view aFile)
{
  router_settings settings;
  BOOST_LEAF_CHECK(ReadToml(
    aText, aFile, [&](toml_table& aRoot) { ReadAll(aRoot, settings); }));
  return settings;
}

result<router_settings>
LoadSettings(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, ReadTextFile(aPath));
  return ParseSettings(text, aPath);
}

} // namespace sapphirespar
