// Takes usage reports and compares them with earlier ones.
#include "sapphirespar/soak/duty_platform.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace sapphirespar::soak {

duty_platform::duty_platform(asio::io_context& aContext, violation_hook aBroken)
  : mContext(aContext)
  , mBroken(std::move(aBroken))
{
  const std::array workers{ &mContext };
  mServer = std::make_unique<wire::http_server>(
    mContext,
    workers,
    wire::http_server_settings{},
    [this](const wire::http_request& aRequest, wire::http_reply& aReply) {
      return Handle(aRequest, aReply);
    });
}

asio::awaitable<void>
duty_platform::Handle(const wire::http_request& aRequest,
                      wire::http_reply& aReply)
{
  wire::http_response response;
  response.mStatus = Accept(aRequest);
  if (mSilent) {
    // Longer than any caller waits.
    asio::steady_timer timer(mContext, std::chrono::seconds(5));
    co_await timer.async_wait(asio::use_awaitable);
    co_return;
  }
  co_await aReply.Send(std::move(response));
}

unsigned
duty_platform::Accept(const wire::http_request& aRequest)
{
  constexpr unsigned kDone = 200;
  constexpr unsigned kOldToken = 409;
  const std::string holder(aRequest.Header("X-Lease-Holder"));
  const auto text = aRequest.Header("X-Fencing-Token");
  std::uint64_t token = 0;
  std::from_chars(text.data(), text.data() + text.size(), token);
  if (token < mHighest) {
    return kOldToken;
  }
  mHighest = token;
  if (mHolders.try_emplace(token, holder).first->second != holder) {
    mBroken("two holders send one fencing token", holder);
  }
  // The body begins with the window: {"window_id":N,...
  const auto window = aRequest.mBody.substr(0, aRequest.mBody.find(','));
  const auto known = mReports.try_emplace(window, aRequest.mBody).first;
  if (known->second != aRequest.mBody) {
    mBroken("two reports of one window", holder);
  }
  return kDone;
}

} // namespace sapphirespar::soak
