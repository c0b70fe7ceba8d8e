// Asks upstreams how they are, over connections of its own.
#pragma once

#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/upstream/health_tracker.hpp"
#include "sapphirespar/wire/http_client.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace sapphirespar::router {

namespace asio = boost::asio;

// Callbacks arrive on the executor given.
class upstream_probe
{
public:
  // A null context speaks plain TCP.
  upstream_probe(asio::any_io_executor aExecutor, wire::tls_context_ptr aTls);

  // Asks over a fresh connection whether the upstream answers at all. A plain
  // service that answers gives an empty report.
  void Probe(const upstream_spec& aSpec, upstream::load_callback aDone);

  // Fetches an engine's load report.
  void FetchLoad(const upstream_spec& aSpec, upstream::load_callback aDone);

private:
  void Ask(const upstream_spec& aSpec,
           wire::connection_choice aChoice,
           upstream::load_callback aDone);

  asio::any_io_executor mExecutor;
  std::shared_ptr<wire::http_client> mClient;
};

} // namespace sapphirespar::router
