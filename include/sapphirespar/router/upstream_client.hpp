// The control thread's calls to upstreams: probes, load reports, pauses.
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

// Callbacks arrive on the executor given.
class upstream_client
{
public:
  // A null context speaks plain TCP.
  upstream_client(asio::any_io_executor aExecutor, wire::tls_context_ptr aTls);

  // Asks over a fresh connection whether the upstream answers at all. A plain
  // service that answers gives an empty report.
  void Probe(const upstream_spec& aSpec, upstream::load_callback aDone);

  // Fetches an engine's load report.
  void FetchLoad(const upstream_spec& aSpec, upstream::load_callback aDone);

  // Fetches an engine's cache events from a number on; nothing if it gives
  // none.
  using cache_callback =
    std::function<void(std::optional<upstream::cache_report>)>;
  void FetchCacheEvents(const upstream_spec& aSpec,
                        std::uint64_t aFrom,
                        cache_callback aDone);

  // Gives an engine an order with its fencing number.
  void SendOrder(const upstream_spec& aSpec,
                 const upstream::engine_order& aOrder,
                 std::uint64_t aFence,
                 upstream::order_reply_callback aDone);

  // Pauses a running request at an engine, or lets it go on.
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
