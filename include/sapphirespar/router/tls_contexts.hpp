// Loads the TLS contexts that a router's settings describe.
#pragma once

#include "sapphirespar/config/settings.hpp"
#include "sapphirespar/wire/byte_stream.hpp"

namespace sapphirespar::router {

// A context is null if the settings specify plain TCP.
struct tls_contexts
{
  wire::tls_context_ptr mCallers;
  wire::tls_context_ptr mPeerServer;
  wire::tls_context_ptr mPeerClient;
  wire::tls_context_ptr mUpstreams;
  wire::tls_context_ptr mPlatform;
};

// Throws std::invalid_argument, naming the file, if a file can't be used.
tls_contexts LoadTls(const router_settings& aSettings);

} // namespace sapphirespar::router
