#ifndef POMELOSPAR_LIBRARIES_HTTP_UPSTREAM_POOL_H_
#define POMELOSPAR_LIBRARIES_HTTP_UPSTREAM_POOL_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "libraries/core/clock.h"
#include "libraries/core/result.h"
#include "libraries/http/upstream_connection.h"

namespace pomelospar::http {

struct UpstreamPoolOptions {
  /// Idle connections kept for each address, and for all.
  std::size_t idle_per_address = 8;
  std::size_t idle_in_total = 1024;
  /// Shorter than the keep-alive time of common servers, so that a request rarely meets a close.
  core::Duration idle_timeout = std::chrono::seconds(15);
};

/// Idle connections for reuse. It does not limit how many connections are in use.
class UpstreamPool {
 public:
  UpstreamPool(boost::asio::io_context& io, UpstreamPoolOptions options);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /// An idle connection on which nothing has happened since its release, or a new one. Errors as
  /// `UpstreamConnection::Open`.
  boost::asio::awaitable<core::Result<std::unique_ptr<UpstreamConnection>>> Acquire(
      std::string address, core::Duration connect_timeout);
  /// Keeps the connection if it is reusable, else closes it. `idle_timeout` shortens the time for
  /// which it is kept, for an upstream that announced its own.
  void Release(std::unique_ptr<UpstreamConnection> connection);
  void Release(std::unique_ptr<UpstreamConnection> connection, core::Duration idle_timeout);
  /// Closes the idle connections to an address, such as one that is leaving.
  void Forget(std::string_view address);
  std::size_t idle_connections() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_UPSTREAM_POOL_H_
