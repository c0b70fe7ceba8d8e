// Sends calls on connections of their own.
#include "duty_client.hpp"

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{ 2000 };
constexpr milliseconds kConnectTimeout{ 800 };

} // namespace

wire::http_client_settings
DutyClientSettings()
{
  wire::http_client_settings settings;
  settings.mConnectTimeout = kConnectTimeout;
  settings.mMaxIdlePerEndpoint = 0;
  return settings;
}

asio::awaitable<void>
SendDutyCall(wire::http_client& aClient,
             wire::endpoint aEndpoint,
             wire::http_request aRequest,
             wire::send_check aMaySend,
             std::function<duties::duty_reply(unsigned aStatus)> aRead,
             duties::duty_callback aDone)
{
  // Answers name no call, so that a second copy of one that comes late on a
  // kept connection would be taken for the answer to the next call.
  const auto opened = co_await aClient.Open(std::move(aEndpoint),
                                            std::move(aRequest),
                                            kCallTimeout,
                                            wire::connection_choice::Fresh,
                                            nullptr,
                                            std::move(aMaySend));
  if (!opened) {
    aDone(opened.error().mBytesWritten ? duties::duty_reply::Unknown
                                       : duties::duty_reply::Throttled);
    co_return;
  }
  aDone(aRead(opened.value()->Head().mStatus));
}

} // namespace sapphirespar::gateway
