#include "libraries/http/server_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <exception>
#include <tuple>
#include <utility>

#include "libraries/http/buffer.h"
#include "libraries/http/message_text.h"

namespace pomelospar::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using RequestParser = beast::http::request_parser<beast::http::string_body>;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
/// Sizes of the read block in bytes. An idle connection holds a small block; after a read that
/// fills the block, the next one is larger. A prompt of common size is read with one system call.
constexpr std::size_t kSmallestReadBlock = 14U << 10U;
constexpr std::size_t kLargestReadBlock = 64U << 10U;
/// While a request is served, reading pauses once this many bytes of further requests are buffered.
constexpr std::size_t kReadAheadLimit = 16U << 10U;
/// Output buffers with a larger capacity, in bytes, are released after the write.
constexpr std::size_t kMaxRetainedOutputBytes = 16U << 10U;
/// How long input is still read and discarded after the last response. Closing while the caller is
/// still sending would reset the connection, and the caller could lose the response.
constexpr core::Duration kDrainTimeout = std::chrono::seconds(1);
/// When the server stops, a connection that has not sent a request yet is kept for this time.
constexpr core::Duration kStopGracePeriod = std::chrono::seconds(1);

unsigned StatusOf(const beast::error_code& error) {
  if (error == beast::http::error::header_limit || error == beast::http::error::buffer_overflow) {
    return 431;
  }
  if (error == beast::http::error::body_limit) return 413;
  return 400;
}

/// Returns why a request with complete headers is rejected, or an empty text if it is accepted.
std::string HeaderError(const RequestParser& parser) {
  const auto& message = parser.get();
  if (message.version() != 11) return "use HTTP/1.1";
  if (message.count(beast::http::field::host) != 1) return "send exactly one Host header";
  // Without "chunked" as the last transfer coding, the two sides may disagree on the body length.
  if (message.count(beast::http::field::transfer_encoding) > 0 && !parser.chunked()) {
    return "use Content-Length or Transfer-Encoding: chunked";
  }
  return {};
}

HttpRequest TakeRequest(RequestParser& parser, const std::string& remote_address) {
  auto message = parser.release();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  request.remote_address = remote_address;
  return request;
}

bool ExpectsContinue(const RequestParser& parser) {
  const auto found = parser.get().find(beast::http::field::expect);
  return found != parser.get().end() && beast::iequals(found->value(), "100-continue");
}

HttpResponse NoResponseProduced() {
  HttpResponse response;
  response.status = 500;
  response.headers = {{"Pomelospar-Outcome", "unknown"}, {"Content-Type", "text/plain"}};
  response.body = "the request was accepted, but no response was produced\n";
  return response;
}

core::Error Gone() {
  return core::MakeError(core::ErrorKind::kClosed, "the caller closed its connection");
}

core::Error WrongOrder(std::string_view what) {
  return core::MakeError(core::ErrorKind::kInvalidArgument, std::string(what));
}

}  // namespace

ServerConnection::ServerConnection(std::shared_ptr<ServerState> owner,
                                   std::unique_ptr<ByteStream> connected,
                                   const asio::any_io_executor& io_executor, std::string remote)
    : server(std::move(owner)),
      stream(std::move(connected)),
      executor(io_executor),
      remote_address(std::move(remote)),
      deadline(io_executor, [this] { this->OnDeadline(); }),
      input_event(io_executor, core::TimePoint::max()),
      read_block(kSmallestReadBlock) {
  this->BeginStage(ConnectionStage::kBusy);
  this->server->connections.insert(this);
}

ServerConnection::~ServerConnection() {
  this->HoldBytes(0);
  this->EndRefusal();
  this->server->connections.erase(this);
}

void ServerConnection::OnDeadline() {
  if (this->writing) {
    this->write_timed_out = true;
    this->stream->Close();
  }
  this->input_event.cancel();
}

void ServerConnection::BeginStage(ConnectionStage stage) {
  this->activity.stage = stage;
  this->activity.since = std::chrono::steady_clock::now();
}

void ServerConnection::Close() { this->stream->Close(); }

void ServerConnection::StopWhenIdle() {
  if (!this->is_in(ConnectionStage::kWaiting) || !this->input.empty() || this->stream->HasInput()) {
    return;
  }
  if (this->activity.served_a_request) {
    this->stream->Close();
  } else {
    this->deadline.ExpireAfter(kStopGracePeriod);
  }
}

