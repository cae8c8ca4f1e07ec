#include "libraries/http/http_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <limits>
#include <utility>
#include <vector>

#include "libraries/http/byte_stream.h"
#include "libraries/http/server_connection.h"

namespace pomelospar::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
/// Delay after a failed accept. The usual cause is that the process has no free file descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);
/// Number of queued connections accepted in one iteration of the event loop. The limit lets
/// requests in progress continue. It is about as large as a usual listen queue: a connection for
/// which the queue has no room is tried again by its caller's system after seconds.
constexpr std::size_t kMaxAcceptsPerTurn = 128;
/// Interval at which it is checked whether connections may be accepted again.
constexpr auto kMayAcceptPollInterval = std::chrono::milliseconds(20);

std::string RemoteAddress(const tcp::socket& socket) {
  boost::system::error_code error;
  const auto endpoint = socket.remote_endpoint(error);
  return error ? std::string() : FormatEndpoint(endpoint);
}

core::Result<void> Listen(tcp::acceptor& acceptor, const tcp::endpoint& endpoint) {
  boost::system::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (!error) return core::Success();
  return core::MakeError(core::ErrorKind::kUnavailable,
                         fmt::format("cannot listen on {}: {}; choose a free address of this host",
                                     FormatEndpoint(endpoint), error.message()));
}

}  // namespace

struct HttpServer::State {
  explicit State(asio::io_context& io) : acceptor(io) {}

  /// Whether a connection within the limits is served or refused.
  enum class Verdict { kServe, kRefuse };

  void Start(tcp::socket socket, Verdict verdict) {
    const auto remote_address = RemoteAddress(socket);
    const auto executor = socket.get_executor();
    auto stream = this->tls ? std::make_unique<ByteStream>(std::move(socket), *this->tls)
                            : std::make_unique<ByteStream>(std::move(socket));
    const auto open = this->server->connections.size() - this->server->refusing;
    // A crowd that connects and sends nothing must not keep others out.
    const bool is_beyond_limit =
        open >= this->server->limits.maximum_connections && !MakeRoom(*this->server);
    // A 503 response over TLS requires a handshake, and the limits are there to bound that cost.
    if (is_beyond_limit && (this->tls || !MakeRoomForRefusal(*this->server))) return;
    if (verdict == Verdict::kRefuse && this->tls) return;
    const auto connection = std::make_shared<ServerConnection>(this->server, std::move(stream),
                                                               executor, remote_address);
    if (is_beyond_limit) {
      Spawn(connection, connection->RefuseForLimit());
    } else if (verdict == Verdict::kRefuse || (!this->tls && !this->MayServe())) {
      Spawn(connection, connection->RefuseForLoad());
    } else {
      Spawn(connection, connection->Run());
    }
  }

  static void Spawn(const std::shared_ptr<ServerConnection>& connection,
                    asio::awaitable<void> coroutine) {
    asio::co_spawn(connection->io_executor(), std::move(coroutine),
                   // The completion handler keeps the connection alive while its coroutine runs.
                   [connection](const std::exception_ptr&) {});
  }

  bool MayServe() const { return !this->options.may_serve || this->options.may_serve(); }

  bool MayAccept(core::Duration paused) const {
    if (this->server->stopping) return true;
    // A connection that could not be refused would have to be closed without a response.
    if (!MakeRoomForRefusal(*this->server)) return false;
    return !this->options.may_accept || this->options.may_accept(paused);
  }

  bool MustRefuse() const {
    return !this->server->stopping && this->options.must_refuse && this->options.must_refuse();
  }

  /// Accepts up to `most` connections that are already queued. If each iteration of the event loop
  /// accepted only one, new callers would time out under load.
  void AcceptQueued(std::size_t most, Verdict verdict = Verdict::kServe) {
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    for (std::size_t count = 0; !error && count < most; ++count) {
      if (verdict == Verdict::kServe && this->MustRefuse()) break;
      if (!this->server->stopping && !MakeRoomForRefusal(*this->server)) break;
      tcp::socket socket(this->acceptor.get_executor());
      this->acceptor.accept(socket, error);
      if (!error) this->Start(std::move(socket), verdict);
    }
  }

  /// Refuses the connections that are already queued and stops listening. Closing the socket alone
  /// would reset them, although their callers may have sent requests.
  void StopListening() {
    this->AcceptQueued(std::numeric_limits<std::size_t>::max(), Verdict::kRefuse);
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    ++this->listening_pauses;
  }

  /// Returns when connections may be accepted again, or when the server stops.
  asio::awaitable<void> AwaitAccepting() {
    asio::steady_timer poll(this->acceptor.get_executor());
    const auto paused_at = std::chrono::steady_clock::now();
    while (this->MustRefuse() || !this->MayAccept(std::chrono::steady_clock::now() - paused_at)) {
      if (this->acceptor.is_open() && this->MustRefuse()) this->StopListening();
      poll.expires_after(kMayAcceptPollInterval);
      co_await poll.async_wait(kTuple);
    }
  }

