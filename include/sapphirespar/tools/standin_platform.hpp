// A stand-in for the platform: its object API and its list of vms, in memory,
// with faults that can be switched over HTTP.
//
//   GET|PUT|DELETE /objects/{kind}/{name}   POST /objects/{kind}
//   GET /objects/{kind}[?after=NAME|?watch=N&wait_ms=M]
//   GET|PUT /vms   GET|PUT /faults   GET /stats
#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace sapphirespar::wire {
class http_server;
} // namespace sapphirespar::wire

namespace sapphirespar::tools {

struct platform_settings
{
  std::string mAddress = "127.0.0.1";
  // Zero takes any free port.
  std::uint16_t mPort = 0;
  // Rates above which calls are answered 429.
  double mReadsPerSecond = 2000;
  double mWritesPerSecond = 300;
  // Changes kept for watches; older start versions are answered 410.
  std::size_t mChangesKept = 10000;
  // Objects in one page of a list.
  std::size_t mPageSize = 500;
};

class standin_platform
{
public:
  // Throws boost::system::system_error if the address can't be bound.
  standin_platform(boost::asio::io_context& aContext,
                   platform_settings aSettings);
  ~standin_platform();
  standin_platform(const standin_platform&) = delete;
  standin_platform& operator=(const standin_platform&) = delete;

  std::uint16_t Port() const;

private:
  std::unique_ptr<wire::http_server> mServer;
};

} // namespace sapphirespar::tools
