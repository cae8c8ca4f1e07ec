#ifndef POMELOSPAR_LIBRARIES_TRANSPORT_CONTROL_TRANSPORT_H_
#define POMELOSPAR_LIBRARIES_TRANSPORT_CONTROL_TRANSPORT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "libraries/core/clock.h"
#include "libraries/core/result.h"

namespace pomelospar::transport {

struct TransportOptions {
  /// Address to listen on as "ip:port". With port 0 the operating system chooses a port.
  std::string listen_address;
  /// Maximum size of a received datagram in bytes. A longer one is dropped and its connection
  /// closed.
  std::size_t receive_limit = 256UL * 1024;
  /// Number of datagrams buffered for one peer while its connection is busy or down. Control
  /// messages carry absolute state and are repeated, so a larger buffer would only deliver outdated
  /// state after a reconnect.
  int send_buffer = 32;
  /// `CloseIdle` closes a connection on which nothing was sent for this long. In a failure domain
  /// of 41 routers, each router probes each other one about once in 41 s; with a shorter timeout
  /// every probe would need a new connection.
  core::Duration idle_timeout = std::chrono::seconds(90);
  /// A connection that is not established after this time is replaced by a new attempt at the next
  /// send. The kernel repeats a lost SYN at intervals of up to 64 s, which would delay the recovery
  /// from a partition.
  core::Duration connect_timeout = std::chrono::seconds(3);
  /// Maximum number of accepted connections. Further ones are closed at once.
  int maximum_connections = 1024;
};

/// Totals since the transport was created. Bytes are those of datagrams, without nng and TCP
/// headers.
struct TransportCounters {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
  /// Datagrams not sent because the peer's buffer was full or its address is invalid.
  std::uint64_t dropped_messages = 0;
  /// Datagrams not sent because the peer is blocked by `BlockPeers`.
  std::uint64_t blocked_messages = 0;
  /// Connections closed because `maximum_connections` were open.
  std::uint64_t refused_connections = 0;
};

/// Sends and receives control datagrams over TCP with nng: one pull socket that listens and one
/// push socket for each peer. All member functions must be called from one thread. None of them
/// waits for a peer.
class ControlTransport {
 public:
  /// Called with each received datagram on a thread of nng, one call at a time. It must return
  /// quickly and must not call the transport.
  using ReceiveFunction = std::function<void(std::string datagram)>;

  /// Starts to listen. Errors: `kInvalidArgument` for an invalid address, `kUnavailable` if
  /// listening on it fails.
  static core::Result<std::unique_ptr<ControlTransport>> Create(const TransportOptions& options,
                                                                ReceiveFunction receive);

  ControlTransport(const ControlTransport&) = delete;
  ControlTransport& operator=(const ControlTransport&) = delete;
  /// Closes the connections to peers. After it has returned, `receive` is not called any more. The
  /// listener keeps its port until the process exits; see `Listener::Stop`.
  ~ControlTransport();

  /// Queues the datagram on the connection to this peer, which is opened by the first send. Returns
  /// false if the datagram was dropped. True does not mean that it will arrive.
  bool Send(const std::string& address, std::string_view datagram, core::TimePoint now);

  /// Closes the connections on which nothing was sent for `idle_timeout`. The caller must call it
  /// about once a second.
  void CloseIdle(core::TimePoint now);

  /// Closes the connection to this peer and drops the datagrams buffered for it. The caller must
  /// call it when the peer is declared dead, because a connection that was cut by a partition
  /// recovers only after long retransmission timeouts.
  void Disconnect(const std::string& address);

  /// For fault injection: stops sending to these addresses and resumes sending to all others. The
  /// transport does not filter received datagrams, because their sender is known only after the
  /// envelope is verified; the code that verifies it drops those for which `IsBlocked` is true.
  void BlockPeers(std::set<std::string> addresses);
  bool IsBlocked(const std::string& address) const { return this->blocked.contains(address); }

  /// The address that is listened on as "ip:port", with the port that the operating system chose.
  const std::string& address() const { return this->bound_address; }
  /// Number of connections to peers, including those that are not established.
  std::size_t peers() const { return this->connections.size(); }
  TransportCounters counters() const;

 private:
  struct Listener;
  struct Connection;

  explicit ControlTransport(TransportOptions options);
  Connection* ConnectionTo(const std::string& address, core::TimePoint now);

  TransportOptions options;
  std::string bound_address;
  std::unique_ptr<Listener> listener;
  std::unordered_map<std::string, std::unique_ptr<Connection>> connections;
  std::set<std::string> blocked;
  TransportCounters sent;
};

}  // namespace pomelospar::transport

#endif  // POMELOSPAR_LIBRARIES_TRANSPORT_CONTROL_TRANSPORT_H_
