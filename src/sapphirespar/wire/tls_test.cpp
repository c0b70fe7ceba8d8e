// Tests of TLS between the HTTP client and server, with certificates that the
// tests generate.
#include "sapphirespar/wire/tls.hpp"

#include "sapphirespar/wire/http_client.hpp"
#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>

namespace sapphirespar::wire {
namespace {

namespace fs = std::filesystem;
using namespace std::chrono_literals;

constexpr auto kTimeout = 10s;

asio::awaitable<void>
Echo(const http_request& aRequest, http_reply& aReply)
{
  http_response response;
  response.mBody = aRequest.mBody;
  co_await aReply.Send(std::move(response));
}

class tls_exchange : public testing::Test
{
protected:
  tls_exchange()
  {
    std::string name = (fs::temp_directory_path() / "tls_test_XXXXXX").string();
    mDirectory = mkdtemp(name.data());
  }
  ~tls_exchange() override { fs::remove_all(mDirectory); }

  std::string Path(const std::string& aName) const
  {
    return (mDirectory / aName).string();
  }

  // Writes a key and a self-signed certificate.
  tls_context_files MakeCertificate(const std::string& aName) const
  {
    constexpr long kDaySeconds = 24L * 60 * 60;
    const std::unique_ptr<EVP_PKEY, void (*)(EVP_PKEY*)> key(
      EVP_PKEY_Q_keygen(nullptr, nullptr, "EC", "P-256"), EVP_PKEY_free);
    const std::unique_ptr<X509, void (*)(X509*)> certificate(X509_new(),
                                                             X509_free);
    X509_set_version(certificate.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -kDaySeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), kDaySeconds);
    X509_set_pubkey(certificate.get(), key.get());
    auto* subject = X509_get_subject_name(certificate.get());
    const auto* text = reinterpret_cast<const unsigned char*>(aName.c_str());
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC, text, -1, -1, 0);
    X509_set_issuer_name(certificate.get(), subject);
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    const auto keyPath = Path(aName + ".key");
    const auto certificatePath = Path(aName + ".pem");
    auto* keyFile = std::fopen(keyPath.c_str(), "w");
    PEM_write_PrivateKey(
      keyFile, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(keyFile);
    auto* certificateFile = std::fopen(certificatePath.c_str(), "w");
    PEM_write_X509(certificateFile, certificate.get());
    std::fclose(certificateFile);
    return { certificatePath, keyPath, "" };
  }

  // Returns the response body, or the kind of the error.
  std::string Exchange(tls_context_ptr aServer, tls_context_ptr aClient)
  {
    asio::io_context context;
    http_server_settings settings;
    settings.mTls = std::move(aServer);
    const std::array workers{ &context };
    http_server server(context, workers, settings, Echo);
    http_client_settings clientSettings;
    clientSettings.mTls = std::move(aClient);
    http_client client(context.get_executor(), clientSettings);
    std::string bodyOrError;
    asio::co_spawn(context,
                   Call(client, { "127.0.0.1", server.Port() }, bodyOrError),
                   [&](const std::exception_ptr&) { context.stop(); });
    context.run();
    return bodyOrError;
  }

  static asio::awaitable<void> Call(http_client& aClient,
                                    endpoint aServer,
                                    std::string& aBodyOrError)
  {
    http_request request{ "POST", "/", {}, "hello" };
    const auto response =
      co_await aClient.Fetch(aServer, std::move(request), kTimeout);
    aBodyOrError = response ? response.value().mBody
                            : std::string(ToText(response.error().mKind));
  }

  fs::path mDirectory;
};

TEST_F(tls_exchange, ClientAcceptsOnlyATrustedServer)
{
  const auto files = MakeCertificate("server");
  const auto other = MakeCertificate("other");
  const auto server = MakeServerTls(files).value();
  const tls_context_files trusting{ "", "", files.mCertificate };
  const tls_context_files distrusting{ "", "", other.mCertificate };
  EXPECT_EQ(Exchange(server, MakeClientTls(trusting).value()), "hello");
  EXPECT_EQ(Exchange(server, MakeClientTls(distrusting).value()), "connect");
  EXPECT_NE(Exchange(server, nullptr), "hello");
}

TEST_F(tls_exchange, AServerWithAuthoritiesRequiresAClientCertificate)
{
  auto serverFiles = MakeCertificate("server");
  const auto clientFiles = MakeCertificate("client");
  serverFiles.mAuthorities = clientFiles.mCertificate;
  const auto server = MakeServerTls(serverFiles).value();
  const tls_context_files known{ clientFiles.mCertificate,
                                 clientFiles.mKey,
                                 serverFiles.mCertificate };
  const tls_context_files unknown{ "", "", serverFiles.mCertificate };
  EXPECT_EQ(Exchange(server, MakeClientTls(known).value()), "hello");
  EXPECT_NE(Exchange(server, MakeClientTls(unknown).value()), "hello");
}

TEST_F(tls_exchange, NamesTheFileThatCannotBeUsed)
{
  auto files = MakeCertificate("server");
  std::ofstream(Path("broken.key")) << "no key\n";
  files.mKey = Path("broken.key");
  EXPECT_EQ(MakeServerTls(files).error().mFile, Path("broken.key"));
  const tls_context_files missing{ "", "", Path("missing.pem") };
  EXPECT_EQ(MakeClientTls(missing).error().mFile, Path("missing.pem"));
}

} // namespace
} // namespace sapphirespar::wire
