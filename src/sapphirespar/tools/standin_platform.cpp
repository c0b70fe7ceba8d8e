// The stand-in platform's HTTP API, rate limits and faults.
#include "sapphirespar/tools/standin_platform.hpp"

#include "object_store.hpp"
#include "standin_http.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <list>

namespace sapphirespar::tools {
namespace {

using steady_time = std::chrono::steady_clock::time_point;

// A rate limiter that allows bursts of one second's worth of calls.
class token_bucket
{
public:
  explicit token_bucket(double aPerSecond)
    : mPerSecond(aPerSecond)
    , mAvailable(aPerSecond)
  {
  }

  bool Admit(steady_time aNow)
  {
    const std::chrono::duration<double> passed = aNow - mLast;
    mLast = aNow;
    mAvailable = std::min(mPerSecond, mAvailable + passed.count() * mPerSecond);
    if (mAvailable < 1) {
      return false;
    }
    mAvailable -= 1;
    return true;
  }

private:
  double mPerSecond;
  double mAvailable;
  steady_time mLast = std::chrono::steady_clock::now();
};

struct platform_faults
{
  // Every call is answered with 503 and has no effect.
  bool mOutage = false;
  // Every call is answered with 429 and has no effect.
  bool mThrottle = false;
  // Watches end immediately with 503.
  bool mBreakWatches = false;
  // Delay before each call is processed.
  std::chrono::milliseconds mDelay{ 0 };
  // Age of the list of VMs that is served.
  std::chrono::milliseconds mListLag{ 0 };
  // This many of the next writes take effect but get no response.
  unsigned mResponsesToDrop = 0;
};

struct platform_counts
{
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mWatches = 0;
  std::uint64_t mVmLists = 0;
  std::uint64_t mThrottled = 0;
};

struct vm_list_version
{
  steady_time mSince;
  std::string mBody;
};

struct platform_state
{
  explicit platform_state(platform_settings aSettings)
    : mSettings(std::move(aSettings))
    , mStore(mSettings.mMaxChanges)
    , mReadLimiter(mSettings.mReadsPerSecond)
    , mWriteLimiter(mSettings.mWritesPerSecond)
  {
    mVmLists.push_back({ steady_time{}, R"({"vms":[]})" });
  }

