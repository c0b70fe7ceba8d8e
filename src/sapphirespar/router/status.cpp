// Builds the JSON document of the status endpoint.
#include "sapphirespar/router/status.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>

namespace sapphirespar::router {
namespace {

namespace json = boost::json;

std::int64_t
AgeMs(steady_time aThen, steady_time aNow)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aThen)
    .count();
}

json::object
ToJson(const bundle_version& aVersion)
{
  return { { "epoch", aVersion.mEpoch }, { "number", aVersion.mNumber } };
}

json::object
ToJson(const member& aMember, steady_time aNow)
{
  return {
    { "vm", aMember.mProcess.mVm.mText },
    { "incarnation", aMember.mProcess.mIncarnation },
    { "data_centre", aMember.mDataCentre.mText },
    { "address", aMember.mAddress },
    { "port", aMember.mPort },
    { "peer_port", aMember.mPeerPort },
    { "state", ToText(aMember.mState) },
    { "bundle", ToJson(aMember.mBundle) },
    { "heard_ms_ago", AgeMs(aMember.mLastHeard, aNow) },
  };
}

json::object
ToJson(const upstream_status& aStatus, steady_time aNow)
{
  json::value loaded;
  if (aStatus.mLoaded) {
    auto& models = loaded.emplace_array();
    std::ranges::transform(
      *aStatus.mLoaded, std::back_inserter(models), [](const auto& aModel) {
        return json::value(aModel.mText);
      });
  }
  return {
    { "upstream", aStatus.mId.mText },
    { "state", ToText(aStatus.mState) },
    { "relative_speed", aStatus.mRelativeSpeed },
    { "reported_running", aStatus.mReportedRunning },
    { "reported_queued", aStatus.mReportedQueued },
    { "reported_ms_ago", AgeMs(aStatus.mReportedAt, aNow) },
    { "loaded", std::move(loaded) },
  };
}

json::object
ToJson(const pool_load& aLoad)
{
  return {
    { "pool", aLoad.mPool },
    { "slots", aLoad.mSlots },
    { "outstanding", aLoad.mOutstanding },
    { "queued", aLoad.mQueued },
  };
}

// Returns a JSON array of the results of aConvert for all items.
template<class Range, class Convert>
json::array
ToArray(const Range& aRange, Convert aConvert)
{
  json::array array;
  for (const auto& item : aRange) {
    array.push_back(aConvert(item));
  }
  return array;
}

} // namespace

std::string
StatusJson(const blackboard& aBoard,
           std::span<const pool_load> aQueues,
           steady_time aNow)
{
  const auto version =
    aBoard.mBundle ? aBoard.mBundle->mVersion : bundle_version{};
  const json::object status{
    { "vm", aBoard.mSelf.mVm.mText },
    { "incarnation", aBoard.mSelf.mIncarnation },
    { "data_centre", aBoard.mDataCentre.mText },
    { "leaving", aBoard.mLeaving },
    { "bundle", ToJson(version) },
    { "platform_up", aBoard.mPlatformUp },
    { "members",
      ToArray(aBoard.mMembers,
              [&](const auto& aItem) { return ToJson(aItem.second, aNow); }) },
    { "upstreams",
      ToArray(aBoard.mUpstreams,
              [&](const auto& aItem) { return ToJson(aItem.second, aNow); }) },
    { "queues",
      ToArray(aQueues, [](const auto& aItem) { return ToJson(aItem); }) },
  };
  return json::serialize(status);
}

} // namespace sapphirespar::router
