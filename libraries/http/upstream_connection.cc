#include "libraries/http/upstream_connection.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "libraries/http/buffer.h"
#include "libraries/http/byte_stream.h"
#include "libraries/http/deadline.h"
#include "libraries/http/message_text.h"

namespace pomelospar::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using ResponseParser = beast::http::response_parser<beast::http::string_body>;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
/// Sizes of the read block in bytes. A small block is enough for a stream of small events; after a
/// read that fills the block, the next one is larger.
constexpr std::size_t kSmallestReadBlock = 4U << 10U;
constexpr std::size_t kLargestReadBlock = 64U << 10U;
constexpr std::uint32_t kHeaderLimit = 64U << 10U;
/// Maximum number of buffered bytes of an incomplete header, chunk header or trailer.
constexpr std::size_t kMaxUnparsedBytes = 2 * kLargestReadBlock;
constexpr unsigned kMaxInterimResponses = 8;
/// Interval at which it is checked whether the upstream has received the whole request.
constexpr auto kDeliveryPollInterval = std::chrono::milliseconds(5);
/// The parser takes any number of three digits as a status.
constexpr unsigned kLowestStatus = 100;
constexpr unsigned kHighestStatus = 599;
/// A body of up to this many bytes is copied behind the head and written with it in one call.
constexpr std::size_t kMaxJoinedBodyBytes = 16U << 10U;

core::Error Malformed(std::string_view address, std::string_view what) {
  return core::MakeError(core::ErrorKind::kMalformed,
                         fmt::format("upstream {} sent an invalid response: {}", address, what));
}

std::uint64_t NextConnectionId() {
  static std::atomic<std::uint64_t> last{0};
  return ++last;
}

}  // namespace

struct UpstreamConnection::State {
  State(tcp::socket socket, std::string peer_address)
      : executor(socket.get_executor()),
        stream(std::move(socket)),
        deadline(executor, [this] { this->stream.Close(); }),
        address(std::move(peer_address)),
        read_block(kSmallestReadBlock) {}

  core::Error Fail(core::Error error) {
    this->failed = true;
    this->stream.Close();
    return error;
  }

  core::Error StreamError(std::string_view action) {
    if (this->deadline.expired()) {
      return this->Fail(
          core::MakeError(core::ErrorKind::kTimeout,
                          fmt::format("upstream {} was too slow: {}", this->address, action)));
    }
    return this->Fail(core::MakeError(
        core::ErrorKind::kClosed,
        fmt::format("the connection to upstream {} ended: {}", this->address, action)));
  }

  void ResetParser() {
    this->parser.emplace();
    this->parser->header_limit(kHeaderLimit);
    // The body is returned in pieces, so the caller limits its length.
    this->parser->body_limit(boost::none);
    this->parser->eager(true);
    this->parser->skip(this->head_request);
  }

  /// Passes unparsed bytes to the parser. Returns false if the parser needs more input.
  core::Result<bool> Parse() {
    if (this->input.empty()) return false;
    beast::error_code error;
    const auto used = this->parser->put(asio::buffer(this->input), error);
    this->input.erase(0, used);
    if (error == beast::http::error::need_more) return used > 0;
    if (error) return this->Fail(Malformed(this->address, error.message()));
    return true;
  }

  asio::awaitable<core::Result<void>> ReadMore() {
    if (this->input.size() > kMaxUnparsedBytes) {
      co_return this->Fail(core::MakeError(
          core::ErrorKind::kTooLarge,
          fmt::format("upstream {} sent a header that is too long", this->address)));
    }
    const auto [error, count] = co_await this->stream.ReadSome(asio::buffer(this->read_block));
    if (error == asio::error::eof && this->EndsWithConnection()) {
      BOOST_OUTCOME_CO_TRY(co_await this->AwaitDelivery());
      beast::error_code end_error;
      this->parser->put_eof(end_error);
      if (!end_error) co_return core::Success();
    }
    if (error) co_return this->StreamError("before the response was complete");
    this->input.append(this->read_block.data(), count);
    if (count == this->read_block.size() && count < kLargestReadBlock) {
      this->read_block.resize(std::min(count * 4, kLargestReadBlock));
    }
    co_return core::Success();
  }