  platform_settings mSettings;
  object_store mStore;
  // Brought back by a restore.
  object_store mCopy{ mStore };
  store_era mEra = 1;
  token_bucket mReadLimiter;
  token_bucket mWriteLimiter;
  platform_faults mFaults;
  platform_counts mCounts;
  // Oldest first; never empty.
  std::deque<vm_list_version> mVmLists;
  // Timers of waiting watches. Every change of an object or fault cancels them.
  std::list<asio::steady_timer*> mWatchTimers;
};

using std::chrono::milliseconds;

void
WakeWatches(platform_state& aState)
{
  for (auto* timer : aState.mWatchTimers) {
    timer->cancel();
  }
}

// Returns an object in the API's JSON format. The stored value is the JSON text
// of the "spec" member.
json::object
ToJson(const platform_object& aObject)
{
  json::object metadata;
  metadata["name"] = aObject.mKey.mName;
  metadata["revision"] = aObject.mVersion;
  metadata["finalizers"] = json::array();
  metadata["deletion_pending"] = false;
  json::object item;
  item["metadata"] = std::move(metadata);
  item["spec"] =
    aObject.mValue.empty() ? json::value() : json::parse(aObject.mValue);
  item["status"] = nullptr;
  return item;
}

// Returns one page of the objects whose names are greater than aAfter.
wire::http_response
ListPage(const platform_state& aState,
         const std::string& aKind,
         std::string_view aAfter)
{
  const auto objects = aState.mStore.List(aKind);
  json::array items;
  bool more = false;
  for (const auto& object : objects) {
    if (object.mKey.mName <= aAfter) {
      continue;
    }
    more = items.size() >= aState.mSettings.mPageSize;
    if (more) {
      break;
    }
    items.push_back(ToJson(object));
  }
  json::object body;
  body["entries"] = std::move(items);
  body["has_more"] = more;
  body["at"] = aState.mStore.Version();
  return JsonResponse(200, body);
}

wire::http_response
EventsResponse(object_version aVersion,
               const std::vector<platform_object>& aChanges)
{
  json::array events;
  for (const auto& change : aChanges) {
    json::object event;
    event["deleted"] = change.mDeleted;
    event["object"] = ToJson(change);
    events.push_back(std::move(event));
  }
  json::object body;
  body["events"] = std::move(events);
  body["at"] = aVersion;
  return JsonResponse(200, body);
}

wire::http_response
ReadObject(const platform_state& aState, const object_key& aKey)
{
  const auto* object = aState.mStore.Find(aKey);
  if (object == nullptr) {
    return ErrorResponse(404, "no such object");
  }
  return JsonResponse(200, ToJson({ aKey, object->mVersion, object->mValue }));
}

// Returns the response to a write, with the object in its current state.
wire::http_response
WriteResponse(const platform_state& aState, const object_answer& aAnswer)
{
  if (aAnswer.mStatus == platform_status::NotFound) {
    return ErrorResponse(404, "no such object");
  }
  const bool written = aAnswer.mStatus == platform_status::Ok;
  auto response = ReadObject(aState, aAnswer.mObject.mKey);
  if (response.mStatus == 404) {
    // This call deleted the object, so it has no current state.
    return JsonResponse(200, ToJson(aAnswer.mObject));
  }
  response.mStatus = written ? 200 : 409;
  return response;
}

// A write request: the expected version of the object and its new value.
struct object_write
{
  std::string mName;
  object_version mExpected = kNoObject;
  std::string mSpec;
};

std::optional<object_write>
ParseWrite(const wire::http_request& aRequest)
{
  const auto body = ParseObject(aRequest.mBody);
  const auto* metadata = body ? body->if_contains("metadata") : nullptr;
  const auto* spec = body ? body->if_contains("spec") : nullptr;
  if (metadata == nullptr || !metadata->is_object() || spec == nullptr) {
    return std::nullopt;
  }
  object_write write;
  write.mName = TextOr(metadata->get_object(), "name", "");
  write.mExpected = static_cast<object_version>(
    NumberOr(metadata->get_object(), "revision", kNoObject));
  write.mSpec = json::serialize(*spec);
  return write;
}

wire::http_response
PutObject(platform_state& aState,
          const wire::http_request& aRequest,
          object_key aKey)
{
  const auto write = ParseWrite(aRequest);
  if (!write) {
    return ErrorResponse(400, "expected a JSON object with metadata and spec");
  }
  if (write->mSpec.size() > kObjectLimitBytes) {
    return ErrorResponse(413, "the value is over one megabyte");
  }
  const bool creates = aRequest.mMethod == "POST";
  if (creates) {
    aKey.mName = write->mName;
  } else if (aState.mStore.Find(aKey) == nullptr) {
    return ErrorResponse(404, "no such object");
  }
  const auto expected = creates ? kNoObject : write->mExpected;
  return WriteResponse(aState, aState.mStore.Put(aKey, write->mSpec, expected));
}

wire::http_response
WriteObject(platform_state& aState,
            const wire::http_request& aRequest,
            object_key aKey)
{
  const auto versionBefore = aState.mStore.Version();
  wire::http_response response;
  if (aRequest.mMethod == "DELETE") {
    const auto query = wire::SplitTarget(aRequest.mTarget).mQuery;
    const auto expected = QueryNumber(query, "revision", kNoObject);
    response = WriteResponse(aState, aState.mStore.Delete(aKey, expected));
  } else {
    response = PutObject(aState, aRequest, std::move(aKey));
  }
  if (aState.mStore.Version() != versionBefore) {
    WakeWatches(aState);
  }
  return response;
}

// Waits until an object of the kind changes after version aFrom, for at most
// aWait, and returns the changes, if any.
asio::awaitable<wire::http_response>
Watch(platform_state& aState,
      std::string aKind,
      object_version aFrom,
      milliseconds aWait,
      wire::http_reply& aReply)
{
  constexpr milliseconds kPollInterval{ 200 };
  asio::steady_timer timer(co_await asio::this_coro::executor);
  const auto end = std::chrono::steady_clock::now() + aWait;
  while (true) {
    if (aState.mFaults.mOutage || aState.mFaults.mBreakWatches) {
      co_return ErrorResponse(503, "the platform is away");
    }
    if (!aState.mStore.HasChangesAfter(aFrom)) {
      co_return ErrorResponse(410, "the start version is no longer kept");
    }
    const auto changes = aState.mStore.Changes(aKind, aFrom);
    const auto now = std::chrono::steady_clock::now();
    if (!changes.empty() || now >= end || aReply.CallerDisconnected()) {
      co_return EventsResponse(aState.mStore.Version(), changes);
    }
    const auto remaining =
      std::chrono::duration_cast<std::chrono::microseconds>(end - now);
    const auto position =
      aState.mWatchTimers.insert(aState.mWatchTimers.end(), &timer);
    co_await WaitForWake(
      timer, std::min<std::chrono::microseconds>(remaining, kPollInterval));
    aState.mWatchTimers.erase(position);
  }
}

wire::http_response
ListVms(const platform_state& aState)
{
  const auto asOf = std::chrono::steady_clock::now() - aState.mFaults.mListLag;
  const auto& lists = aState.mVmLists;
  const auto newest = std::find_if(
    lists.rbegin(), lists.rend(), [&](const vm_list_version& aList) {
      return aList.mSince <= asOf;
    });
  return wire::JsonResponse(
    200, newest == lists.rend() ? lists.front().mBody : newest->mBody);
}

wire::http_response
ReplaceVms(platform_state& aState, const wire::http_request& aRequest)
{
  constexpr std::size_t kMaxVmLists = 100;
  if (!ParseObject(aRequest.mBody)) {
    return ErrorResponse(400, "expected a JSON object with \"vms\"");
  }
  aState.mVmLists.push_back(
    { std::chrono::steady_clock::now(), aRequest.mBody });
  if (aState.mVmLists.size() > kMaxVmLists) {
    aState.mVmLists.pop_front();
  }
  return JsonResponse(200, json::object());
}

wire::http_response
ServePlatformFaults(platform_faults& aFaults,
                    const wire::http_request& aRequest)
{
  const auto change = ParseObject(aRequest.mBody);
  if (aRequest.mMethod == "PUT" && !change) {
    return ErrorResponse(400, "expected a JSON object of faults");
  }
  if (change) {
    const auto number = [&](std::string_view aKey, auto aOld) {
      return static_cast<long>(
        NumberOr(*change, aKey, static_cast<double>(aOld)));
    };
    aFaults.mOutage = FlagOr(*change, "outage", aFaults.mOutage);
    aFaults.mThrottle = FlagOr(*change, "throttle", aFaults.mThrottle);
    aFaults.mBreakWatches =
      FlagOr(*change, "break_watches", aFaults.mBreakWatches);
    aFaults.mDelay = milliseconds(number("delay_ms", aFaults.mDelay.count()));
    aFaults.mListLag =
      milliseconds(number("list_lag_ms", aFaults.mListLag.count()));
    aFaults.mResponsesToDrop =
      static_cast<unsigned>(number("lose_answers", aFaults.mResponsesToDrop));
  }
  json::object body;
  body["outage"] = aFaults.mOutage;
  body["throttle"] = aFaults.mThrottle;
  body["break_watches"] = aFaults.mBreakWatches;
  body["delay_ms"] = aFaults.mDelay.count();
  body["list_lag_ms"] = aFaults.mListLag.count();
  body["lose_answers"] = aFaults.mResponsesToDrop;
  return JsonResponse(200, body);
}

wire::http_response
StatsResponse(const platform_counts& aCounts)
{
  json::object body;
  body["reads"] = aCounts.mReads;
  body["writes"] = aCounts.mWrites;
  body["watches"] = aCounts.mWatches;
  body["vm_lists"] = aCounts.mVmLists;
  body["throttled"] = aCounts.mThrottled;
  return JsonResponse(200, body);
}

// Keeps a copy of the store.
wire::http_response
TakeCopy(platform_state& aState)
{
  aState.mCopy = aState.mStore;
  return JsonResponse(200, json::object{ { "at", aState.mCopy.Version() } });
}

// Brings the last copy back, which loses what was written since.
wire::http_response
Restore(platform_state& aState)
{
  aState.mStore = aState.mCopy;
  ++aState.mEra;
  WakeWatches(aState);
  return JsonResponse(200, json::object{ { "era", aState.mEra } });
}

// Serves the pages that control the stand-in, which no fault affects. Returns
// nothing for the pages of the platform's API.
std::optional<wire::http_response>
ServeControlPages(platform_state& aState, const wire::http_request& aRequest)
{
  const auto path = wire::SplitTarget(aRequest.mTarget).mPath;
  if (path == "/faults") {
    auto response = ServePlatformFaults(aState.mFaults, aRequest);
    WakeWatches(aState);
    return response;
  }
  if (path == "/stats") {
    return StatsResponse(aState.mCounts);
  }
  if (path == "/copy" && aRequest.mMethod == "PUT") {
    return TakeCopy(aState);
  }
  if (path == "/restore" && aRequest.mMethod == "PUT") {
    return Restore(aState);
  }
  if (path == "/vms" && aRequest.mMethod == "PUT") {
    return ReplaceVms(aState, aRequest);
  }
  return std::nullopt;
}

// Returns whether a call is within its rate limit, and counts the call as
// admitted or throttled.
bool
Admit(platform_state& aState, bool aWrite)
{
  auto& limiter = aWrite ? aState.mWriteLimiter : aState.mReadLimiter;
  if (aState.mFaults.mThrottle ||
      !limiter.Admit(std::chrono::steady_clock::now())) {
    ++aState.mCounts.mThrottled;
    return false;
  }
  ++(aWrite ? aState.mCounts.mWrites : aState.mCounts.mReads);
  return true;
}

// Serves the platform's own API: the list of VMs and the objects.
asio::awaitable<wire::http_response>
ServeApi(platform_state& aState,
         const wire::http_request& aRequest,
         wire::http_reply& aReply)
{
  const auto target = wire::SplitTarget(aRequest.mTarget);
  const auto parts = SplitPath(target.mPath);
  if (target.mPath == "/vms") {
    ++aState.mCounts.mVmLists;
    co_return ListVms(aState);
  }
  if (parts.size() < 2 || parts.size() > 3 || parts[0] != "objects") {
    co_return ErrorResponse(404, "no such page");
  }
  object_key key{ std::string(parts[1]), {} };
  if (parts.size() == 3) {
    key.mName = parts[2];
  }
  if (aRequest.mMethod != "GET") {
    co_return WriteObject(aState, aRequest, std::move(key));
  }
  if (parts.size() == 3) {
    co_return ReadObject(aState, key);
  }
  auto kind = std::move(key.mKind);
  if (wire::QueryValue(target.mQuery, "watch").empty()) {
    const auto after = wire::QueryValue(target.mQuery, "after");
    co_return ListPage(aState, kind, after);
  }
  ++aState.mCounts.mWatches;
  const auto from = QueryNumber(target.mQuery, "watch", 0);
  const milliseconds wait(QueryNumber(target.mQuery, "wait_ms", 0));
  co_return co_await Watch(aState, std::move(kind), from, wait, aReply);
}

asio::awaitable<void>
Handle(platform_state& aState,
       const wire::http_request& aRequest,
       wire::http_reply& aReply)
{
  auto control = ServeControlPages(aState, aRequest);
  if (control) {
    co_await aReply.Send(std::move(*control));
    co_return;
  }
  co_await Sleep(aState.mFaults.mDelay);
  const auto send =
    [&](wire::http_response aResponse) -> asio::awaitable<void> {
    aResponse.mHeaders.push_back({ "Store-Era", std::to_string(aState.mEra) });
    co_await aReply.Send(std::move(aResponse));
  };
  if (aState.mFaults.mOutage) {
    co_await send(ErrorResponse(503, "the platform is away"));
    co_return;
  }
  const bool write = aRequest.mMethod != "GET";
  if (!Admit(aState, write)) {
    co_await send(ErrorResponse(429, "too many calls"));
    co_return;
  }
  auto response = co_await ServeApi(aState, aRequest, aReply);
  if (write && aState.mFaults.mResponsesToDrop > 0) {
    --aState.mFaults.mResponsesToDrop;
    co_return;
  }
  co_await send(std::move(response));
}

} // namespace

standin_platform::standin_platform(asio::io_context& aContext,
                                   platform_settings aSettings)
{
  const auto address = aSettings.mAddress;
  const auto port = aSettings.mPort;
  auto state = std::make_shared<platform_state>(std::move(aSettings));
  mServer = StartServer(
    aContext,
    address,
    port,
    [state](const wire::http_request& aRequest, wire::http_reply& aReply) {
      return Handle(*state, aRequest, aReply);
    });
}

standin_platform::~standin_platform() = default;

std::uint16_t
standin_platform::Port() const
{
  return mServer->Port();
}

} // namespace sapphirespar::tools
