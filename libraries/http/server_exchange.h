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

/// One request being answered. It is valid until its handler returns; a handler that returns
/// without a response gets a 500 sent in its place, one that returns in the middle of a stream
/// has it aborted.
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
  /// True once a response has been started.
  bool started() const;
  /// True once the caller has closed its connection or the response was aborted.
  bool disconnected() const;

  /// Asks the system whether the caller has closed, by one system call. `disconnected` knows it
  /// only after the event loop has come to it, which takes a while on a busy instance.
  bool PeerHasClosed();

  /// Closes the connection after the response; call before the response is started.
  void CloseAfterResponse();

  /// Sends a whole response.
  boost::asio::awaitable<core::Result<void>> Respond(HttpResponse response);
  /// Sends the head of a response whose body follows in pieces, in chunks or with a known length.
  boost::asio::awaitable<core::Result<void>> StartStream(ResponseHead head);
  /// Sends one piece at once, by one system call if the socket takes it.
  boost::asio::awaitable<core::Result<void>> Write(std::string_view piece);
  /// Ends the stream. Trailers are sent with a chunked body only. A stream with fewer bytes than
  /// its announced length is aborted instead.
  boost::asio::awaitable<core::Result<void>> FinishStream(std::vector<HttpHeader> trailers);
  boost::asio::awaitable<core::Result<void>> FinishStream();
  /// Sends bytes as they are, without framing, for emulators that have to break the protocol. As
  /// the first output it takes the place of the response and the connection closes after it.
  boost::asio::awaitable<core::Result<void>> WriteRaw(std::string_view bytes);
  /// Closes the connection, so that a response in progress is visibly incomplete.
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
