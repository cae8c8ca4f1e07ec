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
  /// "ip:port"; port 0 lets the system choose one.
  std::string listen_address;
  /// A longer datagram closes the connection that it came on, bytes.
  std::size_t receive_limit = 256UL * 1024;
  /// Messages kept for one peer while its connection is busy or down. Control messages are absolute
  /// and repeated, so more would only deliver outdated state after a reconnect.
  int send_buffer = 32;
  /// A connection without sends is closed after this. Random probes reach each of 41 routers of the
  /// domain about once in 41 s; a shorter time would reconnect for each probe.
  core::Duration idle_time = std::chrono::seconds(90);
  /// A connection that could not be made is attempted anew after this. The system's own retries of
  /// a lost SYN are up to 64 s apart, which would delay the end of a partition.
  core::Duration connect_time = std::chrono::seconds(3);
  /// Accepted connections; further ones are closed at once.
  int maximum_connections = 1024;
};

/// Totals since start. Bytes are those of datagrams, without nng and TCP headers.
struct TransportCounters {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
  /// Not sent because the buffer of the peer was full or its address unusable.
  std::uint64_t dropped_messages = 0;
  /// Not sent because the peer is blocked.
  std::uint64_t blocked_messages = 0;
  std::uint64_t refused_connections = 0;
};

/// Carries control datagrams over TCP by nng: one pull socket that listens, one push socket for
/// each peer. All member functions are called by one thread. No function waits for a peer.
class ControlTransport {
 public:
  /// Called on a thread of nng, one call at a time; it must be quick and must not call back.
  using ReceiveFunction = std::function<void(std::string datagram)>;

  /// Errors: `kInvalidArgument` for a bad address, `kUnavailable` if it cannot be listened on.
  static core::Result<std::unique_ptr<ControlTransport>> Create(const TransportOptions& options,
                                                                ReceiveFunction receive);

  ControlTransport(const ControlTransport&) = delete;
  ControlTransport& operator=(const ControlTransport&) = delete;
  /// Closes the connections to peers; `receive` is not called after it returned. The listener keeps
  /// its port until the process exits, see the implementation.
  ~ControlTransport();

  /// Hands the datagram to the connection of this peer, which is made on the first send. Returns
  /// false if it was dropped; true does not mean that it arrives.
  bool Send(const std::string& address, std::string_view datagram, core::TimePoint now);

  /// Closes connections without recent sends. To be called about once a second.
  void CloseIdle(core::TimePoint now);

  /// Closes the connection to this peer and drops what is buffered for it. To be called when the
  /// peer died, since a connection through a partition recovers only after long retransmissions.
  void Forget(const std::string& address);

  /// Fault injection: nothing is sent to these addresses. The receiver of datagrams drops those
  /// whose sender `IsBlocked`, which is known only after the envelope was opened.
  void BlockPeers(std::set<std::string> addresses);
  bool IsBlocked(const std::string& address) const { return this->blocked.contains(address); }

  /// "ip:port" with the port that the system chose.
  const std::string& address() const { return this->bound_address; }
  /// Open connections to peers, including those that are being made.
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
