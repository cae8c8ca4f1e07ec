#ifndef POMELOSPAR_LIBRARIES_HTTP_UPSTREAM_POOL_H_
#define POMELOSPAR_LIBRARIES_HTTP_UPSTREAM_POOL_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "libraries/core/clock.h"
#include "libraries/core/result.h"
#include "libraries/http/upstream_connection.h"

namespace pomelospar::http {

struct UpstreamPoolOptions {
  /// Maximum numbers of idle connections for each address and for all addresses together.
  std::size_t idle_per_address = 8;
  std::size_t idle_in_total = 1024;
  /// How long an idle connection is kept. It is shorter than the keep-alive time of common servers,
  /// so that the upstream rarely closes a connection just as a request is sent.
  core::Duration idle_timeout = std::chrono::seconds(15);
};

/// Keeps idle connections for reuse. It does not limit the number of connections in use.
class UpstreamPool {
 public:
  UpstreamPool(boost::asio::io_context& io, UpstreamPoolOptions options);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /// Returns an idle connection on which the upstream has neither sent data nor closed since its
  /// release, or a new one. Connections with an id in `excluded` are not reused. Errors are those
  /// of `UpstreamConnection::Open`.
  boost::asio::awaitable<core::Result<std::unique_ptr<UpstreamConnection>>> Acquire(
      std::string address, core::Duration connect_timeout,
      std::span<const std::uint64_t> excluded = {});
  /// Keeps the connection if it is reusable and the pool is not full, otherwise closes it.
  /// `idle_timeout` can only shorten `UpstreamPoolOptions::idle_timeout`; it is used for an
  /// upstream that announced its own keep-alive time.
  void Release(std::unique_ptr<UpstreamConnection> connection);
  void Release(std::unique_ptr<UpstreamConnection> connection, core::Duration idle_timeout);
  /// Closes the idle connections to an address, for example one that is being removed.
  void Forget(std::string_view address);
  std::size_t idle_connections() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_UPSTREAM_POOL_H_
