// Sends the control thread's requests to upstreams: probes, load reports, cache
// events, orders and pauses.
#pragma once

#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/router/pause_sender.hpp"
#include "sapphirespar/upstream/health_tracker.hpp"
#include "sapphirespar/upstream/order_controller.hpp"
#include "sapphirespar/upstream/prefix_hints.hpp"
#include "sapphirespar/wire/http_client.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace sapphirespar::router {

namespace asio = boost::asio;

// Callbacks run on the executor given at construction.
class upstream_client
{
public:
  // If aTls is null, connections use plain TCP.
  upstream_client(asio::any_io_executor aExecutor, wire::tls_context_ptr aTls);

  // Checks over a new connection whether the upstream answers. An engine
  // answers with its load report; for a plain service the report is empty. The
  // callback receives nothing if the upstream does not answer.
  void Probe(const upstream_spec& aSpec, upstream::load_callback aDone);

  // Fetches an engine's load report.
  void FetchLoad(const upstream_spec& aSpec, upstream::load_callback aDone);

  // Fetches an engine's cache events, starting at number aFrom. The callback
  // receives nothing if the engine does not answer or provides no cache events.
  using cache_callback =
    std::function<void(std::optional<upstream::cache_report>)>;
  void FetchCacheEvents(const upstream_spec& aSpec,
                        std::uint64_t aFrom,
                        cache_callback aDone);

  // Sends an order to an engine with its fencing number.
  void SendOrder(const upstream_spec& aSpec,
                 const upstream::engine_order& aOrder,
                 std::uint64_t aFence,
                 upstream::order_reply_callback aDone);

  // Pauses or resumes a running request at an engine.
  void SetPaused(const upstream_spec& aSpec,
                 const request_id& aRequest,
                 bool aPaused,
                 pause_callback aDone);

private:
  using response_callback =
    std::function<void(wire::wire_result<wire::http_response>)>;
  void Fetch(const upstream_spec& aSpec,
             wire::http_request aRequest,
             wire::connection_choice aChoice,
             response_callback aDone);
  void FetchReport(const upstream_spec& aSpec,
                   wire::connection_choice aChoice,
                   upstream::load_callback aDone);

  asio::any_io_executor mExecutor;
  std::shared_ptr<wire::http_client> mClient;
};

} // namespace sapphirespar::router