  /// Listens again after `StopListening`, unless the server has stopped meanwhile.
  asio::awaitable<void> ResumeListening() {
    asio::steady_timer pause(this->acceptor.get_executor());
    while (!this->acceptor.is_open() && !this->server->stopping) {
      if (Listen(this->acceptor, this->endpoint)) co_return;
      boost::system::error_code ignored;
      this->acceptor.close(ignored);
      pause.expires_after(kAcceptRetryDelay);
      co_await pause.async_wait(kTuple);
    }
  }

  ServerOptions options;
  std::shared_ptr<ServerState> server = std::make_shared<ServerState>();
  std::shared_ptr<TlsContext> tls;
  tcp::acceptor acceptor;
  /// Address with the actual port.
  tcp::endpoint endpoint;
  std::uint64_t listening_pauses = 0;

  static asio::awaitable<void> AcceptLoop(std::shared_ptr<State> state) {
    asio::steady_timer pause(state->acceptor.get_executor());
    while (state->acceptor.is_open()) {
      co_await state->AwaitAccepting();
      co_await state->ResumeListening();
      if (!state->acceptor.is_open()) break;
      auto [error, socket] = co_await state->acceptor.async_accept(kTuple);
      if (!state->acceptor.is_open()) break;
      if (error) {
        pause.expires_after(kAcceptRetryDelay);
        co_await pause.async_wait(kTuple);
        continue;
      }
      state->Start(std::move(socket), Verdict::kServe);
      state->AcceptQueued(kMaxAcceptsPerTurn);
    }
  }
};

HttpServer::HttpServer(std::shared_ptr<State> shared) : state(std::move(shared)) {}

HttpServer::~HttpServer() {
  boost::system::error_code ignored;
  this->state->server->stopping = true;
  this->state->acceptor.close(ignored);
  // A copy, because closing a connection may remove it from the set.
  const std::vector<ServerConnection*> open(this->state->server->connections.begin(),
                                            this->state->server->connections.end());
  for (auto* connection : open) connection->Close();
}

core::Result<std::unique_ptr<HttpServer>> HttpServer::Create(asio::io_context& io,
                                                             ServerOptions options,
                                                             Handler handler) {
  BOOST_OUTCOME_TRY(const auto endpoint, ParseEndpoint(options.address));
  auto state = std::make_shared<State>(io);
  if (options.certificate_file.empty() != options.key_file.empty()) {
    return core::MakeError(core::ErrorKind::kInvalidArgument,
                           "TLS needs both a certificate file and a key file");
  }
  if (!options.certificate_file.empty()) {
    BOOST_OUTCOME_TRY(state->tls, TlsContext::Create(options.certificate_file, options.key_file));
  }
  BOOST_OUTCOME_TRY(Listen(state->acceptor, endpoint));
  boost::system::error_code error;
  state->endpoint = state->acceptor.local_endpoint(error);
  state->server->limits = options.limits;
  state->server->handler = std::move(handler);
  state->server->drop_bodies = options.drop_bodies;
  state->options = std::move(options);
  asio::co_spawn(io, State::AcceptLoop(state), asio::detached);
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

std::string HttpServer::address() const { return FormatEndpoint(this->state->endpoint); }

void HttpServer::CloseAfterResponses() { this->state->server->close_after_responses = true; }

void HttpServer::StopAccepting() {
  this->state->server->stopping = true;
  this->state->AcceptQueued(std::numeric_limits<std::size_t>::max());
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
  const std::vector<ServerConnection*> open(this->state->server->connections.begin(),
                                            this->state->server->connections.end());
  for (auto* connection : open) connection->StopWhenIdle();
}

std::size_t HttpServer::active_exchanges() const { return this->state->server->active_exchanges; }

std::uint64_t HttpServer::held_bytes() const { return this->state->server->held_bytes; }

std::uint64_t HttpServer::refused_for_memory() const {
  return this->state->server->refused_for_memory;
}

std::uint64_t HttpServer::refused_for_limit() const {
  return this->state->server->refused_for_limit;
}

std::uint64_t HttpServer::listening_pauses() const { return this->state->listening_pauses; }

std::uint64_t HttpServer::replaced_connections() const {
  return this->state->server->replaced_connections;
}

std::size_t HttpServer::connections() const { return this->state->server->connections.size(); }

core::Result<void> HttpServer::ReloadCertificate() {
  if (!this->state->tls) return core::Success();
  BOOST_OUTCOME_TRY(this->state->tls, TlsContext::Create(this->state->options.certificate_file,
                                                         this->state->options.key_file));
  return core::Success();
}

void HttpServer::SetLimits(const ServerLimits& limits) { this->state->server->limits = limits; }

}  // namespace pomelospar::http
