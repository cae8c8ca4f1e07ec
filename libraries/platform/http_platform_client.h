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
  /// Time from the call to the complete response, including the wait for a free connection.
  core::Duration timeout = std::chrono::seconds(3);
  /// Maximum number of concurrent requests. Further requests wait.
  std::size_t connections = 4;
  /// Maximum size of a response body in bytes. The instance list and a configuration snapshot of
  /// the target size take less than 1 MiB.
  std::size_t maximum_response = 16U << 20U;
};

/// Creates a client of the interface in docs/platform.md. Errors: `kInvalidArgument` if the address
/// cannot be parsed.
///
/// Each request is sent at most once. Callbacks never run inside the call. In addition to the
/// errors that `PlatformClient` documents, calls fail with `kUnavailable` for a 503, which the
/// platform sends if it did not execute the request; with `kInvalidArgument` for a 4xx; and, if the
/// response cannot be decoded, with `kMalformed` for a read and `kUnknownOutcome` for a write.
core::Result<PlatformClient> CreateHttpPlatformClient(boost::asio::io_context& io,
                                                      HttpPlatformClientOptions options);

}  // namespace pomelospar::platform

#endif  // POMELOSPAR_LIBRARIES_PLATFORM_HTTP_PLATFORM_CLIENT_H_
