// A stand-in for the platform: its object API and its list of VMs, kept in
// memory, with faults that can be set over HTTP.
//
//   GET|PUT|DELETE /objects/{kind}/{name}   POST /objects/{kind}
//   GET /objects/{kind}[?after=NAME|?watch=N&wait_ms=M]
//   GET|PUT /vms   GET|PUT /faults   GET /stats   PUT /copy   PUT /restore
//
// PUT /copy keeps a copy of the objects. PUT /restore brings it back and begins
// a new era, which every answer of the API tells in Store-Era.
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
  // Zero selects any free port.
  std::uint16_t mPort = 0;
  // Calls above these rates are answered with 429.
  double mReadsPerSecond = 2000;
  double mWritesPerSecond = 300;
  // Changes kept for watches. A watch from an older version is answered with
  // 410.
  std::size_t mMaxChanges = 10000;
  // Maximum number of objects in one page of a list.
  std::size_t mPageSize = 500;
};

class standin_platform
{
public:
  // Throws boost::system::system_error if the address can't be bound. Serves
  // while aContext runs.
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
