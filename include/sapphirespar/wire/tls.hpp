// Creates TLS contexts from PEM files.
#pragma once

#include "sapphirespar/wire/byte_stream.hpp"

#include <boost/outcome/result.hpp>

#include <string>

namespace sapphirespar::wire {

struct tls_context_files
{
  // Certificate chain and private key. Required for a server; a client presents
  // them if they are given.
  std::string mCertificate;
  std::string mKey;
  // Certificates of the authorities that must have signed the peer's
  // certificate. Required for a client; a server that has them requires a
  // client certificate.
  std::string mAuthorities;
};

// The file that could not be used, and the reason.
struct tls_failure
{
  std::string mFile;
  std::string mProblem;
};

using tls_result =
  boost::outcome_v2::basic_result<tls_context_ptr,
                                  tls_failure,
                                  boost::outcome_v2::policy::all_narrow>;

tls_result MakeServerTls(const tls_context_files& aFiles);
tls_result MakeClientTls(const tls_context_files& aFiles);

} // namespace sapphirespar::wire
