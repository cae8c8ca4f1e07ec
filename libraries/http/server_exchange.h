#ifndef POMELOSPAR_LIBRARIES_HTTP_SERVER_EXCHANGE_H_
#define POMELOSPAR_LIBRARIES_HTTP_SERVER_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string_view>
#include <vector>

#include "libraries/core/result.h"
#include "libraries/http/message.h"

namespace pomelospar::http {

class ServerConnection;

/// One request and its response. It is valid until its handler returns. If the handler returns
/// without a response, the server responds with 500. If it returns before a stream is finished, the
/// connection is closed.
///
/// With g++ 12, arguments of these functions should be named variables: it rejects or miscompiles
/// some braced lists within a `co_await` expression.
///
/// Errors of the sending functions: `kClosed` if the caller is gone or too slow to take the data,
/// `kInvalidArgument` for a call in the wrong order or a header that HTTP does not allow.
class ServerExchange {
 public:
  explicit ServerExchange(ServerConnection& connection);
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;

  const HttpRequest& request() const;
  /// True if the connection has carried no request before.
  bool is_first_request() const;
  /// True once a response has been started.
  bool started() const;
  /// True once the caller has closed its connection or the response was aborted.
  bool disconnected() const;

  /// True once this server has closed the connection because the caller did not take a piece of the
  /// response within `ServerLimits::write_timeout`.
  bool write_timed_out() const;

  /// Checks with a system call whether the caller has closed its connection. `disconnected` reports
  /// this only once the event loop has processed it, which may be late on a busy instance.
  bool PeerHasClosed();

  /// Closes the connection after the response; call before the response is started.
  void CloseAfterResponse();

  /// Sends a whole response.
  boost::asio::awaitable<core::Result<void>> Respond(HttpResponse response);
  /// Sends the head of a response whose body follows through `Write`, either chunked or with a
  /// known length.
  boost::asio::awaitable<core::Result<void>> StartStream(ResponseHead head);
  /// Sends one piece of the body without buffering, in one system call if the socket accepts it.
  boost::asio::awaitable<core::Result<void>> Write(std::string_view piece);
  /// Ends the stream. Trailers are sent only with a chunked body. If fewer bytes than the declared
  /// content length were written, the connection is closed instead.
  boost::asio::awaitable<core::Result<void>> FinishStream(std::vector<HttpHeader> trailers);
  boost::asio::awaitable<core::Result<void>> FinishStream();
  /// Sends bytes unchanged and without framing, for emulators that violate the protocol on purpose.
  /// If no response was started, the bytes replace it and the connection closes afterwards.
  boost::asio::awaitable<core::Result<void>> WriteRaw(std::string_view bytes);
  /// Closes the connection, so that the caller detects that a response in progress is incomplete.
  void Abort();
  /// Called at most once, from the executor, when the caller's connection closes while the request
  /// is served. The end of the caller's sending side counts as a close.
  void SetDisconnectHandler(std::function<void()> handler);

 private:
  ServerConnection& connection;
};

/// Serves one request. Exceptions are answered with 500 and must not be used for errors.
using Handler = std::function<boost::asio::awaitable<void>(ServerExchange&)>;

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_SERVER_EXCHANGE_H_
