// Reads a gateway's settings file.
#include "sapphirespar/config/gateway_settings.hpp"

#include "sapphirespar/config/toml_reader.hpp"
#include "setting_values.hpp"

#include <unistd.h>

#include <algorithm>
#include <charconv>

namespace sapphirespar {
namespace {

constexpr integer_bounds kFileBounds{ 64, 1'000'000 };
constexpr integer_bounds kFreshnessBounds{ 500, 600'000 };
constexpr integer_bounds kHeartbeatBounds{ 10, 600'000 };
constexpr integer_bounds kWindowBounds{ 1, 3600 };
constexpr integer_bounds kMemoryBounds{ 16, 16'000'000 };
constexpr real_bounds kSecondsBounds{ 0.1, 3600 };
constexpr real_bounds kProcessorBounds{ 0.001, 1024 };
constexpr real_bounds kRatioBounds{ 0, 10 };
constexpr real_bounds kSlackBounds{ 0, 1'000'000 };
constexpr real_bounds kCallRateBounds{ 0.1, 100'000 };
constexpr real_bounds kTokenRateBounds{ 0.01, 100'000 };
constexpr real_bounds kFirstEventBounds{ 0.1, 60'000 };
constexpr real_bounds kChunkBounds{ 16, 1'000'000 };
constexpr real_bounds kStepBounds{ 0.001, 10'000 };
constexpr real_bounds kStepGrowthBounds{ 0, 1000 };

// Parses a text such as "10.0.0.1:8080". Fails if aText has another form.
address_port
ParseAddressPort(toml_table& aTable,
                 std::string_view aKey,
                 const std::string& aText)
{
  address_port parsed;
  const auto colon = aText.rfind(':');
  const auto* end = aText.data() + aText.size();
  std::from_chars_result read{ end, std::errc::invalid_argument };
  if (colon != std::string::npos) {
    parsed.mAddress = aText.substr(0, colon);
    read = std::from_chars(aText.data() + colon + 1, end, parsed.mPort);
  }
  if (read.ec != std::errc{} || read.ptr != end || parsed.mAddress.empty()) {
    aTable.Fail(aKey, "expected ADDRESS:PORT, found \"" + aText + "\"");
  }
  return parsed;
}

address_port
ReadAddressPort(toml_table& aTable, std::string_view aKey)
{
  const auto text = aTable.Text(aKey);
  return aTable.Failed() ? address_port{}
                         : ParseAddressPort(aTable, aKey, text);
}

std::chrono::milliseconds
ReadSeconds(toml_table& aTable,
            std::string_view aKey,
            std::chrono::milliseconds aFallback)
{
  constexpr double kMsPerSecond = 1000;
  const auto seconds =
    aTable.Real(aKey,
                kSecondsBounds,
                static_cast<double>(aFallback.count()) / kMsPerSecond);
  return std::chrono::milliseconds(
    static_cast<std::int64_t>(seconds * kMsPerSecond));
}

void
ReadNode(toml_table& aTable, gateway_settings& aSettings)
{
  aSettings.mVm = { aTable.Text("vm") };
  aSettings.mDataCentre = { aTable.Text("data_centre") };
  aSettings.mFirstStart = aTable.Flag("first_start", aSettings.mFirstStart);
}

void
ReadListen(toml_table& aTable, gateway_settings& aSettings)
{
  aSettings.mCallers = ReadAddressPort(aTable, "callers");
  aSettings.mReadiness = ReadAddressPort(aTable, "readiness");
  aSettings.mEntry = ReadAddressPort(aTable, "entry");
  aSettings.mAdmin = ReadAddressPort(aTable, "admin");
  const auto address = aTable.Text("address");
  const auto port = [&](std::string_view aKey) {
    return static_cast<std::uint16_t>(aTable.Integer(aKey, kListenPortBounds));
  };
  aSettings.mGossip = { address, port("gossip_port") };
  aSettings.mMetrics = { address, port("metrics_port") };
}

void
ReadPlatform(toml_table& aTable, gateway_settings& aSettings)
{
  aSettings.mPlatform = ReadAddressPort(aTable, "address");
}

void
ReadPeers(toml_table& aTable, gateway_settings& aSettings)
{
  for (const auto& seed : aTable.Texts("seeds")) {
    aSettings.mSeeds.push_back(ParseAddressPort(aTable, "seeds", seed));
  }
}

void
ReadBounds(toml_table& aTable, gateway_settings& aSettings)
{
  aSettings.mKeyFreshness = aTable.Milliseconds(
    "key_freshness_ms", kFreshnessBounds, aSettings.mKeyFreshness.count());
  const auto change = [&](std::string_view aKey) {
    return aTable.Milliseconds(
      aKey, kFreshnessBounds, aSettings.mMaxPropagationDelay.count());
  };
  aSettings.mMaxPropagationDelay =
    std::min(change("routing_change_ms"), change("upstream_change_ms"));
  aSettings.mUpstreamHeartbeat =
    aTable.Milliseconds("upstream_heartbeat_ms",
                        kHeartbeatBounds,
                        aSettings.mUpstreamHeartbeat.count());
  aSettings.mDrainTime = ReadSeconds(aTable, "drain_s", aSettings.mDrainTime);
  aSettings.mRetryRatio =
    aTable.Real("retry_ratio", kRatioBounds, aSettings.mRetryRatio);
  aSettings.mRetrySlack =
    aTable.Real("retry_slack", kSlackBounds, aSettings.mRetrySlack);
  aSettings.mRetryWindow = std::chrono::seconds(aTable.Integer(
    "retry_window_s", kWindowBounds, aSettings.mRetryWindow.count()));
  aSettings.mEntryTtl = ReadSeconds(aTable, "entry_ttl_s", aSettings.mEntryTtl);
}

void
ReadEngines(toml_table& aTable, gateway_settings& aSettings)
{
  auto& engines = aSettings.mEngines;
  const auto read =
    [&](std::string_view aKey, const real_bounds& aBounds, double& aFigure) {
      aFigure = aTable.Real(aKey, aBounds, aFigure);
    };
  read("prefill_tokens_per_ms", kTokenRateBounds, engines.mPrefillTokensPerMs);
  read("first_event_ms", kFirstEventBounds, engines.mFirstEventMs);
  read("chunk_tokens", kChunkBounds, engines.mChunkTokens);
  read("step_ms", kStepBounds, engines.mStepMs);
  read("step_ms_per_request", kStepGrowthBounds, engines.mStepMsPerRequest);
}

constexpr std::size_t kMegabyte = 1024 * 1024;

std::size_t
MachineMemory()
{
  const auto pages = ::sysconf(_SC_PHYS_PAGES);
  const auto pageBytes = ::sysconf(_SC_PAGESIZE);
  return static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes);
}

void
ReadLimits(toml_table& aTable, gateway_settings& aSettings)
{
  aSettings.mOpenFiles = static_cast<unsigned>(
    aTable.Integer("open_files", kFileBounds, aSettings.mOpenFiles));
  aSettings.mProcessor =
    aTable.Real("processor", kProcessorBounds, aSettings.mProcessor);
  const auto machine =
    static_cast<std::int64_t>(aSettings.mMemoryBytes / kMegabyte);
  aSettings.mMemoryBytes = kMegabyte * static_cast<std::size_t>(aTable.Integer(
                                         "memory_mb", kMemoryBounds, machine));
}

// Least memory for all requests, or all answers, together.
constexpr std::size_t kLeastTotal = 1024 * 1024;

// Reads a number of bytes, which the memory bounds.
void
ReadBytes(toml_table& aTable,
          std::string_view aKey,
          std::size_t aLeast,
          std::size_t aMemory,
          std::size_t& aBytes)
{
  const integer_bounds bounds{ static_cast<std::int64_t>(aLeast),
                               static_cast<std::int64_t>(aMemory) };
  aBytes = static_cast<std::size_t>(
    aTable.Integer(aKey, bounds, static_cast<std::int64_t>(aBytes)));
}

void
ReadRequests(toml_table& aTable, gateway_settings& aSettings)
{
  ReadBytes(aTable,
            "total_bytes",
            kLeastTotal,
            aSettings.mMemoryBytes,
            aSettings.mRequestBytes);
}

void
ReadAnswers(toml_table& aTable, gateway_settings& aSettings)
{
  const auto read =
    [&](std::string_view aKey, std::size_t aLeast, std::size_t& aBytes) {
      ReadBytes(aTable, aKey, aLeast, aSettings.mMemoryBytes, aBytes);
    };
  constexpr std::size_t kLeastHead = 1024;
  auto& answers = aSettings.mAnswers;
  read("head_bytes", kLeastHead, answers.mHeadBytes);
  read("dropped_bytes", 1, answers.mDroppedBytes);
  read("body_bytes", 1, answers.mBodyBytes);
  read("event_bytes", 1, answers.mEventBytes);
  read("total_bytes", kLeastTotal, answers.mTotalBytes);
}

void
ReadDuties(toml_table& aTable, gateway_settings& aSettings)
{
  duty_settings duties;
  duties.mPlatform = ReadAddressPort(aTable, "address");
  // Other duties may be named, which this program does not do.
  const auto assigned = aTable.Texts("assigned");
  const auto has = [&](std::string_view aDuty) {
    return std::ranges::find(assigned, aDuty) != assigned.end();
  };
  duties.mMetering = has("metering");
  duties.mAutoscaler = has("autoscaler");
  duties.mSendsOrders = aTable.Flag("send_orders", duties.mSendsOrders);
  duties.mCallsPerSecond =
    aTable.Real("calls_per_s", kCallRateBounds, duties.mCallsPerSecond);
  duties.mLease =
    aTable.Milliseconds("lease_ms", kFreshnessBounds, duties.mLease.count());
  duties.mReportWindow =
    ReadSeconds(aTable, "report_window_s", duties.mReportWindow);
  duties.mReportDelay =
    ReadSeconds(aTable, "report_delay_s", duties.mReportDelay);
  aSettings.mDuties = duties;
}

void
ReadAll(toml_table& aRoot, gateway_settings& aSettings)
{
  const auto with = [&](auto aRead) {
    return [&, aRead](toml_table& aTable) { aRead(aTable, aSettings); };
  };
  ReadRequiredTable(aRoot, "node", with(ReadNode));
  ReadRequiredTable(aRoot, "listen", with(ReadListen));
  ReadRequiredTable(aRoot, "platform", with(ReadPlatform));
  aRoot.Table("peers", with(ReadPeers));
  aSettings.mMemoryBytes = MachineMemory();
  aRoot.Table("limits", with(ReadLimits));
  // The rest is for the routing, the upstreams and what the kernel buffers.
  constexpr std::size_t kAnswersPart = 5;
  auto& answers = aSettings.mAnswers;
  answers.mTotalBytes =
    std::min(answers.mTotalBytes, aSettings.mMemoryBytes / kAnswersPart);
  aRoot.Table("answers", with(ReadAnswers));
  // A body is copied to be sent, so that it takes this twice.
  constexpr std::size_t kRequestsPart = 10;
  aSettings.mRequestBytes =
    std::min(aSettings.mRequestBytes, aSettings.mMemoryBytes / kRequestsPart);
  aRoot.Table("requests", with(ReadRequests));
  aRoot.Table("bounds", with(ReadBounds));
  aRoot.Table("engines", with(ReadEngines));
  aRoot.Table("duties", with(ReadDuties));
  aRoot.Table("zones", [&](toml_table& aTable) {
    aSettings.mOwnZoneFirst = aTable.Flag("own_first", aSettings.mOwnZoneFirst);
  });
  aRoot.Table("log", [&](toml_table& aTable) {
    aSettings.mLogLevel = ReadLogLevel(aTable, "level", aSettings.mLogLevel);
  });
}

} // namespace

result<gateway_settings>
ParseGatewaySettings(std::string_view aText, std::string_view aFile)
{
  gateway_settings settings;
  BOOST_LEAF_CHECK(ReadToml(
    aText, aFile, [&](toml_table& aRoot) { ReadAll(aRoot, settings); }));
  return settings;
}

result<gateway_settings>
LoadGatewaySettings(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, ReadTextFile(aPath));
  return ParseGatewaySettings(text, aPath);
}

} // namespace sapphirespar