  /// Returns when the upstream has received the whole request. One that resets the connection
  /// instead has broken off its response, although the end of its sending side looked like the end
  /// of the body.
  asio::awaitable<core::Result<void>> AwaitDelivery() {
    asio::steady_timer poll(this->executor);
    auto delivery = this->stream.FindDelivery();
    while (delivery == ByteStream::Delivery::kPending) {
      poll.expires_after(kDeliveryPollInterval);
      co_await poll.async_wait(kTuple);
      delivery = this->stream.FindDelivery();
    }
    if (delivery == ByteStream::Delivery::kReset) {
      co_return this->StreamError("before the upstream had received the whole request");
    }
    co_return core::Success();
  }

  bool EndsWithConnection() const {
    return this->accept_close_delimited && this->parser->is_header_done() &&
           this->parser->need_eof();
  }

  /// Returns why the framing of the response is rejected, or an empty text if it is accepted.
  std::string FramingError() {
    const auto status = this->parser->get().result_int();
    if (status == 101) return "it switches protocols, which was not asked for";
    if (this->parser->need_eof() && !this->accept_close_delimited) {
      return "its body has neither a length nor chunks";
    }
    if (this->parser->get().version() != 11) return "it is not HTTP/1.1";
    return {};
  }

  ResponseHead Head() {
    ResponseHead head;
    const auto& message = this->parser->get();
    head.status = message.result_int();
    for (const auto& field : message) {
      const std::string_view name = field.name_string();
      if (EqualsIgnoringCase(name, "Content-Length")) continue;
      if (EqualsIgnoringCase(name, "Transfer-Encoding")) continue;
      head.headers.push_back({std::string(name), std::string(field.value())});
    }
    head.chunked = this->parser->chunked();
    if (const auto length = this->parser->content_length()) head.content_length = *length;
    return head;
  }

  asio::any_io_executor executor;
  ByteStream stream;
  Deadline deadline;
  std::string address;
  std::uint64_t id = NextConnectionId();
  std::optional<ResponseParser> parser;
  std::string output;
  std::string input;
  std::vector<char> read_block;
  bool head_request = false;
  bool accept_close_delimited = false;
  bool any_byte_sent = false;
  std::uint64_t requests = 0;
  bool response_read = true;
  bool reuse_forbidden = false;
  bool failed = false;
};

UpstreamConnection::UpstreamConnection(std::unique_ptr<State> owned) : state(std::move(owned)) {}
UpstreamConnection::~UpstreamConnection() = default;

asio::awaitable<core::Result<std::unique_ptr<UpstreamConnection>>> UpstreamConnection::Open(
    std::string address, core::Duration connect_timeout) {
  BOOST_OUTCOME_CO_TRY(const auto endpoint, ParseEndpoint(address));
  tcp::socket socket(co_await asio::this_coro::executor);
  Deadline deadline(socket.get_executor(), [&socket] {
    boost::system::error_code ignored;
    socket.close(ignored);
  });
  deadline.ExpireAfter(connect_timeout);
  const auto [error] = co_await socket.async_connect(endpoint, kTuple);
  deadline.Clear();
  if (error || deadline.expired()) {
    const auto kind =
        deadline.expired() ? core::ErrorKind::kTimeout : core::ErrorKind::kUnavailable;
    co_return core::MakeError(
        kind, fmt::format("cannot connect to {}: {}", address,
                          deadline.expired() ? "it did not respond in time" : error.message()));
  }
  auto state = std::make_unique<State>(std::move(socket), std::move(address));
  co_return std::unique_ptr<UpstreamConnection>(new UpstreamConnection(std::move(state)));
}

asio::awaitable<core::Result<void>> UpstreamConnection::Send(const HttpRequest& request,
                                                             core::Duration timeout) {
  return this->Send(request, request.body, timeout);
}

