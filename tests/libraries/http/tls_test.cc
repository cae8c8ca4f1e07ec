#include <fmt/format.h>
#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <tuple>

#include "libraries/http/byte_stream.h"
#include "tests/libraries/http/http_fixture.h"

namespace pomelospar::http {
namespace {

namespace asio = boost::asio;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

/// Writes a self-signed certificate with the given name, and its key, as PEM files.
void WriteCertificate(const std::string& folder, const std::string& name) {
  const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_EC_gen("P-256"),
                                                                &EVP_PKEY_free);
  const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(), &X509_free);
  constexpr std::int64_t kSecondsValid = 3600;
  ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), kSecondsValid);
  X509_set_pubkey(certificate.get(), key.get());
  auto* subject = X509_get_subject_name(certificate.get());
  X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                             reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
  X509_set_issuer_name(certificate.get(), subject);
  X509_sign(certificate.get(), key.get(), EVP_sha256());
  const std::unique_ptr<FILE, decltype(&fclose)> key_file(fopen((folder + "/key.pem").c_str(), "w"),
                                                          &fclose);
  PEM_write_PrivateKey(key_file.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
  const std::unique_ptr<FILE, decltype(&fclose)> certificate_file(
      fopen((folder + "/certificate.pem").c_str(), "w"), &fclose);
  PEM_write_X509(certificate_file.get(), certificate.get());
}

struct TlsAnswer {
  std::string certificate_name;
  std::string text;
};

asio::awaitable<TlsAnswer> Fetch(std::string address, std::string request) {
  asio::ssl::context context(asio::ssl::context::tls_client);
  asio::ssl::stream<asio::ip::tcp::socket> stream(co_await asio::this_coro::executor, context);
  co_await stream.next_layer().async_connect(ParseEndpoint(address).value(), kTuple);
  co_await stream.async_handshake(asio::ssl::stream_base::client, kTuple);
  TlsAnswer answer;
  const std::unique_ptr<X509, decltype(&X509_free)> certificate(
      SSL_get1_peer_certificate(stream.native_handle()), &X509_free);
  if (!certificate) co_return answer;
  std::vector<char> name(100);
  X509_NAME_get_text_by_NID(X509_get_subject_name(certificate.get()), NID_commonName, name.data(),
                            static_cast<int>(name.size()));
  answer.certificate_name = name.data();
  co_await asio::async_write(stream, asio::buffer(request), kTuple);
  co_await asio::async_read(stream, asio::dynamic_buffer(answer.text), kTuple);
  co_return answer;
}

// Requests must work over TLS. A new certificate must take effect without a restart, and an invalid
// one must not replace the certificate in use.
TEST(TlsTest, ServesOverTlsAndReloadsTheCertificate) {
  const std::string folder = testing::TempDir() + fmt::format("/tls_test_{}", getpid());
  std::filesystem::create_directories(folder);
  WriteCertificate(folder, "first");
  ServerOptions options;
  options.certificate_file = folder + "/certificate.pem";
  options.key_file = folder + "/key.pem";
  asio::io_context io{1};
  const auto server = std::move(HttpServer::Create(io, options, [](ServerExchange& exchange) {
                                  return [](ServerExchange& serving) -> asio::awaitable<void> {
                                    ResponseHead head;
                                    head.chunked = true;
                                    std::ignore = co_await serving.StartStream(std::move(head));
                                    std::ignore = co_await serving.Write(serving.request().body);
                                    std::vector<HttpHeader> no_trailers;
                                    std::ignore =
                                        co_await serving.FinishStream(std::move(no_trailers));
                                  }(exchange);
                                }).value());
  const std::string body(100000, 'b');
  const auto request =
      fmt::format("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}",
                  body.size(), body);
  RunBody(io, [&]() -> asio::awaitable<void> {
    const auto first = co_await Fetch(server->address(), request);
    EXPECT_EQ(first.certificate_name, "first");
    EXPECT_NE(first.text.find(body + "\r\n0\r\n\r\n"), std::string::npos);
    WriteCertificate(folder, "second");
    EXPECT_TRUE(server->ReloadCertificate().has_value());
    const auto second = co_await Fetch(server->address(), request);
    EXPECT_EQ(second.certificate_name, "second");
    std::ofstream(options.key_file) << "broken";
    EXPECT_TRUE(server->ReloadCertificate().has_error());
    const auto third = co_await Fetch(server->address(), request);
    EXPECT_EQ(third.certificate_name, "second");
    EXPECT_NE(third.text.find(body + "\r\n0\r\n\r\n"), std::string::npos);
  });
  std::filesystem::remove_all(folder);
}

/// A client that keeps its connection open.
class TlsClient {
 public:
  explicit TlsClient(const asio::any_io_executor& executor) : stream(executor, this->context) {}

  asio::awaitable<void> Connect(std::string address) {
    const auto endpoint = ParseEndpoint(address).value();
    co_await this->stream.next_layer().async_connect(endpoint, kTuple);
    co_await this->stream.async_handshake(asio::ssl::stream_base::client, kTuple);
  }

  void SendNow() {
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    asio::write(this->stream, asio::buffer(request));
  }

  /// Reads a response that ends with '|'; returns an empty text if the connection ends before.
  asio::awaitable<std::string> Read() {
    std::string response;
    const auto [error, count] =
        co_await asio::async_read_until(this->stream, asio::dynamic_buffer(response), '|', kTuple);
    co_return error ? std::string() : response.substr(0, count);
  }

 private:
  asio::ssl::context context{asio::ssl::context::tls_client};
  asio::ssl::stream<asio::ip::tcp::socket> stream;
};

// Guards against closing a kept TLS connection for a newer one although its next request has
// arrived.
TEST(TlsTest, KeepsAnIdleConnectionWhoseNextRequestHasArrived) {
  const std::string folder = testing::TempDir() + fmt::format("/tls_limit_test_{}", getpid());
  std::filesystem::create_directories(folder);
  WriteCertificate(folder, "limit");
  ServerOptions options;
  options.certificate_file = folder + "/certificate.pem";
  options.key_file = folder + "/key.pem";
  options.limits.maximum_connections = 2;
  asio::io_context io{1};
  const auto server = std::move(HttpServer::Create(io, options, [](ServerExchange& exchange) {
                                  return [](ServerExchange& serving) -> asio::awaitable<void> {
                                    HttpResponse response;
                                    response.body = "done|";
                                    std::ignore = co_await serving.Respond(std::move(response));
                                  }(exchange);
                                }).value());
  RunBody(io, [&]() -> asio::awaitable<void> {
    const auto executor = co_await asio::this_coro::executor;
    TlsClient longest_idle(executor);
    TlsClient idle(executor);
    for (auto* client : {&longest_idle, &idle}) {
      co_await client->Connect(server->address());
      client->SendNow();
      const auto response = co_await client->Read();
      EXPECT_NE(response, "");
      co_await Pause(std::chrono::milliseconds(5));
    }
    asio::ip::tcp::socket late(executor);
    late.connect(ParseEndpoint(server->address()).value());
    longest_idle.SendNow();
    const auto response = co_await longest_idle.Read();
    EXPECT_NE(response, "");
    const auto rest = co_await idle.Read();
    EXPECT_EQ(rest, "");
  });
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace pomelospar::http
