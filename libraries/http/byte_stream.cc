#include "libraries/http/byte_stream.h"

#include <fmt/format.h>
#include <linux/sockios.h>
#include <openssl/ssl.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <charconv>
#include <optional>
#include <utility>

namespace pomelospar::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using TlsStream = asio::ssl::stream<tcp::socket&>;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

// The result that the next read from a socket would have.
enum class Pending { kNothing, kBytes, kEnd };

Pending Peek(tcp::socket& socket) {
  char byte = 0;
  const auto count = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) return Pending::kBytes;
  const bool waits = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return waits ? Pending::kNothing : Pending::kEnd;
}

}  // namespace

struct TlsContext::State {
  asio::ssl::context context{asio::ssl::context::tls_server};
};

TlsContext::TlsContext(std::unique_ptr<State> state) : implementation(std::move(state)) {}
TlsContext::~TlsContext() = default;

core::Result<std::shared_ptr<TlsContext>> TlsContext::Create(const std::string& certificate_file,
                                                             const std::string& key_file) {
  auto state = std::make_unique<State>();
  const auto failure = [](const std::string& file, const boost::system::error_code& error) {
    return core::MakeError(
        core::ErrorKind::kInvalidArgument,
        fmt::format("cannot load {}: {}; provide a PEM certificate chain and the "
                    "matching private key",
                    file, error.message()));
  };
  boost::system::error_code error;
  state->context.set_options(asio::ssl::context::default_workarounds |
                                 asio::ssl::context::no_sslv2 | asio::ssl::context::no_sslv3 |
                                 asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1,
                             error);
  state->context.use_certificate_chain_file(certificate_file, error);
  if (error) return failure(certificate_file, error);
  state->context.use_private_key_file(key_file, asio::ssl::context::pem, error);
  if (error) return failure(key_file, error);
  if (SSL_CTX_check_private_key(state->context.native_handle()) != 1) {
    return core::MakeError(
        core::ErrorKind::kInvalidArgument,
        fmt::format("private key {} does not match certificate {}", key_file, certificate_file));
  }
  return std::shared_ptr<TlsContext>(new TlsContext(std::move(state)));
}

struct ByteStream::State {
  explicit State(tcp::socket connected) : socket(std::move(connected)) {}

  tcp::socket socket;
  std::optional<TlsStream> tls;
};

ByteStream::ByteStream(tcp::socket socket) : state(std::make_unique<State>(std::move(socket))) {
  boost::system::error_code ignored;
  this->state->socket.set_option(tcp::no_delay(true), ignored);
}

ByteStream::ByteStream(tcp::socket socket, TlsContext& context) : ByteStream(std::move(socket)) {
  this->state->tls.emplace(this->state->socket, context.state().context);
}

ByteStream::~ByteStream() = default;

asio::awaitable<boost::system::error_code> ByteStream::Handshake() {
  if (!this->state->tls) co_return boost::system::error_code();
  const auto [error] =
      co_await this->state->tls->async_handshake(asio::ssl::stream_base::server, kTuple);
  co_return error;
}

asio::awaitable<IoResult> ByteStream::ReadSome(asio::mutable_buffer buffer) {
  if (this->state->tls) return this->state->tls->async_read_some(buffer, kTuple);
  return this->state->socket.async_read_some(buffer, kTuple);
}

asio::awaitable<IoResult> ByteStream::WriteAll(asio::const_buffer buffer) {
  if (this->state->tls) return asio::async_write(*this->state->tls, buffer, kTuple);
  return asio::async_write(this->state->socket, buffer, kTuple);
}

asio::awaitable<void> ByteStream::ShutdownSend() {
  // TLS close_notify is not sent: HTTP messages mark their own end, so truncation is detected
  // without it.
  boost::system::error_code ignored;
  this->state->socket.shutdown(tcp::socket::shutdown_send, ignored);
  co_return;
}

void ByteStream::Close() {
  boost::system::error_code ignored;
  this->state->socket.close(ignored);
}

void ByteStream::Reset() {
  boost::system::error_code ignored;
  this->state->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  this->state->socket.close(ignored);
}

bool ByteStream::is_open() const { return this->state->socket.is_open(); }

bool ByteStream::IsIdle() {
  return this->is_open() && Peek(this->state->socket) == Pending::kNothing;
}

bool ByteStream::HasInput() {
  return this->is_open() && Peek(this->state->socket) == Pending::kBytes;
}

ByteStream::Delivery ByteStream::FindDelivery() {
  if (!this->is_open()) return Delivery::kReset;
  const auto handle = this->state->socket.native_handle();
  int error = 0;
  socklen_t size = sizeof(error);
  if (getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0) {
    return Delivery::kReset;
  }
  int bytes = 0;
  const bool is_known = ioctl(handle, SIOCOUTQ, &bytes) == 0;
  return is_known && bytes > 0 ? Delivery::kPending : Delivery::kDelivered;
}

bool ByteStream::IsAtEnd() {
  return !this->is_open() || Peek(this->state->socket) == Pending::kEnd;
}

core::Result<tcp::endpoint> ParseEndpoint(std::string_view address) {
  const auto failure = [&] {
    return core::MakeError(core::ErrorKind::kInvalidArgument,
                           fmt::format("'{}' is not an address; write ip:port", address));
  };
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) return failure();
  const auto port_text = address.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc() || end != port_text.data() + port_text.size()) return failure();
  auto ip_text = address.substr(0, colon);
  if (ip_text.size() >= 2 && ip_text.front() == '[' && ip_text.back() == ']') {
    ip_text = ip_text.substr(1, ip_text.size() - 2);
  }
  boost::system::error_code parse_error;
  const auto ip = asio::ip::make_address(std::string(ip_text), parse_error);
  if (parse_error) return failure();
  return tcp::endpoint(ip, port);
}

std::string FormatEndpoint(const tcp::endpoint& endpoint) {
  if (endpoint.address().is_v6()) {
    return fmt::format("[{}]:{}", endpoint.address().to_string(), endpoint.port());
  }
  return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

}  // namespace pomelospar::http
