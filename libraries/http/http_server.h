#ifndef POMELOSPAR_LIBRARIES_HTTP_HTTP_SERVER_H_
#define POMELOSPAR_LIBRARIES_HTTP_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "libraries/core/result.h"
#include "libraries/http/server_exchange.h"
#include "libraries/http/server_options.h"

namespace pomelospar::http {

/// An HTTP/1.1 server on one I/O thread. It rejects requests without calling the handler, with the
/// header `Pomelospar-Outcome: not_run`: 400 for a malformed request, 408 for a slow sender, 413
/// for a body that is too large, 431 for headers that are too large, 503 for too many connections
/// or too many request bodies in progress. Pipelined requests are served one after the other.
class HttpServer {
 public:
  /// Errors: `kInvalidArgument` for the address or TLS files, `kUnavailable` if the address cannot
  /// be listened on.
  static core::Result<std::unique_ptr<HttpServer>> Create(boost::asio::io_context& io,
                                                          ServerOptions options, Handler handler);
  /// Closes all connections.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The listening address as "ip:port", with the actual port if the system chose it.
  std::string address() const;
  /// From now on each response carries `Connection: close`. New connections are still accepted, so
  /// that callers move to other instances without failed requests.
  void CloseAfterResponses();
  /// Accepts the connections that the system has already queued, then stops listening. Idle
  /// connections are closed; requests in progress are answered before their connections close.
  void StopAccepting();
  /// Number of requests that the handler is serving.
  std::size_t active_exchanges() const;
  std::size_t connections() const;
  /// Memory that the connections hold for requests, in bytes.
  std::uint64_t held_bytes() const;
  /// Requests refused since the start because the memory for requests was used up.
  std::uint64_t refused_for_memory() const;
  /// Connections refused since the start because of the limit of connections.
  std::uint64_t refused_for_limit() const;
  /// How often the server has stopped listening because `ServerOptions::must_refuse` returned true.
  std::uint64_t listening_pauses() const;
  /// Idle connections closed since the start because others needed their place.
  std::uint64_t replaced_connections() const;
  /// Reloads the certificate and key files for connections accepted from now on. On an error the
  /// previous certificate and key stay in use.
  core::Result<void> ReloadCertificate();
  void SetLimits(const ServerLimits& limits);

 private:
  struct State;
  explicit HttpServer(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_HTTP_SERVER_H_
