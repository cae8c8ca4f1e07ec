#include "utilities/pomelosparctl/admin_client.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <exception>
#include <optional>
#include <utility>

namespace pomelospar::pomelosparctl {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using core::ErrorKind;
using core::MakeError;

// The configuration of a fleet of the intended size takes about 400 KB.
constexpr std::uint64_t kMaximumResponseBytes = 64ULL * 1024 * 1024;

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  auto host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, port_error] = std::from_chars(text.data() + colon + 1, end, port);
  error_code error;
  const auto address = asio::ip::make_address(host, error);
  if (error || port_error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(address, port);
}

/// A connection for one request and its response. Beast applies timeouts to asynchronous operations
/// only, so each step starts such an operation and runs the context until it has finished.
class Exchange {
 public:
  explicit Exchange(std::chrono::milliseconds timeout) : timeout(timeout) {}

  error_code Connect(const asio::ip::tcp::endpoint& endpoint) {
    return this->Await([&](auto done) { this->stream.async_connect(endpoint, done); });
  }

  error_code Send(const http::request<http::string_body>& request) {
    return this->Await([&](auto done) {
      http::async_write(this->stream, request,
                        [done](const error_code& error, std::size_t) { done(error); });
    });
  }

  error_code Receive(http::response_parser<http::string_body>& parser) {
    return this->Await([&](auto done) {
      http::async_read(this->stream, this->buffer, parser,
                       [done](const error_code& error, std::size_t) { done(error); });
    });
  }

 private:
  template <typename Start>
  error_code Await(Start start) {
    error_code result;
    this->stream.expires_after(this->timeout);
    start([&result](const error_code& error) { result = error; });
    this->context.restart();
    this->context.run();
    return result;
  }

  std::chrono::milliseconds timeout;
  asio::io_context context{1};
  beast::tcp_stream stream{this->context};
  beast::flat_buffer buffer;
};

http::request<http::string_body> BuildRequest(const AdminClient& client, const std::string& server,
                                              const std::string& method, const std::string& target,
                                              const nlohmann::json& body) {
  constexpr unsigned kHttp11 = 11;
  http::request<http::string_body> request(http::string_to_verb(method), target, kHttp11);
  request.set(http::field::host, server);
  if (!client.token.empty()) {
    request.set(http::field::authorization, "Bearer " + client.token);
  }
  request.set(http::field::connection, "close");
  if (!body.is_null()) {
    request.set(http::field::content_type, "application/json");
    request.body() = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  request.prepare_payload();
  return request;
}

core::Result<AdminResponse> RequestFrom(const AdminClient& client, const std::string& server,
                                        const std::string& method, const std::string& target,
                                        const nlohmann::json& body) {
  const auto endpoint = ParseEndpoint(server);
  if (!endpoint) {
    return MakeError(ErrorKind::kUnavailable,
                     fmt::format("{} is not an address; write \"ip:port\"", server));
  }
  Exchange exchange(client.timeout);
  if (const auto error = exchange.Connect(*endpoint)) {
    return MakeError(ErrorKind::kUnavailable,
                     fmt::format("{} does not answer: {}", server, error.message()));
  }
  const auto request = BuildRequest(client, server, method, target, body);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaximumResponseBytes);
  auto error = exchange.Send(request);
  if (!error) {
    error = exchange.Receive(parser);
  }
  if (error) {
    return MakeError(ErrorKind::kUnknownOutcome,
                     fmt::format("the response of {} was lost: {}", server, error.message()));
  }
  AdminResponse response;
  response.status = static_cast<int>(parser.get().result_int());
  response.body = nlohmann::json::parse(parser.get().body(), nullptr, false);
  if (!response.body.is_object()) {
    response.body = nlohmann::json::object();
  }
  return response;
}

}  // namespace

core::Result<AdminResponse> Request(const AdminClient& client, const std::string& method,
                                    const std::string& target, const nlohmann::json& body) {
  std::string causes;
  auto kind = ErrorKind::kUnavailable;
  for (const auto& server : client.servers) {
    try {
      auto response = RequestFrom(client, server, method, target, body);
      if (response) {
        return response;
      }
      causes += (causes.empty() ? "" : "; ") + response.error().message;
      if (core::Is(response.error(), ErrorKind::kUnknownOutcome)) {
        kind = ErrorKind::kUnknownOutcome;
      }
    } catch (const std::exception& error) {
      return MakeError(ErrorKind::kInternal, error.what());
    }
  }
  return MakeError(kind, causes + "; name further routers with --server");
}

}  // namespace pomelospar::pomelosparctl
