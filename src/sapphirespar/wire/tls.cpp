// Creates TLS contexts with Asio and OpenSSL.
#include "sapphirespar/wire/tls.hpp"

#include <boost/asio/ssl/context.hpp>

#include <utility>

namespace sapphirespar::wire {
namespace {

using boost::system::error_code;
namespace ssl = asio::ssl;

tls_failure
Failure(const std::string& aFile, const error_code& aError)
{
  return { aFile, aError.message() };
}

tls_context_ptr
NewContext()
{
  auto context = std::make_shared<ssl::context>(ssl::context::tls);
  context->set_options(ssl::context::default_workarounds |
                       ssl::context::no_sslv2 | ssl::context::no_sslv3 |
                       ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);
  return context;
}

tls_result
WithCertificate(tls_context_ptr aContext, const tls_context_files& aFiles)
{
  error_code error;
  aContext->use_certificate_chain_file(aFiles.mCertificate, error);
  if (error) {
    return Failure(aFiles.mCertificate, error);
  }
  aContext->use_private_key_file(aFiles.mKey, ssl::context::pem, error);
  if (error) {
    return Failure(aFiles.mKey, error);
  }
  return aContext;
}

// Requires the peer to present a certificate signed by the authorities.
tls_result
WithAuthorities(tls_context_ptr aContext, const tls_context_files& aFiles)
{
  error_code error;
  aContext->load_verify_file(aFiles.mAuthorities, error);
  if (error) {
    return Failure(aFiles.mAuthorities, error);
  }
  aContext->set_verify_mode(ssl::verify_peer |
                            ssl::verify_fail_if_no_peer_cert);
  return aContext;
}

} // namespace

tls_result
MakeServerTls(const tls_context_files& aFiles)
{
  auto context = WithCertificate(NewContext(), aFiles);
  if (!context || aFiles.mAuthorities.empty()) {
    return context;
  }
  return WithAuthorities(std::move(context).value(), aFiles);
}

tls_result
MakeClientTls(const tls_context_files& aFiles)
{
  auto context = WithAuthorities(NewContext(), aFiles);
  if (!context || aFiles.mCertificate.empty()) {
    return context;
  }
  return WithCertificate(std::move(context).value(), aFiles);
}

} // namespace sapphirespar::wire
