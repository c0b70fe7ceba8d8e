// A stand-in for a service such as a ledger. It counts the executed calls by
// idempotency key, so that a checker can audit every booking.
//
//   POST /{path}   GET /audit   GET /v1/load   GET|PUT /faults
#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace sapphirespar::wire {
class http_server;
} // namespace sapphirespar::wire

namespace sapphirespar::tools {

struct service_settings
{
  std::string mAddress = "127.0.0.1";
  // Zero selects any free port.
  std::uint16_t mPort = 0;
  // The "service" field of its responses.
  std::string mName = "ledger";
  std::chrono::microseconds mCallDuration{ 2000 };
};

class standin_service
{
public:
  // Throws boost::system::system_error if the address can't be bound. Serves
  // while aContext runs.
  standin_service(boost::asio::io_context& aContext,
                  service_settings aSettings);
  ~standin_service();
  standin_service(const standin_service&) = delete;
  standin_service& operator=(const standin_service&) = delete;

  std::uint16_t Port() const;

private:
  std::unique_ptr<wire::http_server> mServer;
};

} // namespace sapphirespar::tools
