// The platform's interface for usage reports in a soak. Checks that each window
// is reported once, by one holder at a time.
#pragma once

#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sapphirespar::soak {

namespace asio = boost::asio;

class duty_platform
{
public:
  // Called with the promise that a call has broken, and the call's holder.
  using violation_hook =
    std::function<void(const std::string& aRule, const std::string& aHolder)>;

  // All references must outlive the platform.
  duty_platform(asio::io_context& aContext, violation_hook aBroken);

  std::uint16_t Port() const { return mServer->Port(); }

  // While silent, calls are carried out but get no answer.
  void SetSilent(bool aSilent) { mSilent = aSilent; }

  // The number of windows that were reported.
  std::size_t Reports() const { return mReports.size(); }

private:
  asio::awaitable<void> Handle(const wire::http_request& aRequest,
                               wire::http_reply& aReply);
  // Returns the status of the answer.
  unsigned Accept(const wire::http_request& aRequest);

  asio::io_context& mContext;
  const violation_hook mBroken;
  bool mSilent = false;
  std::uint64_t mHighest = 0;
  // Holders by token, and bodies by window.
  std::map<std::uint64_t, std::string> mHolders;
  std::map<std::string, std::string> mReports;
  std::unique_ptr<wire::http_server> mServer;
};

} // namespace sapphirespar::soak
