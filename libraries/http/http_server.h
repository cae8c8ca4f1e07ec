#ifndef POMELOSPAR_LIBRARIES_HTTP_HTTP_SERVER_H_
#define POMELOSPAR_LIBRARIES_HTTP_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "libraries/core/result.h"
#include "libraries/http/server_exchange.h"
#include "libraries/http/server_options.h"

namespace pomelospar::http {

/// An HTTP/1.1 server on one I/O thread. It answers by itself, with `Pomelospar-Outcome: not_run`:
/// 400 malformed, 408 slow sender, 413 body too large, 431 headers too large, 503 too many
/// connections. Pipelined requests are served one after the other.
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

  /// "ip:port" with the port that the system chose.
  std::string address() const;
  /// From now on each response announces that its connection closes, and new connections are still
  /// served: callers move away without a cut.
  void CloseAfterResponses();
  /// Accepts what the system has already queued, then listens no more. Idle connections close;
  /// requests in progress are answered and their connections closed after that.
  void StopAccepting();
  /// Requests that are with the handler.
  std::size_t active_exchanges() const;
  std::size_t connections() const;
  /// Reads the certificate and key files again, for connections accepted from now on. On an error
  /// the old ones stay in use.
  core::Result<void> ReloadCertificate();
  void SetLimits(const ServerLimits& limits);

 private:
  struct State;
  explicit HttpServer(std::shared_ptr<State> state);
  std::shared_ptr<State> state;
};

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_HTTP_SERVER_H_
