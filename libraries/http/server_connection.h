#ifndef POMELOSPAR_LIBRARIES_HTTP_SERVER_CONNECTION_H_
#define POMELOSPAR_LIBRARIES_HTTP_SERVER_CONNECTION_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <variant>
#include <vector>

#include "libraries/http/byte_stream.h"
#include "libraries/http/connection_replacement.h"
#include "libraries/http/deadline.h"
#include "libraries/http/server_exchange.h"
#include "libraries/http/server_options.h"

namespace pomelospar::http {

class ServerConnection;

/// State that all connections of one server share.
struct ServerState {
  ServerLimits limits;
  Handler handler;
  bool stopping = false;
  bool close_after_responses = false;
  std::size_t active_exchanges = 0;
  bool drop_bodies = false;
  /// Memory that the connections hold for requests; see `ServerLimits::total_request_bytes`.
  std::uint64_t held_bytes = 0;
  std::unordered_set<ServerConnection*> connections;
  /// Connections that are being refused because the limit of connections was reached.
  std::size_t refusing = 0;
  /// Numbers of idle connections that were closed for others, of connections refused for the limit
  /// of connections, and of requests refused for memory.
  std::uint64_t replaced_connections = 0;
  std::uint64_t refused_for_limit = 0;
  std::uint64_t refused_for_memory = 0;
};

/// Returns true if one more connection may be refused because the limit of connections is reached;
/// the number of those that are open in addition to the limit is bounded. If necessary, closes one
/// whose caller has received its refusal.
bool MakeRoomForRefusal(ServerState& server);

/// Makes room for a new connection: closes the connection with the lowest `ReplacementRank`, or
/// refuses its request if a part of it has arrived. Returns false if none may be replaced.
bool MakeRoom(ServerState& server);

/// A caller's connection. Reads requests one after the other and calls the handler for each.
/// Internal to the library.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<ServerState> server, std::unique_ptr<ByteStream> stream,
                   const boost::asio::any_io_executor& executor, std::string remote_address);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// Serves requests until the connection closes.
  boost::asio::awaitable<void> Run();
  /// Sends a 503 response and closes: for a connection beyond the limit, or for one that this
  /// instance has no processor time for. Nothing is read before.
  boost::asio::awaitable<void> RefuseForLimit();
  boost::asio::awaitable<void> RefuseForLoad();
  /// Closes the connection unless it is reading or serving a request. A connection that has not
  /// served a request yet is given a short grace period first.
  void StopWhenIdle();
  void Close();
  /// Nothing while a request is served or a response is written.
  std::optional<ReplacementRank> replacement_rank(core::TimePoint now) const;
  /// Leaves its place to a new connection. Returns false if the caller has sent data that was not
  /// read yet.
  bool GiveWay();
  /// True if the connection is refused because of the limit of connections.
  bool is_refused() const { return this->refused; }
  /// Memory that an unfinished request holds; 0 if none is being read.
  std::uint64_t unfinished_bytes() const;

  const HttpRequest& request() const { return this->current_request; }
  const boost::asio::any_io_executor& io_executor() const { return this->executor; }
  bool is_first_request() const { return !this->activity.served_a_request; }
  bool started() const { return this->phase != Phase::kNotStarted; }
  bool disconnected() const { return this->input_closed || !this->stream->is_open(); }
  bool has_write_timed_out() const { return this->write_timed_out; }
  bool PeerHasClosed();
  void CloseAfterResponse() { this->keep_alive = false; }
  boost::asio::awaitable<core::Result<void>> Respond(HttpResponse response);
  boost::asio::awaitable<core::Result<void>> StartStream(ResponseHead head);
  boost::asio::awaitable<core::Result<void>> Write(std::string_view piece);
  boost::asio::awaitable<core::Result<void>> FinishStream(std::vector<HttpHeader> trailers);
  boost::asio::awaitable<core::Result<void>> WriteRaw(std::string_view bytes);
  void Abort();
  void SetDisconnectHandler(std::function<void()> handler);

 private:
  enum class Phase { kNotStarted, kStreaming, kFinished, kFailed };
  /// A response that is sent to the caller without calling the handler.
  struct Refusal {
    unsigned status = 400;
    std::string message;
    /// Value of Retry-After if the status is 503.
    std::string_view retry_after = "1";
  };
  static Refusal MemoryRefusal();
  static Refusal ConnectionLimitRefusal();
  struct ConnectionEnd {};
  struct RequestRead {};
  using ReadOutcome = std::variant<RequestRead, ConnectionEnd, Refusal>;

  void BeginStage(ConnectionStage stage);
  bool is_in(ConnectionStage stage) const { return this->activity.stage == stage; }
  boost::asio::awaitable<void> Refuse(Refusal refusal);
  boost::asio::awaitable<bool> WaitForFirstByte();
  boost::asio::awaitable<ReadOutcome> ReadRequest();
  boost::asio::awaitable<bool> WaitForMoreInput();
  void StartReading();
  boost::asio::awaitable<void> ReadLoop();
  boost::asio::awaitable<void> Serve();
  boost::asio::awaitable<void> CallHandler(ServerExchange& exchange);
  boost::asio::awaitable<void> SendRefusal(Refusal refusal);
  boost::asio::awaitable<void> DrainAndClose();
  boost::asio::awaitable<core::Result<void>> Flush();
  core::Result<void> AppendHead(const ResponseHead& head);
  core::Result<void> CountBody(std::size_t bytes);
  /// Sets how many bytes of `ServerState::held_bytes` belong to this connection. Returns false if
  /// the total then exceeds the limit for a request of this size.
  bool HoldBytes(std::uint64_t bytes);
  /// Ends the unfinished request with this response.
  void EvictRequest(Refusal refusal);
  /// Count this connection as one that is refused because of the limit of connections.
  void BeginRefusal();
  void EndRefusal();
  /// Counts what a request with such a body holds. If the limit is exceeded, the largest unfinished
  /// requests are evicted; returns false if this is one of them.
  bool HoldRequest(std::uint64_t body_bytes);
  /// Frees the memory of large input buffers.
  void ShrinkInput();
  void NotifyDisconnect();
  void OnDeadline();

  std::shared_ptr<ServerState> server;
  std::unique_ptr<ByteStream> stream;
  boost::asio::any_io_executor executor;
  std::string remote_address;
  Deadline deadline;
  /// Never expires; it is cancelled to resume the coroutine that waits for input.
  boost::asio::steady_timer input_event;

  std::string input;
  std::vector<char> read_block;
  bool reading = false;
  bool input_closed = false;
  ConnectionActivity activity;

  HttpRequest current_request;
  std::uint64_t held_bytes = 0;
  /// Set if the unfinished request must end with a refusal.
  std::optional<Refusal> eviction;
  bool refused = false;
  bool writing = false;
  bool write_timed_out = false;
  bool keep_alive = false;
  bool body_expected = true;
  Phase phase = Phase::kNotStarted;
  bool chunked = false;
  std::optional<std::uint64_t> remaining_length;
  std::string output;
  std::function<void()> disconnect_handler;
};

}  // namespace pomelospar::http

#endif  // POMELOSPAR_LIBRARIES_HTTP_SERVER_CONNECTION_H_
