#ifndef POMELOSPAR_LIBRARIES_HTTP_HTTP_CLIENT_H_
#define POMELOSPAR_LIBRARIES_HTTP_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "libraries/core/clock.h"
#include "libraries/core/result.h"
#include "libraries/http/message.h"

namespace pomelospar::http {

struct HttpClientOptions {
  /// Maximum number of concurrent requests for each address. Further requests wait in order of
  /// arrival.
  std::size_t connections_per_address = 4;
  core::Duration connect_timeout = std::chrono::seconds(2);
  core::Duration idle_timeout = std::chrono::seconds(15);
};

/// Fetches complete responses over persistent connections, from services such as the platform.
class HttpClient {
 public:
  HttpClient(boost::asio::io_context& io, HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends the request at most once; it is never retried. `timeout` covers the whole call,
  /// including the wait for a free connection. `maximum_body` is the limit of the response body in
  /// bytes. Errors: `kInvalidArgument`; `kUnavailable` if nothing was sent; `kUnknownOutcome` if
  /// any part of the request was sent and no complete, valid response was received.
  boost::asio::awaitable<core::Result<HttpResponse>> Fetch(std::string address, HttpRequest request,
                                                           core::Duration timeout,
                                                           std::size_t maximum_body);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_HTTP_CLIENT_H_