asio::awaitable<void> ServerConnection::Run() {
  const auto self = this->shared_from_this();
  this->writing = true;
  this->deadline.ExpireAfter(this->server->limits.header_timeout);
  const auto handshake_error = co_await this->stream->Handshake();
  this->writing = false;
  this->deadline.Clear();
  if (handshake_error) {
    this->stream->Close();
    co_return;
  }
  while (this->stream->is_open()) {
    if (!co_await this->WaitForFirstByte()) break;
    this->BeginStage(ConnectionStage::kReading);
    const auto outcome = co_await this->ReadRequest();
    if (const auto* refusal = std::get_if<Refusal>(&outcome)) {
      co_await this->SendRefusal(*refusal);
      break;
    }
    if (std::holds_alternative<ConnectionEnd>(outcome) || !this->stream->is_open()) break;
    co_await this->Serve();
    if (this->phase != Phase::kFinished) break;
    if (!this->keep_alive) {
      co_await this->DrainAndClose();
      break;
    }
  }
  this->stream->Close();
}

asio::awaitable<void> ServerConnection::RefuseForLimit() {
  this->BeginRefusal();
  return this->Refuse(ConnectionLimitRefusal());
}

asio::awaitable<void> ServerConnection::RefuseForLoad() {
  // The retry reaches another instance.
  return this->Refuse({503, "too many connections at once; retry elsewhere", "0.001"});
}

asio::awaitable<void> ServerConnection::Refuse(Refusal refusal) {
  const auto self = this->shared_from_this();
  co_await this->SendRefusal(std::move(refusal));
  this->stream->Close();
}

asio::awaitable<bool> ServerConnection::WaitForFirstByte() {
  const bool grace = this->server->stopping && !this->activity.served_a_request;
  if (this->server->stopping && !grace && this->input.empty() && !this->stream->HasInput()) {
    co_return false;
  }
  this->BeginStage(ConnectionStage::kWaiting);
  this->deadline.ExpireAfter(grace ? kStopGracePeriod : this->server->limits.keep_alive_timeout);
  bool extended = false;
  while (this->input.empty()) {
    if (co_await this->WaitForMoreInput()) continue;
    // A request that arrived in time is served also if this process noticed it later.
    if (extended || this->input_closed || !this->stream->HasInput()) break;
    extended = true;
    this->deadline.ExpireAfter(kStopGracePeriod);
  }
  co_return !this->input.empty();
}

/// Returns false if the connection closed or the deadline expired.
asio::awaitable<bool> ServerConnection::WaitForMoreInput() {
  const auto size = this->input.size();
  while (this->input.size() == size) {
    if (this->input_closed || this->deadline.expired() || !this->stream->is_open()) co_return false;
    if (this->is_in(ConnectionStage::kReading) && this->eviction) co_return false;
    this->StartReading();
    co_await this->input_event.async_wait(kTuple);
  }
  co_return true;
}

void ServerConnection::StartReading() {
  if (this->reading || this->input_closed) return;
  this->reading = true;
  asio::co_spawn(this->executor, this->ReadLoop(), asio::detached);
}

asio::awaitable<void> ServerConnection::ReadLoop() {
  const auto self = this->shared_from_this();
  do {
    const auto [error, count] = co_await this->stream->ReadSome(asio::buffer(this->read_block));
    if (error) {
      this->input_closed = true;
      break;
    }
    this->input.append(this->read_block.data(), count);
    this->activity.last_input = std::chrono::steady_clock::now();
    this->input_event.cancel();
    // What arrives while a request is served waits, so a larger block would not help.
    if (!this->is_in(ConnectionStage::kServing) && count == this->read_block.size() &&
        count < kLargestReadBlock) {
      this->read_block.resize(count * 4 > kLargestReadBlock ? kLargestReadBlock : count * 4);
    }
  } while (this->is_in(ConnectionStage::kServing) && this->input.size() < kReadAheadLimit);
  this->reading = false;
  this->input_event.cancel();
  if (this->input_closed) this->NotifyDisconnect();
}

