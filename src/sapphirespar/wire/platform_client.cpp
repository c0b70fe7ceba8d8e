// The platform client: builds requests and maps responses and transport errors
// to platform statuses.
#include "sapphirespar/wire/platform_client.hpp"

#include "platform_answer.hpp"
#include "sapphirespar/base/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <charconv>
#include <functional>
#include <iterator>
#include <optional>
#include <string>
#include <utility>

namespace sapphirespar::wire {
namespace {

using std::chrono::milliseconds;

// Whether a failed call may have changed the store.
enum class call_effect
{
  ReadsOnly,
  Writes,
};

struct platform_call
{
  http_request mRequest;
  call_effect mEffect = call_effect::ReadsOnly;
  milliseconds mTimeout{ 0 };
};

std::string
PercentEncode(std::string_view aText)
{
  constexpr std::string_view kUnreserved =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char byte : aText) {
    if (kUnreserved.find(byte) != std::string_view::npos) {
      encoded += byte;
    } else {
      const auto code = static_cast<unsigned char>(byte);
      encoded += '%';
      encoded += kDigits[code >> 4U];
      encoded += kDigits[code & 15U];
    }
  }
  return encoded;
}

std::string
KindTarget(std::string_view aKind)
{
  return "/objects/" + PercentEncode(aKind);
}

std::string
ObjectTarget(const object_key& aKey)
{
  return KindTarget(aKey.mKind) + "/" + PercentEncode(aKey.mName);
}

// Returns the kind in a target that ObjectTarget or KindTarget has made, or the
// whole path of any other target.
std::string_view
KindOfTarget(std::string_view aTarget)
{
  const auto prefix = KindTarget("").size();
  const auto path = aTarget.substr(0, aTarget.find('?'));
  if (!path.starts_with(KindTarget(""))) {
    return path;
  }
  const auto kind = path.substr(prefix);
  return kind.substr(0, kind.find('/'));
}

// A 503 response means that the server did nothing. After any other server
// error the effect of a write is unknown.
platform_status
StatusOfHttp(unsigned aStatus, call_effect aEffect)
{
  switch (aStatus) {
    case 200:
    case 201:
    case 204:
      return platform_status::Ok;
    case 404:
      return platform_status::NotFound;
    case 409:
      return platform_status::Conflict;
    case 410:
      return platform_status::Compacted;
    case 413:
      return platform_status::TooLarge;
    case 429:
      return platform_status::Throttled;
    case 503:
      return platform_status::Unavailable;
    default:
      return aEffect == call_effect::Writes ? platform_status::Unknown
                                            : platform_status::Unavailable;
  }
}

platform_status
StatusOfError(const wire_error& aError, call_effect aEffect)
{
  return aError.mBytesWritten && aEffect == call_effect::Writes
           ? platform_status::Unknown
           : platform_status::Unavailable;
}

// Returns a request that creates the object if aExpected is kNoObject and
// replaces it otherwise.
http_request
PutRequest(const object_key& aKey,
           std::string_view aValue,
           object_version aExpected)
{
  const bool creates = aExpected == kNoObject;
  http_request request;
  request.mMethod = creates ? "POST" : "PUT";
  request.mTarget = creates ? KindTarget(aKey.mKind) : ObjectTarget(aKey);
  request.mHeaders = { { "Content-Type", "application/json" } };
  request.mBody = ObjectBody(aKey.mName, aValue, aExpected);
  return request;
}

http_request
DeleteRequest(const object_key& aKey, object_version aExpected)
{
  http_request request;
  request.mMethod = "DELETE";
  request.mTarget =
    ObjectTarget(aKey) + "?revision=" + std::to_string(aExpected);
  return request;
}

// Returns the era in the store's answer; nothing for a malformed one.
std::optional<store_era>
ParseEra(std::string_view aText)
{
  store_era era = 0;
  const auto* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, era);
  const bool valid = read.ec == std::errc{} && read.ptr == end;
  return valid ? std::optional(era) : std::nullopt;
}

} // namespace

