#ifndef POMELOSPAR_LIBRARIES_PLATFORM_HTTP_PLATFORM_CLIENT_H_
#define POMELOSPAR_LIBRARIES_PLATFORM_HTTP_PLATFORM_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <string>

#include "libraries/core/clock.h"
#include "libraries/core/result.h"
#include "libraries/platform/platform_client.h"

namespace pomelospar::platform {

struct HttpPlatformClientOptions {
  /// "ip:port" of the platform.
  std::string address;
  /// The failure domain of this process, sent with every request.
  std::string domain;
  core::Duration connect_timeout = std::chrono::seconds(1);
  /// From the call to the whole response, including the wait for a free connection.
  core::Duration timeout = std::chrono::seconds(3);
  /// Requests in progress; further ones wait.
  std::size_t connections = 4;
  /// Bytes of a response. The instance list and a configuration snapshot of the target size take
  /// less than 1 MiB.
  std::size_t maximum_response = 16U << 20U;
};

/// A client of the interface in docs/platform.md. Each request is sent at most once. In addition
/// to the errors that `PlatformClient` names: `kUnavailable` for a 503, which the platform sends in
/// place of executing a request; `kInvalidArgument` for a 4xx; `kMalformed` for the response to a
/// read that cannot be understood, and `kUnknownOutcome` for that to a write.
/// Callbacks never run inside the call.
/// Errors: `kInvalidArgument` if the address cannot be parsed.
core::Result<PlatformClient> CreateHttpPlatformClient(boost::asio::io_context& io,
                                                      HttpPlatformClientOptions options);

}  // namespace pomelospar::platform

#endif  // POMELOSPAR_LIBRARIES_PLATFORM_HTTP_PLATFORM_CLIENT_H_
