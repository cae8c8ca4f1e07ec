#include "libraries/transport/control_transport.h"

#include <fmt/format.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <cstring>
#include <mutex>
#include <utility>
#include <vector>

namespace pomelospar::transport {
namespace {

// Bounds of the interval between connection attempts. They are short enough to reach a restarted
// peer within about a second, and long enough not to waste CPU time while many peers are down.
constexpr nng_duration kReconnectMinimumMilliseconds = 100;
constexpr nng_duration kReconnectMaximumMilliseconds = 1000;

std::string UrlOf(std::string_view address) { return fmt::format("tcp://{}", address); }

core::Error ListenError(const std::string& address, int code) {
  const auto kind = code == NNG_EADDRINVAL || code == NNG_EINVAL ? core::ErrorKind::kInvalidArgument
                                                                 : core::ErrorKind::kUnavailable;
  return core::MakeError(kind, fmt::format("cannot listen on control address {}: {}; set an "
                                           "address of this instance with a free port",
                                           address, nng_strerror(code)));
}

}  // namespace

struct ControlTransport::Listener {
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  nng_aio* aio = nullptr;
  ReceiveFunction receive;
  int maximum_connections = 0;
  std::atomic<int> accepted = 0;
  std::atomic<std::uint64_t> messages = 0;
  std::atomic<std::uint64_t> bytes = 0;
  std::atomic<std::uint64_t> refused = 0;

  // Stops the calls of `receive`. The socket stays open until the process exits: in nng 1.5.2,
  // closing a listener while a connection is being accepted can block all later nng_close calls
  // forever.
  static void Stop(std::unique_ptr<Listener> listener) {
    static std::mutex mutex;
    static auto* stopped = new std::vector<std::unique_ptr<Listener>>();
    if (listener->aio != nullptr) {
      nng_aio_stop(listener->aio);
    }
    listener->receive = nullptr;
    const std::lock_guard lock(mutex);
    stopped->push_back(std::move(listener));
  }

  static void OnReceive(void* argument) {
    auto* self = static_cast<Listener*>(argument);
    const int result = nng_aio_result(self->aio);
    if (result == NNG_ECANCELED || result == NNG_ECLOSED) {
      return;
    }
    if (result == 0) {
      nng_msg* message = nng_aio_get_msg(self->aio);
      std::string datagram(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
      nng_msg_free(message);
      self->messages.fetch_add(1, std::memory_order_relaxed);
      self->bytes.fetch_add(datagram.size(), std::memory_order_relaxed);
      self->receive(std::move(datagram));
    }
    nng_recv_aio(self->socket, self->aio);
  }

  static void OnPipe(nng_pipe pipe, nng_pipe_ev event, void* argument) {
    auto* self = static_cast<Listener*>(argument);
    if (event == NNG_PIPE_EV_REM_POST) {
      --self->accepted;
    } else if (++self->accepted > self->maximum_connections) {
      ++self->refused;
      nng_pipe_close(pipe);
    }
  }

  int Listen(const TransportOptions& options, int* port) {
    if (const int code = nng_pull0_open(&this->socket); code != 0) {
      return code;
    }
    nng_socket_set_size(this->socket, NNG_OPT_RECVMAXSZ, options.receive_limit);
    nng_pipe_notify(this->socket, NNG_PIPE_EV_ADD_PRE, OnPipe, this);
    nng_pipe_notify(this->socket, NNG_PIPE_EV_REM_POST, OnPipe, this);
    if (const int code = nng_aio_alloc(&this->aio, OnReceive, this); code != 0) {
      return code;
    }
    nng_listener endpoint = NNG_LISTENER_INITIALIZER;
    const std::string url = UrlOf(options.listen_address);
    if (const int code = nng_listen(this->socket, url.c_str(), &endpoint, 0); code != 0) {
      return code;
    }
    nng_recv_aio(this->socket, this->aio);
    return nng_listener_get_int(endpoint, NNG_OPT_TCP_BOUND_PORT, port);
  }
};

struct ControlTransport::Connection {
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  // When the connection attempt started. While the connection is established, the time of the last
  // send.
  core::TimePoint disconnected_since;
  core::TimePoint last_send;
  std::atomic<bool> connected = false;

  // nng_close waits until the pipe callbacks have returned, so they cannot use a destroyed object.
  ~Connection() { nng_close(this->socket); }

