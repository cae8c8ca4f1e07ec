#ifndef POMELOSPAR_LIBRARIES_HTTP_UPSTREAM_CONNECTION_H_
#define POMELOSPAR_LIBRARIES_HTTP_UPSTREAM_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/core/clock.h"
#include "libraries/core/result.h"
#include "libraries/http/message.h"

namespace pomelospar::http {

/// A connection to an upstream that carries one request at a time. Call in the order `Send`,
/// `ReadHead`, `ReadPiece` until it returns nothing; then it may be reusable.
///
/// It must not be destroyed while one of its functions is pending; call `Close` and let it end.
///
/// Errors of `Send`, `ReadHead` and `ReadPiece`: `kTimeout`, `kClosed` if the connection ended
/// early, `kMalformed`, `kTooLarge`. After an error the connection is closed. Whether the request
/// may have run is told by `any_byte_sent`, not by the error.
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
  /// True from the moment a byte of the current request may have left, also while it is being sent.
  bool any_byte_sent() const;
  /// Interim (1xx) responses are skipped, trailers are dropped. A response whose body ends with the
  /// connection is `kMalformed` unless `AcceptCloseDelimited` was called.
  boost::asio::awaitable<core::Result<ResponseHead>> ReadHead(core::Duration timeout);
  /// What has arrived of the body, at most 64 KiB, without chunk framing; nothing once the body is
  /// complete. The timeout is for one piece.
  boost::asio::awaitable<core::Result<std::optional<std::string>>> ReadPiece(
      core::Duration timeout);
  /// From now on a response may have neither a length nor chunks. Its body is complete when the
  /// upstream closes the connection in an orderly way; a reset is an error.
  void AcceptCloseDelimited();
  /// After a whole response that belongs to an earlier request: `ReadHead` then waits for the next
  /// response on this connection.
  void ExpectAnotherResponse();
  /// The whole response was read, the upstream keeps the connection and sent nothing beyond.
  bool reusable() const;
  /// Like `reusable`, and the upstream has neither sent anything nor closed since.
  bool IsIdleAndClean();
  /// Pending operations end with `kClosed`. The upstream sees the request as cancelled.
  void Close();
  const std::string& address() const;

 private:
  struct State;
  explicit UpstreamConnection(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_UPSTREAM_CONNECTION_H_
