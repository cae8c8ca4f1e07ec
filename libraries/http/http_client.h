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
  /// Requests in progress for each address; further ones wait in order of arrival.
  std::size_t connections_per_address = 4;
  core::Duration connect_timeout = std::chrono::seconds(2);
  core::Duration idle_timeout = std::chrono::seconds(15);
};

/// Fetches whole responses over kept connections, for services such as the platform.
class HttpClient {
 public:
  HttpClient(boost::asio::io_context& io, HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends once; never repeats a request of which a byte was sent. `timeout` covers everything,
  /// `maximum_body` is in bytes. Errors: `kInvalidArgument`; `kUnavailable` if nothing was sent;
  /// `kUnknownOutcome` if the request was sent and no whole, valid response was received.
  boost::asio::awaitable<core::Result<HttpResponse>> Fetch(std::string address, HttpRequest request,
                                                           core::Duration timeout,
                                                           std::size_t maximum_body);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_HTTP_CLIENT_H_