asio::awaitable<core::Result<void>> UpstreamConnection::Send(const HttpRequest& request,
                                                             std::string_view body,
                                                             core::Duration timeout) {
  auto& self = *this->state;
  self.any_byte_sent = false;
  // Bytes that arrived before the request was sent would be read as the response to it.
  if (!this->IsIdleAndClean()) {
    co_return self.Fail(core::MakeError(
        core::ErrorKind::kClosed,
        fmt::format("the idle connection to upstream {} was closed or holds bytes that no request "
                    "asked for",
                    self.address)));
  }
  ++self.requests;
  self.output.clear();
  BOOST_OUTCOME_CO_TRY(AppendRequestHead(request, body.size(), self.address, self.output));
  const bool is_joined = body.size() <= kMaxJoinedBodyBytes;
  if (is_joined) self.output += body;
  self.head_request = request.method == "HEAD";
  self.response_read = false;
  self.ResetParser();
  self.any_byte_sent = true;
  self.deadline.ExpireAfter(timeout);
  auto [error, count] = co_await self.stream.WriteAll(asio::buffer(self.output));
  ReleaseBuffer(self.output);
  self.any_byte_sent = count > 0;
  if (!error && !is_joined) {
    const auto result = co_await self.stream.WriteAll(asio::buffer(body));
    error = std::get<0>(result);
  }
  self.deadline.Clear();
  if (error) co_return self.StreamError("while the request was sent");
  co_return core::Success();
}

bool UpstreamConnection::any_byte_sent() const { return this->state->any_byte_sent; }

asio::awaitable<core::Result<ResponseHead>> UpstreamConnection::ReadHead(core::Duration timeout) {
  auto& self = *this->state;
  if (!self.parser || self.failed) co_return self.StreamError("no request was sent");
  self.deadline.ExpireAfter(timeout);
  unsigned interim = 0;
  while (true) {
    BOOST_OUTCOME_CO_TRY(const bool progress, self.Parse());
    if (self.parser->is_header_done()) {
      const auto status = self.parser->get().result_int();
      if (status < kLowestStatus || status > kHighestStatus ||
          (status < 200 && ++interim > kMaxInterimResponses)) {
        co_return self.Fail(Malformed(self.address, "its status is not valid here"));
      }
      if (status >= 200 || status == 101) break;
      self.ResetParser();
      continue;
    }
    if (progress) continue;
    BOOST_OUTCOME_CO_TRY(co_await self.ReadMore());
  }
  self.deadline.Clear();
  const auto fault = self.FramingError();
  if (!fault.empty()) co_return self.Fail(Malformed(self.address, fault));
  co_return self.Head();
}

asio::awaitable<core::Result<std::optional<std::string>>> UpstreamConnection::ReadPiece(
    core::Duration timeout) {
  auto& self = *this->state;
  if (!self.parser || self.failed) co_return self.StreamError("no response is being read");
  self.deadline.ExpireAfter(timeout);
  while (true) {
    auto& body = self.parser->get().body();
    if (!body.empty()) {
      self.deadline.Clear();
      co_return std::optional<std::string>(std::exchange(body, std::string()));
    }
    if (self.parser->is_done()) break;
    BOOST_OUTCOME_CO_TRY(const bool progress, self.Parse());
    if (progress) continue;
    BOOST_OUTCOME_CO_TRY(co_await self.ReadMore());
  }
  self.deadline.Clear();
  self.response_read = true;
  // An idle connection keeps small buffers only.
  if (self.input.empty()) ReleaseBuffer(self.input);
  if (self.read_block.size() > kSmallestReadBlock) {
    self.read_block = std::vector<char>(kSmallestReadBlock);
  }
  co_return std::optional<std::string>();
}

void UpstreamConnection::AcceptCloseDelimited() { this->state->accept_close_delimited = true; }

void UpstreamConnection::ExpectAnotherResponse() {
  this->state->response_read = false;
  this->state->ResetParser();
}

bool UpstreamConnection::is_reused() const { return this->state->requests > 1; }

bool UpstreamConnection::reusable() const {
  const auto& self = *this->state;
  if (self.failed || !self.response_read || !self.input.empty()) return false;
  if (self.reuse_forbidden) return false;
  return self.stream.is_open() && (!self.parser || self.parser->keep_alive());
}

bool UpstreamConnection::IsIdleAndClean() {
  return this->reusable() && this->state->stream.IsIdle();
}

void UpstreamConnection::ForbidReuse() { this->state->reuse_forbidden = true; }

void UpstreamConnection::Close() {
  this->state->failed = true;
  this->state->stream.Close();
}

const std::string& UpstreamConnection::address() const { return this->state->address; }

std::uint64_t UpstreamConnection::id() const { return this->state->id; }

}  // namespace pomelospar::http