asio::awaitable<ServerConnection::ReadOutcome> ServerConnection::ReadRequest() {
  const auto limits = this->server->limits;
  RequestParser parser;
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  parser.eager(true);
  bool headers_checked = false;
  this->deadline.ExpireAfter(limits.header_timeout);
  while (true) {
    beast::error_code error;
    std::size_t used = 0;
    if (!this->input.empty()) used = parser.put(asio::buffer(this->input), error);
    this->input.erase(0, used);
    if (error && error != beast::http::error::need_more) {
      co_return Refusal{StatusOf(error), error.message()};
    }
    if (this->server->drop_bodies) ReleaseBuffer(parser.get().body());
    if (!this->eviction && !this->HoldRequest(parser.get().body().size())) {
      this->eviction = MemoryRefusal();
    }
    if (this->eviction) co_return *this->eviction;
    if (parser.is_header_done() && !headers_checked) {
      headers_checked = true;
      const auto fault = HeaderError(parser);
      if (!fault.empty()) co_return Refusal{400, fault};
      if (!parser.is_done() && ExpectsContinue(parser)) {
        this->output = "HTTP/1.1 100 Continue\r\n\r\n";
        if (!co_await this->Flush()) co_return ConnectionEnd{};
      }
      this->deadline.ExpireAfter(limits.body_timeout);
    }
    if (parser.is_done()) break;
    // The parser does not limit an unfinished chunk header or trailer, which stays in `input`.
    if (this->input.size() > limits.header_bytes + kLargestReadBlock) {
      co_return Refusal{431, "a chunk header or trailer is too long"};
    }
    if (co_await this->WaitForMoreInput() || this->eviction) continue;
    if (this->deadline.expired()) co_return Refusal{408, "the request arrived too slowly"};
    co_return ConnectionEnd{};
  }
  this->deadline.Clear();
  this->keep_alive = parser.keep_alive();
  this->current_request = TakeRequest(parser, this->remote_address);
  this->ShrinkInput();
  co_return RequestRead{};
}

void ServerConnection::ShrinkInput() {
  if (!this->reading && this->read_block.size() > kSmallestReadBlock) {
    this->read_block = std::vector<char>(kSmallestReadBlock);
  }
  if (this->input.empty()) {
    ReleaseBuffer(this->input);
  } else {
    this->input.shrink_to_fit();
  }
}

asio::awaitable<void> ServerConnection::Serve() {
  this->phase = Phase::kNotStarted;
  this->body_expected = this->current_request.method != "HEAD";
  this->remaining_length.reset();
  this->BeginStage(ConnectionStage::kServing);
  ++this->server->active_exchanges;
  this->StartReading();
  ServerExchange exchange(*this);
  co_await this->CallHandler(exchange);
  if (this->phase == Phase::kNotStarted && !this->disconnected()) {
    auto response = NoResponseProduced();
    std::ignore = co_await this->Respond(std::move(response));
  }
  this->BeginStage(ConnectionStage::kBusy);
  this->activity.served_a_request = true;
  --this->server->active_exchanges;
  this->disconnect_handler = nullptr;
  this->current_request = HttpRequest();
  // The assignment above keeps the memory of the body.
  ReleaseBuffer(this->current_request.body);
  this->HoldBytes(0);
}

asio::awaitable<void> ServerConnection::CallHandler(ServerExchange& exchange) {
  try {
    co_await this->server->handler(exchange);
  } catch (const std::exception&) {
    if (this->phase == Phase::kStreaming) this->Abort();
  }
}

asio::awaitable<void> ServerConnection::SendRefusal(Refusal refusal) {
  this->BeginStage(ConnectionStage::kBusy);
  this->HoldBytes(0);
  this->ShrinkInput();
  this->phase = Phase::kNotStarted;
  this->keep_alive = false;
  this->body_expected = true;
  HttpResponse response;
  response.status = refusal.status;
  response.headers = {{"Pomelospar-Outcome", "not_run"}, {"Content-Type", "text/plain"}};
  if (refusal.status == 503) {
    response.headers.push_back({"Retry-After", std::string(refusal.retry_after)});
  }
  response.body = refusal.message + "\n";
  const auto sent = co_await this->Respond(std::move(response));
  if (!sent) co_return;
  co_await this->DrainAndClose();
}

asio::awaitable<void> ServerConnection::DrainAndClose() {
  co_await this->stream->ShutdownSend();
  this->BeginStage(ConnectionStage::kDraining);
  this->deadline.ExpireAfter(kDrainTimeout);
  // g++ 12 miscompiles co_await in the condition of a do-while loop.
  while (true) {
    ReleaseBuffer(this->input);
    const bool more = co_await this->WaitForMoreInput();
    if (!more) break;
  }
  this->stream->Close();
}

core::Result<void> ServerConnection::AppendHead(const ResponseHead& head) {
  if (this->phase != Phase::kNotStarted) {
    return WrongOrder("the response was already started");
  }
  if (this->server->stopping || this->server->close_after_responses) this->keep_alive = false;
  this->output.clear();
  return AppendResponseHead(head, this->keep_alive, this->output);
}

