#ifndef POMELOSPAR_LIBRARIES_HTTP_SERVER_OPTIONS_H_
#define POMELOSPAR_LIBRARIES_HTTP_SERVER_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "libraries/core/clock.h"

namespace pomelospar::http {

/// Limits on the memory and connections that callers can hold. They can be changed while the server
/// runs and then apply from the next request on.
struct ServerLimits {
  /// Maximum size of the request line and all headers together, in bytes.
  std::uint32_t header_bytes = 32U << 10U;
  std::uint64_t body_bytes = 8ULL << 20U;
  /// Time from the first byte of a request to the end of its headers. Also limits the TLS
  /// handshake.
  core::Duration header_timeout = std::chrono::seconds(10);
  /// Time from the end of the headers to the end of the body.
  core::Duration body_timeout = std::chrono::seconds(30);
  /// How long a connection may stay without a request.
  core::Duration keep_alive_timeout = std::chrono::seconds(75);
  /// How long the caller may take to accept one piece of a response.
  core::Duration write_timeout = std::chrono::seconds(60);
  /// Above it, a new connection takes the place of one that is idle or does not send; if there is
  /// none, it is refused.
  std::size_t maximum_connections = 20000;
  /// A new connection keeps its place for this time, and so does one whose request is being
  /// received.
  core::Duration replacement_grace = std::chrono::seconds(1);
  /// Maximum memory that all connections together hold for requests, in bytes: the bodies, from
  /// their first byte until the request has been served, and the input buffers. Without this limit,
  /// many requests within the other limits could together exhaust the memory of a small instance.
  /// Above it, the connection with the largest unfinished request is refused. Requests of more than
  /// `kSmallRequestBytes` get three quarters of it, so that they leave room for small ones.
  std::uint64_t total_request_bytes = 256ULL << 20U;
};

/// A request that holds at most this much memory counts as small.
inline constexpr std::uint64_t kSmallRequestBytes = 128U << 10U;

struct ServerOptions {
  /// "ip:port"; port 0 lets the system choose.
  std::string address = "127.0.0.1:0";
  ServerLimits limits;
  /// PEM files. TLS is used if both are set.
  std::string certificate_file;
  std::string key_file;
  /// Called before connections are accepted, with the time since accepting was paused. While it
  /// returns false, new connections wait in the listen queue of the system. If null, connections
  /// are always accepted.
  std::function<bool(core::Duration)> may_accept;
  /// Called before connections are accepted. If it returns true, the connections that wait are
  /// refused with 503 (over TLS closed without a response), and nothing listens at the address
  /// until it returns false: the system refuses further connections, which costs this process
  /// nothing, before their callers have sent anything. If null, connections are never refused this
  /// way.
  std::function<bool()> must_refuse;
  /// Called for each accepted connection. If it returns false, the connection is refused at once
  /// with 503, before anything is read from it. If null, all are served.
  std::function<bool()> may_serve;
  /// The handler does not need the bodies: they are read and dropped.
  bool drop_bodies = false;
};

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_SERVER_OPTIONS_H_
