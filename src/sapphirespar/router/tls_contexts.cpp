// Loads the TLS contexts from the files named in the settings.
#include "sapphirespar/router/tls_contexts.hpp"

#include "sapphirespar/wire/tls.hpp"

#include <stdexcept>

namespace sapphirespar::router {
namespace {

using context_maker = wire::tls_result (*)(const wire::tls_context_files&);

wire::tls_context_ptr
Load(const std::optional<tls_files>& aFiles, context_maker aMake)
{
  if (!aFiles) {
    return nullptr;
  }
  const wire::tls_context_files files{ aFiles->mCertificate,
                                       aFiles->mKey,
                                       aFiles->mAuthorities };
  const auto context = aMake(files);
  if (!context) {
    throw std::invalid_argument(context.error().mFile + ": " +
                                context.error().mProblem);
  }
  return context.value();
}

} // namespace

tls_contexts
LoadTls(const router_settings& aSettings)
{
  tls_contexts contexts;
  contexts.mCallers = Load(aSettings.mCallerTls, wire::MakeServerTls);
  contexts.mPeerServer = Load(aSettings.mPeerTls, wire::MakeServerTls);
  contexts.mPeerClient = Load(aSettings.mPeerTls, wire::MakeClientTls);
  contexts.mUpstreams = Load(aSettings.mUpstreamTls, wire::MakeClientTls);
  contexts.mPlatform = Load(aSettings.mPlatformTls, wire::MakeClientTls);
  return contexts;
}

} // namespace sapphirespar::router