struct platform_client::state : std::enable_shared_from_this<state>
{
  using result_callback = std::function<void(call_result)>;

  state(asio::any_io_executor aExecutor, platform_client_settings aSettings)
    : mExecutor(aExecutor)
    , mSettings(std::move(aSettings))
    , mHttp(std::move(aExecutor), ClientSettings(mSettings))
  {
  }

  static http_client_settings ClientSettings(
    const platform_client_settings& aSettings)
  {
    http_client_settings settings;
    settings.mConnectTimeout = aSettings.mTimeout;
    settings.mTls = aSettings.mTls;
    return settings;
  }

  void Call(platform_call aCall, result_callback aDone)
  {
    if (mSettings.mOnCall) {
      mSettings.mOnCall(aCall.mRequest.mMethod,
                        KindOfTarget(aCall.mRequest.mTarget));
    }
    asio::co_spawn(mExecutor,
                   Run(shared_from_this(), std::move(aCall), std::move(aDone)),
                   asio::detached);
  }

  void Read(std::string aTarget, milliseconds aWait, result_callback aDone)
  {
    platform_call call;
    call.mRequest.mTarget = std::move(aTarget);
    call.mTimeout = mSettings.mTimeout + aWait;
    Call(std::move(call), std::move(aDone));
  }

  // Lists the objects after the name aAfter, page by page. aSoFar holds the
  // objects of the earlier pages.
  void ListFrom(std::string aKind,
                std::string aAfter,
                list_answer aSoFar,
                list_callback aDone)
  {
    auto target = KindTarget(aKind);
    if (!aAfter.empty()) {
      target += "?after=" + PercentEncode(aAfter);
    }
    Read(std::move(target),
         milliseconds::zero(),
         [this,
          kind = std::move(aKind),
          after = std::move(aAfter),
          soFar = std::move(aSoFar),
          aDone](call_result aResult) mutable {
           auto page = ToListPage(std::move(aResult), kind);
           if (page.mAnswer.mStatus != platform_status::Ok) {
             aDone(std::move(page.mAnswer));
             return;
           }
           const bool first = soFar.mStatus != platform_status::Ok;
           if (!first && page.mAnswer.mEra != soFar.mEra) {
             // Pages of two eras make no list.
             list_answer mixed;
             mixed.mEra = page.mAnswer.mEra;
             aDone(std::move(mixed));
             return;
           }
           soFar.mEra = page.mAnswer.mEra;
           soFar.mStatus = platform_status::Ok;
           // The version of the first page: a watch from there also reports
           // changes made while the later pages were read.
           soFar.mVersion = first ? page.mAnswer.mVersion : soFar.mVersion;
           std::ranges::move(page.mAnswer.mObjects,
                             std::back_inserter(soFar.mObjects));
           if (page.mHasMore) {
             auto last =
               soFar.mObjects.empty() ? "" : soFar.mObjects.back().mKey.mName;
             if (last <= after) {
               LogEvent(log_level::Warning,
                        "store_page_repeats",
                        { { "kind", kind }, { "after", after } });
               aDone(list_answer{});
               return;
             }
             ListFrom(kind, std::move(last), std::move(soFar), aDone);
             return;
           }
           aDone(std::move(soFar));
         });
  }

  // Returns zero if the answer tells no era. Logs each change to a malformed or
  // a missing one.
  store_era ReadEra(const http_response& aResponse)
  {
    const std::string text(aResponse.Header("Store-Era"));
    const auto era = ParseEra(text);
    if (era) {
      mToldEra = true;
      mBadEra.reset();
    } else if (mToldEra || !text.empty()) {
      if (mBadEra != text) {
        LogEvent(log_level::Warning, "store_era_invalid", { { "told", text } });
      }
      mBadEra = text;
    }
    return era.value_or(0);
  }

