// TLS contexts from PEM files.
#pragma once

#include "sapphirespar/wire/byte_stream.hpp"

#include <boost/outcome/result.hpp>

#include <string>

namespace sapphirespar::wire {

struct tls_context_files
{
  // Required for a server; a client shows them if they are given.
  std::string mCertificate;
  std::string mKey;
  // Certificates of the authorities that the far end must be signed by.
  // Required for a client; a server that has them demands a certificate.
  std::string mAuthorities;
};

// What was wrong with which file.
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
