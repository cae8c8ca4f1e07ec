#ifndef POMELOSPAR_LIBRARIES_HTTP_UPSTREAM_CONNECTION_H_
#define POMELOSPAR_LIBRARIES_HTTP_UPSTREAM_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/core/clock.h"
#include "libraries/core/result.h"
#include "libraries/http/message.h"

namespace pomelospar::http {

/// A connection to an upstream that carries one request at a time. Call `Send`, then `ReadHead`,
/// then `ReadPiece` until it returns an empty optional. After that the connection may be reusable.
///
/// It must not be destroyed while one of its coroutines is pending: call `Close` and wait until the
/// coroutine has returned.
///
/// Errors of `Send`, `ReadHead` and `ReadPiece`: `kTimeout`, `kClosed` if the connection ended
/// early, `kMalformed`, `kTooLarge`. After an error the connection is closed. `any_byte_sent`,
/// not the error, tells whether the request may have run.
class UpstreamConnection {
 public:
  /// Errors: `kInvalidArgument` for the address, `kUnavailable`, `kTimeout`. Nothing was sent.
  static boost::asio::awaitable<core::Result<std::unique_ptr<UpstreamConnection>>> Open(
      std::string address, core::Duration connect_timeout);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  /// Sends a whole request. Fails with `kClosed` and nothing sent if the upstream closed the
  /// connection or sent bytes that no request asked for. The timeout covers the whole request.
  boost::asio::awaitable<core::Result<void>> Send(const HttpRequest& request,
                                                  core::Duration timeout);
  /// Sends the request with `body` in place of its own, so that a long body need not be copied. The
  /// body must stay valid until the call returns.
  boost::asio::awaitable<core::Result<void>> Send(const HttpRequest& request, std::string_view body,
                                                  core::Duration timeout);
  /// True if any byte of the current request may have been sent. Also true while `Send` is writing.
  bool any_byte_sent() const;
  /// True if an earlier request was sent on this connection.
  bool is_reused() const;
  /// Reads the head of the response. Interim (1xx) responses are skipped. A response whose body is
  /// delimited by the close of the connection is `kMalformed` unless `AcceptCloseDelimited` was
  /// called.
  boost::asio::awaitable<core::Result<ResponseHead>> ReadHead(core::Duration timeout);
  /// Returns the part of the body that has arrived, at most 64 KiB, without chunk framing, or an
  /// empty optional once the body is complete. Trailers are dropped. The timeout covers one piece.
  boost::asio::awaitable<core::Result<std::optional<std::string>>> ReadPiece(
      core::Duration timeout);
  /// From now on a response may have neither a content length nor chunked coding. Its body is
  /// complete when the upstream closes the connection normally and has received the whole request;
  /// a reset is an error, also between the end of the body and that of the request.
  void AcceptCloseDelimited();
  /// Call after a complete response that belongs to an earlier request. `ReadHead` then waits for
  /// the next response on this connection.
  void ExpectAnotherResponse();
  /// True if the complete response was read, the upstream keeps the connection open, no bytes after
  /// the response have been read and reuse was not forbidden.
  bool reusable() const;
  /// True if `reusable` is true and the upstream has neither sent data nor closed the connection
  /// since.
  bool IsIdleAndClean();
  /// Call if the response does not prove that it belongs to the request: a late second response
  /// could be taken for the next one, so the connection is not reused.
  void ForbidReuse();
  /// Closes the connection. Pending operations fail with `kClosed`. The upstream treats a request
  /// in progress as cancelled.
  void Close();
  const std::string& address() const;
  /// Number of this connection; each connection of the process has another one.
  std::uint64_t id() const;

 private:
  struct State;
  explicit UpstreamConnection(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_UPSTREAM_CONNECTION_H_