asio::awaitable<core::Result<void>> ServerConnection::Flush() {
  if (!this->stream->is_open()) co_return Gone();
  this->writing = true;
  this->deadline.ExpireAfter(this->server->limits.write_timeout);
  const auto [error, count] = co_await this->stream->WriteAll(asio::buffer(this->output));
  this->deadline.Clear();
  this->writing = false;
  if (this->output.capacity() > kMaxRetainedOutputBytes) ReleaseBuffer(this->output);
  this->output.clear();
  if (!error) co_return core::Success();
  this->phase = Phase::kFailed;
  this->stream->Close();
  co_return Gone();
}

asio::awaitable<core::Result<void>> ServerConnection::Respond(HttpResponse response) {
  ResponseHead head;
  head.status = response.status;
  head.headers = std::move(response.headers);
  const bool has_body = StatusAllowsBody(head.status);
  if (has_body) head.content_length = response.body.size();
  BOOST_OUTCOME_CO_TRY(this->AppendHead(head));
  if (has_body && this->body_expected) this->output += response.body;
  this->phase = Phase::kFinished;
  co_return co_await this->Flush();
}

asio::awaitable<core::Result<void>> ServerConnection::StartStream(ResponseHead head) {
  if (!StatusAllowsBody(head.status)) {
    head.chunked = false;
    head.content_length.reset();
    this->body_expected = false;
  } else if (!head.content_length) {
    head.chunked = true;
  }
  if (head.chunked) head.content_length.reset();
  BOOST_OUTCOME_CO_TRY(this->AppendHead(head));
  this->chunked = head.chunked;
  this->remaining_length = head.content_length;
  this->phase = Phase::kStreaming;
  co_return co_await this->Flush();
}

core::Result<void> ServerConnection::CountBody(std::size_t bytes) {
  if (!this->remaining_length) return core::Success();
  if (bytes > *this->remaining_length) {
    this->Abort();
    return WrongOrder("the body is longer than its announced length");
  }
  *this->remaining_length -= bytes;
  return core::Success();
}

asio::awaitable<core::Result<void>> ServerConnection::Write(std::string_view piece) {
  if (this->phase == Phase::kFailed) co_return Gone();
  if (this->phase != Phase::kStreaming) co_return WrongOrder("no response stream is open");
  if (!this->body_expected || piece.empty()) co_return core::Success();
  BOOST_OUTCOME_CO_TRY(this->CountBody(piece.size()));
  this->output.clear();
  if (this->chunked) {
    AppendChunk(piece, this->output);
  } else {
    this->output.append(piece);
  }
  co_return co_await this->Flush();
}

asio::awaitable<core::Result<void>> ServerConnection::FinishStream(
    std::vector<HttpHeader> trailers) {
  if (this->phase == Phase::kFailed) co_return Gone();
  if (this->phase != Phase::kStreaming) co_return WrongOrder("no response stream is open");
  if (this->body_expected && this->remaining_length.value_or(0) > 0) {
    this->Abort();
    co_return WrongOrder("the body is shorter than its announced length");
  }
  this->output.clear();
  if (this->chunked && this->body_expected) {
    const auto appended = AppendLastChunk(trailers, this->output);
    if (!appended) {
      this->Abort();
      co_return appended.error();
    }
  }
  this->phase = Phase::kFinished;
  if (this->output.empty()) co_return core::Success();
  co_return co_await this->Flush();
}

asio::awaitable<core::Result<void>> ServerConnection::WriteRaw(std::string_view bytes) {
  if (this->phase == Phase::kFailed) co_return Gone();
  if (this->phase == Phase::kNotStarted) {
    this->keep_alive = false;
    this->phase = Phase::kFinished;
  }
  this->output.assign(bytes);
  co_return co_await this->Flush();
}

void ServerConnection::Abort() {
  this->phase = Phase::kFailed;
  this->stream->Close();
}

bool ServerConnection::PeerHasClosed() {
  return this->disconnected() || (this->input.empty() && this->stream->IsAtEnd());
}

void ServerConnection::SetDisconnectHandler(std::function<void()> handler) {
  this->disconnect_handler = std::move(handler);
  if (!this->disconnected()) return;
  asio::post(this->executor, [weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) self->NotifyDisconnect();
  });
}

void ServerConnection::NotifyDisconnect() {
  if (!this->is_in(ConnectionStage::kServing) || !this->disconnect_handler) return;
  const auto handler = std::exchange(this->disconnect_handler, nullptr);
  handler();
}

}  // namespace pomelospar::http
