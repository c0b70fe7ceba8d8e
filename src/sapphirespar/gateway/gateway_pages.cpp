// Pages that a gateway serves to callers, the platform and other gateways, and
// copies of the store that it fetches from these.
#include "gateway_app_state.hpp"

#include "part_settings.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kStatusPath = "/v1/status";
constexpr std::string_view kMetricsPath = "/metrics";
constexpr auto kNoPage = "no such page\n";

} // namespace

wire::http_response
gateway_app::state::ServeReadiness(const wire::http_target& aTarget)
{
  return aTarget.mPath == mProtocol.mReadinessPath ? ReadinessPage(IsReady())
                                                   : TextResponse(404, kNoPage);
}

wire::http_response
gateway_app::state::ServeEntry(const wire::http_target& aTarget)
{
  if (aTarget.mPath != mProtocol.mEntryPath) {
    return TextResponse(404, kNoPage);
  }
  mMetrics.Count("gateway_entry_answers_total");
  auto points = mPeers.EntryPoints(mTimers.Now());
  std::ranges::shuffle(points, mRandom);
  if (IsReady()) {
    points.insert(points.begin(),
                  { mSettings.mCallers.mAddress, mSettings.mCallers.mPort });
  }
  const auto ttl = std::min(kEntryTtl, mSettings.mEntryTtl);
  return EntryPage(mProtocol, std::move(points), ttl);
}

wire::http_response
gateway_app::state::ServeAdmin(const wire::http_target& aTarget)
{
  if (aTarget.mPath == kMetricsPath) {
    const auto status = Status();
    mMetrics.Set(
      "log_lines_dropped", {}, static_cast<double>(DroppedLogLines()));
    mMetrics.Set(
      "gateway_upstreams", {}, static_cast<double>(status.mUpstreams));
    mMetrics.Set("gateway_gateways", {}, status.mGateways);
    mMetrics.Set("gateway_unreadable_entries",
                 {},
                 static_cast<double>(status.mUnreadableEntries.size()));
    if (mDuties) {
      const auto duties = mDuties->Gossip();
      mMetrics.Set("duties_token", {}, static_cast<double>(duties.mToken));
      mMetrics.Set(
        "duties_fixed_window", {}, static_cast<double>(duties.mFixedWindow));
    }
    return TextResponse(200, mMetrics.Render());
  }
  if (aTarget.mPath == kStatusPath) {
    return StatusPage(Status());
  }
  if (aTarget.mPath == kStoreSnapshotPath) {
    const auto known = ParseKnownVersions(aTarget.mQuery);
    auto snapshot = mReader.Snapshot(known);
    const bool wanted = known.mWantsGateways || known.mRoutingVersion == 0;
    if (snapshot && wanted && mPeers.HasGatewayList()) {
      snapshot->mGateways = mPeers.Contacts();
      snapshot->mGateways.push_back(
        { mSettings.mVm, mSettings.mGossip.mAddress });
    }
    return snapshot
             ? wire::JsonResponse(200, EncodeStoreSnapshot(*snapshot, mPacker))
             : TextResponse(503, "nothing read yet\n");
  }
  return TextResponse(404, kNoPage);
}

gateway_status
gateway_app::state::Status() const
{
  gateway_status status;
  status.mReady = IsReady();
  status.mLeaving = IsLeaving();
  status.mRouting = mRouting.Version();
  if (const auto age = mRouting.Age(BootNow())) {
    status.mRoutingAge = std::chrono::duration_cast<milliseconds>(*age);
  }
  status.mUpstreams = mUpstreams.Size();
  status.mGateways = mPeers.MaximumGateways(mTimers.Now());
  status.mUnreadableEntries = mReader.UnreadableEntries();
  return status;
}

std::optional<wire::endpoint>
gateway_app::state::AdminEndpoint(const std::optional<vm_id>& aVm)
{
  wire::endpoint endpoint;
  if (aVm) {
    const auto* peer = mPeers.Find(*aVm);
    if (peer == nullptr) {
      return std::nullopt;
    }
    endpoint.mAddress = peer->mAddress;
    endpoint.mPort = peer->mAdminPort;
    return endpoint;
  }
  const auto points = mPeers.AdminPoints(mTimers.Now());
  if (points.empty()) {
    return std::nullopt;
  }
  const auto& point = points[mRandom() % points.size()];
  endpoint.mAddress = point.mAddress;
  endpoint.mPort = point.mPort;
  return endpoint;
}

void
gateway_app::state::FetchSnapshot(const std::optional<vm_id>& aVm,
                                  const known_versions& aKnown,
                                  snapshot_callback aDone)
{
  auto endpoint = AdminEndpoint(aVm);
  if (!endpoint) {
    boost::asio::post(mContext, [aDone] { aDone(std::nullopt); });
    return;
  }
  const auto fetch = [](wire::http_client& aClient,
                        wire::endpoint aEndpoint,
                        std::string aTarget,
                        snapshot_callback aThen) -> asio::awaitable<void> {
    wire::http_request request;
    request.mTarget = std::move(aTarget);
    const auto answer = co_await aClient.Fetch(
      std::move(aEndpoint), std::move(request), kPeerTimeout);
    const bool read = answer && answer.value().mStatus == 200;
    aThen(read ? DecodeStoreSnapshot(answer.value().mBody) : std::nullopt);
  };
  auto addContacts =
    [this, done = std::move(aDone)](std::optional<store_snapshot> aSnapshot) {
      if (aSnapshot && !aSnapshot->mGateways.empty()) {
        mPeers.AddContacts(aSnapshot->mGateways, mTimers.Now());
      }
      done(std::move(aSnapshot));
    };
  boost::asio::co_spawn(mContext,
                        fetch(mPeerClient,
                              std::move(*endpoint),
                              SnapshotTarget(aKnown),
                              std::move(addContacts)),
                        boost::asio::detached);
}

} // namespace sapphirespar::gateway
