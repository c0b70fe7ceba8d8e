// The control thread's calls to upstreams: probes, load reports, pauses.
#pragma once

#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/upstream/health_tracker.hpp"
#include "sapphirespar/wire/http_client.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

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

  // Pauses a running request at an engine, or lets it go on. Nothing is told
  // of the result: a request that was not paused just goes on.
  void SetPaused(const upstream_spec& aSpec,
                 const request_id& aRequest,
                 bool aPaused);

private:
  void Ask(const upstream_spec& aSpec,
           wire::connection_choice aChoice,
           upstream::load_callback aDone);

  asio::any_io_executor mExecutor;
  std::shared_ptr<wire::http_client> mClient;
};

} // namespace sapphirespar::router