  void Write(http_request aRequest, result_callback aDone)
  {
    platform_call call;
    call.mRequest = std::move(aRequest);
    call.mEffect = call_effect::Writes;
    call.mTimeout = mSettings.mTimeout;
    Call(std::move(call), std::move(aDone));
  }

  static asio::awaitable<void> Run(std::shared_ptr<state> aState,
                                   platform_call aCall,
                                   result_callback aDone)
  {
    const auto fetched = co_await aState->mHttp.Fetch(
      aState->mSettings.mPlatform, std::move(aCall.mRequest), aCall.mTimeout);
    call_result result;
    if (fetched) {
      result.mResponse = fetched.value();
      result.mStatus = StatusOfHttp(result.mResponse.mStatus, aCall.mEffect);
      result.mEra = aState->ReadEra(result.mResponse);
    } else {
      result.mStatus = StatusOfError(fetched.error(), aCall.mEffect);
      // The next call must not use an idle connection that has gone silent.
      aState->mHttp.DropIdle(aState->mSettings.mPlatform);
    }
    if (aState->mAlive) {
      aDone(std::move(result));
    }
  }

  asio::any_io_executor mExecutor;
  platform_client_settings mSettings;
  http_client mHttp;
  // An answer has told an era.
  bool mToldEra = false;
  // The malformed or missing era that was logged last.
  std::optional<std::string> mBadEra;
  // False once the client has been destroyed: callbacks are not called then.
  bool mAlive = true;
};

platform_client::platform_client(asio::any_io_executor aExecutor,
                                 platform_client_settings aSettings)
  : mState(std::make_shared<state>(std::move(aExecutor), std::move(aSettings)))
{
}

platform_client::~platform_client()
{
  mState->mAlive = false;
}

void
platform_client::Get(object_key aKey, object_callback aDone)
{
  auto target = ObjectTarget(aKey);
  mState->Read(std::move(target),
               milliseconds::zero(),
               [key = std::move(aKey), aDone](call_result aResult) {
                 aDone(ToObjectAnswer(std::move(aResult), key));
               });
}

void
platform_client::List(std::string aKind, list_callback aDone)
{
  mState->ListFrom(std::move(aKind), {}, {}, std::move(aDone));
}

void
platform_client::Put(object_key aKey,
                     std::string aValue,
                     object_version aExpected,
                     object_callback aDone)
{
  auto request = PutRequest(aKey, aValue, aExpected);
  mState->Write(std::move(request),
                [key = std::move(aKey), value = std::move(aValue), aDone](
                  call_result aResult) {
                  auto answer = ToWriteAnswer(std::move(aResult), key, value);
                  if (answer.mStatus == platform_status::NotFound) {
                    // The object to be replaced has been deleted.
                    answer.mStatus = platform_status::Conflict;
                    answer.mObject.mVersion = kNoObject;
                  }
                  aDone(std::move(answer));
                });
}

void
platform_client::Delete(object_key aKey,
                        object_version aExpected,
                        object_callback aDone)
{
  auto request = DeleteRequest(aKey, aExpected);
  mState->Write(
    std::move(request), [key = std::move(aKey), aDone](call_result aResult) {
      auto answer = ToObjectAnswer(std::move(aResult), key);
      answer.mObject.mDeleted = answer.mStatus == platform_status::Ok;
      aDone(std::move(answer));
    });
}

void
platform_client::Watch(std::string aKind,
                       object_version aFrom,
                       milliseconds aWait,
                       list_callback aDone)
{
  auto target = KindTarget(aKind) + "?watch=" + std::to_string(aFrom) +
                "&wait_ms=" + std::to_string(aWait.count());
  mState->Read(std::move(target),
               aWait,
               [kind = std::move(aKind), aDone](call_result aResult) {
                 aDone(ToWatchAnswer(std::move(aResult), kind));
               });
}

void
platform_client::ListVms(vm_list_callback aDone)
{
  mState->Read("/vms", milliseconds::zero(), [aDone](call_result aResult) {
    aDone(ToVmAnswer(std::move(aResult)));
  });
}

} // namespace sapphirespar::wire
