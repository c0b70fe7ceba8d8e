// The platform client: builds requests, and maps answers and their loss.
#include "sapphirespar/wire/platform_client.hpp"

#include "platform_answer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <functional>
#include <utility>

namespace sapphirespar::wire {
namespace {

using std::chrono::milliseconds;

// What a failed call may have done at the store.
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

// A server that answers 503 says that it did nothing; any other failure of
// its own leaves a write in doubt.
platform_status
StatusOfHttp(unsigned aStatus, call_effect aEffect)
{
  switch (aStatus) {
    case 200:
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

http_request
WriteRequest(std::string aMethod,
             const object_key& aKey,
             object_version aExpected,
             std::string aBody)
{
  http_request request;
  request.mMethod = std::move(aMethod);
  request.mTarget = ObjectTarget(aKey);
  request.mHeaders = { { "If-Match", std::to_string(aExpected) } };
  request.mBody = std::move(aBody);
  return request;
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
    } else {
      result.mStatus = StatusOfError(fetched.error(), aCall.mEffect);
      // The next call shall not travel on a connection that has gone silent.
      aState->mHttp.DropIdle(aState->mSettings.mPlatform);
    }
    if (aState->mAlive) {
      aDone(std::move(result));
    }
  }

  asio::any_io_executor mExecutor;
  platform_client_settings mSettings;
  http_client mHttp;
  // False once the client is gone: nobody waits for answers then.
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
                 auto answer = ToObjectAnswer(aResult, key);
                 if (answer.mStatus == platform_status::Ok) {
                   answer.mObject.mValue = std::move(aResult.mResponse.mBody);
                 }
                 aDone(std::move(answer));
               });
}

void
platform_client::List(std::string aKind, list_callback aDone)
{
  auto target = KindTarget(aKind);
  mState->Read(std::move(target),
               milliseconds::zero(),
               [kind = std::move(aKind), aDone](call_result aResult) {
                 aDone(ToListAnswer(std::move(aResult), kind));
               });
}

void
platform_client::Put(object_key aKey,
                     std::string aValue,
                     object_version aExpected,
                     object_callback aDone)
{
  auto request = WriteRequest("PUT", aKey, aExpected, aValue);
  mState->Write(std::move(request),
                [key = std::move(aKey), value = std::move(aValue), aDone](
                  call_result aResult) {
                  auto answer = ToObjectAnswer(std::move(aResult), key);
                  if (answer.mStatus == platform_status::Ok) {
                    answer.mObject.mValue = value;
                  }
                  aDone(std::move(answer));
                });
}

void
platform_client::Delete(object_key aKey,
                        object_version aExpected,
                        object_callback aDone)
{
  auto request = WriteRequest("DELETE", aKey, aExpected, {});
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
  auto target = KindTarget(aKind) + "?watch_from=" + std::to_string(aFrom) +
                "&wait_ms=" + std::to_string(aWait.count());
  mState->Read(std::move(target),
               aWait,
               [kind = std::move(aKind), aDone](call_result aResult) {
                 aDone(ToListAnswer(std::move(aResult), kind));
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