  static void OnPipe(nng_pipe /*pipe*/, nng_pipe_ev event, void* argument) {
    static_cast<Connection*>(argument)->connected = event == NNG_PIPE_EV_ADD_POST;
  }

  int Dial(const std::string& address, int send_buffer) {
    if (const int code = nng_push0_open(&this->socket); code != 0) {
      return code;
    }
    nng_socket_set_int(this->socket, NNG_OPT_SENDBUF, send_buffer);
    nng_socket_set_ms(this->socket, NNG_OPT_RECONNMINT, kReconnectMinimumMilliseconds);
    nng_socket_set_ms(this->socket, NNG_OPT_RECONNMAXT, kReconnectMaximumMilliseconds);
    nng_pipe_notify(this->socket, NNG_PIPE_EV_ADD_POST, OnPipe, this);
    nng_pipe_notify(this->socket, NNG_PIPE_EV_REM_POST, OnPipe, this);
    return nng_dial(this->socket, UrlOf(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  }
};

core::Result<std::unique_ptr<ControlTransport>> ControlTransport::Create(
    const TransportOptions& options, ReceiveFunction receive) {
  const std::string& address = options.listen_address;
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) {
    return ListenError(address, NNG_EADDRINVAL);
  }
  std::unique_ptr<ControlTransport> transport(new ControlTransport(options));
  transport->listener->receive = std::move(receive);
  transport->listener->maximum_connections = options.maximum_connections;
  int port = 0;
  if (const int code = transport->listener->Listen(options, &port); code != 0) {
    return ListenError(address, code);
  }
  transport->bound_address = fmt::format("{}:{}", address.substr(0, colon), port);
  return transport;
}

ControlTransport::ControlTransport(TransportOptions options)
    : options(std::move(options)), listener(std::make_unique<Listener>()) {}

ControlTransport::~ControlTransport() { Listener::Stop(std::move(this->listener)); }

bool ControlTransport::Send(const std::string& address, std::string_view datagram,
                            core::TimePoint now) {
  if (this->IsBlocked(address)) {
    ++this->sent.blocked_messages;
    return false;
  }
  Connection* connection = this->ConnectionTo(address, now);
  nng_msg* message = nullptr;
  if (connection == nullptr || nng_msg_alloc(&message, datagram.size()) != 0) {
    ++this->sent.dropped_messages;
    return false;
  }
  std::memcpy(nng_msg_body(message), datagram.data(), datagram.size());
  connection->last_send = now;
  if (nng_sendmsg(connection->socket, message, NNG_FLAG_NONBLOCK) != 0) {
    nng_msg_free(message);
    ++this->sent.dropped_messages;
    return false;
  }
  ++this->sent.sent_messages;
  this->sent.sent_bytes += datagram.size();
  return true;
}

ControlTransport::Connection* ControlTransport::ConnectionTo(const std::string& address,
                                                             core::TimePoint now) {
  const auto known = this->connections.find(address);
  if (known != this->connections.end()) {
    Connection& connection = *known->second;
    if (connection.connected) {
      connection.disconnected_since = now;
      return &connection;
    }
    if (now - connection.disconnected_since < this->options.connect_timeout) {
      return &connection;
    }
    this->connections.erase(known);
  }
  auto connection = std::make_unique<Connection>();
  connection->disconnected_since = now;
  if (connection->Dial(address, this->options.send_buffer) != 0) {
    return nullptr;
  }
  return this->connections.emplace(address, std::move(connection)).first->second.get();
}

void ControlTransport::CloseIdle(core::TimePoint now) {
  std::erase_if(this->connections, [&](const auto& entry) {
    return now - entry.second->last_send >= this->options.idle_timeout;
  });
}

void ControlTransport::Disconnect(const std::string& address) { this->connections.erase(address); }

void ControlTransport::BlockPeers(std::set<std::string> addresses) {
  this->blocked = std::move(addresses);
  for (const auto& address : this->blocked) {
    this->Disconnect(address);
  }
}

TransportCounters ControlTransport::counters() const {
  TransportCounters counters = this->sent;
  counters.received_messages = this->listener->messages;
  counters.received_bytes = this->listener->bytes;
  counters.refused_connections = this->listener->refused;
  return counters;
}

}  // namespace pomelospar::transport
