#include "services/pomelospard/upstream_attempt.h"

#include <fmt/format.h>

#include <utility>

#include "libraries/admission/outcome.h"
#include "services/pomelospard/router_error.h"

namespace pomelospar::daemon {
namespace {

namespace asio = boost::asio;

/// An attempt in progress.
struct Attempt {
  http::ServerExchange& exchange;
  const AttemptInput& input;
  StreamProgress& progress;
  const AttemptHooks& hooks;
  http::UpstreamConnection& connection;
  http::ResponseHead head;
  admission::ResponseFormat format;
  admission::ResponseCostMeter cost;
  std::uint64_t received_bytes = 0;
};

AttemptResult MakeResult(AttemptEnd end, core::Error error = {}) {
  return {.end = end, .error = std::move(error)};
}

AttemptResult UpstreamError(const Attempt& attempt, core::Error error) {
  if (attempt.exchange.disconnected()) {
    return MakeResult(AttemptEnd::kCallerGone, std::move(error));
  }
  const bool lost = core::Is(error, core::ErrorKind::kClosed);
  const auto end = attempt.progress.started ? AttemptEnd::kBroken : AttemptEnd::kFailed;
  return {.end = end, .error = std::move(error), .connection_lost = lost};
}

bool IsEventStream(const http::ResponseHead& head) {
  const auto type = head.FindHeader("Content-Type");
  return type && type->starts_with("text/event-stream");
}

admission::ResponseFormat FormatOf(const configuration::Upstream& upstream,
                                   const http::ResponseHead& head) {
  if (upstream.kind != configuration::UpstreamKind::kModelEngine) {
    return admission::ResponseFormat::kOther;
  }
  return IsEventStream(head) ? admission::ResponseFormat::kServerSentEvents
                             : admission::ResponseFormat::kJson;
}

// Only the router may set headers with this prefix; those of an upstream are not relayed.
bool IsRouterHeader(const http::HttpHeader& header) {
  constexpr std::string_view kPrefix = "Pomelospar-";
  return http::EqualsIgnoringCase(std::string_view(header.name).substr(0, kPrefix.size()), kPrefix);
}

std::vector<http::HttpHeader> UpstreamHeaders(const Attempt& attempt) {
  auto headers = http::RelayableHeaders(attempt.head.headers);
  std::erase_if(headers, IsRouterHeader);
  return headers;
}

std::vector<http::HttpHeader> ResponseHeaders(const Attempt& attempt) {
  auto headers = UpstreamHeaders(attempt);
  headers.insert(headers.end(), attempt.input.response_headers.begin(),
                 attempt.input.response_headers.end());
  return headers;
}

asio::awaitable<core::Result<void>> StartStream(Attempt& attempt) {
  if (attempt.progress.started) {
    co_return core::Success();
  }
  attempt.progress.started = true;
  http::ResponseHead head = attempt.head;
  head.headers = ResponseHeaders(attempt);
  // The outcome of a stream is known only at its end, so it follows the body as a trailer, which
  // only a chunked body can have.
  head.content_length.reset();
  head.chunked = true;
  head.headers.push_back({"Trailer", std::string(admission::kOutcomeHeader)});
  co_return co_await attempt.exchange.StartStream(std::move(head));
}

asio::awaitable<core::Result<void>> Relay(Attempt& attempt, std::string_view bytes) {
  if (bytes.empty()) {
    co_return core::Success();
  }
  auto started = co_await StartStream(attempt);
  if (!started) {
    co_return started;
  }
  auto written = co_await attempt.exchange.Write(bytes);
  attempt.hooks.on_relayed();
  co_return written;
}

core::Result<void> CountBytesAndCost(Attempt& attempt, std::string_view piece) {
  attempt.received_bytes += piece.size();
  if (attempt.received_bytes > attempt.input.maximum_response_bytes) {
    return core::MakeError(core::ErrorKind::kTooLarge,
                           "the upstream's response exceeds limits.maximum_answer_bytes");
  }
  attempt.cost.Feed(piece);
  // The tokens of a document are known only from the usage at its end, and what was charged cannot
  // be taken back.
  if (attempt.format != admission::ResponseFormat::kJson) {
    attempt.hooks.on_cost(attempt.cost.cost());
  }
  return core::Success();
}

// Reads the next piece of the body and charges its cost; returns nothing at the end of the body.
asio::awaitable<core::Result<std::optional<std::string>>> ReadCounted(Attempt& attempt) {
  auto piece = co_await attempt.connection.ReadPiece(attempt.input.route->idle_timeout);
  if (piece && piece.value()) {
    if (auto counted = CountBytesAndCost(attempt, *piece.value()); !counted) {
      co_return counted.error();
    }
  }
  co_return piece;
}

asio::awaitable<AttemptResult> FinishStream(Attempt& attempt) {
  attempt.cost.Finish();
  attempt.hooks.on_cost(attempt.cost.cost());
  auto started = co_await StartStream(attempt);
  std::vector<http::HttpHeader> trailers;
  trailers.push_back({std::string(admission::kOutcomeHeader),
                      std::string(admission::HeaderValue(admission::Outcome::kAnswered))});
  auto finished = co_await attempt.exchange.FinishStream(std::move(trailers));
  const bool delivered = started && finished;
  co_return MakeResult(delivered ? AttemptEnd::kAnswered : AttemptEnd::kCallerGone);
}

asio::awaitable<AttemptResult> RelayEvents(Attempt& attempt) {
  auto& buffer = attempt.progress.buffer;
  buffer.DropRest();
  while (true) {
    auto piece = co_await ReadCounted(attempt);
    if (!piece) {
      co_return UpstreamError(attempt, piece.error());
    }
    if (!piece.value()) {
      break;
    }
    const auto events = buffer.Append(*piece.value());
    if (auto relayed = co_await Relay(attempt, events); !relayed) {
      co_return MakeResult(AttemptEnd::kCallerGone, relayed.error());
    }
  }
  // An engine marks the end of a stream with an event; a body without that event is incomplete.
  if (attempt.input.upstream->kind == configuration::UpstreamKind::kModelEngine &&
      !attempt.cost.saw_done()) {
    co_return UpstreamError(
        attempt, core::MakeError(core::ErrorKind::kClosed,
                                 "the upstream ended the stream without its last event"));
  }
  const auto rest = buffer.Rest();
  if (auto relayed = co_await Relay(attempt, rest); !relayed) {
    co_return MakeResult(AttemptEnd::kCallerGone, relayed.error());
  }
  co_return co_await FinishStream(attempt);
}

asio::awaitable<AttemptResult> RespondWhole(Attempt& attempt, std::string body) {
  attempt.cost.Finish();
  attempt.hooks.on_cost(attempt.cost.cost());
  http::HttpResponse response;
  response.status = attempt.head.status;
  response.headers = UpstreamHeaders(attempt);
  response.body = std::move(body);
  // The request flow sends the response, because a claim may have to be settled with it.
  co_return AttemptResult{.end = AttemptEnd::kAnswered, .response = std::move(response)};
}

asio::awaitable<AttemptResult> RelayBody(Attempt& attempt) {
  std::string buffered;
  while (true) {
    auto piece = co_await ReadCounted(attempt);
    if (!piece) {
      co_return UpstreamError(attempt, piece.error());
    }
    if (!piece.value()) {
      break;
    }
    buffered += *piece.value();
    if (!attempt.progress.started && buffered.size() <= kBufferedResponseBytes) {
      continue;
    }
    if (auto relayed = co_await Relay(attempt, buffered); !relayed) {
      co_return MakeResult(AttemptEnd::kCallerGone, relayed.error());
    }
    buffered.clear();
  }
  if (!attempt.progress.started) {
    co_return co_await RespondWhole(attempt, std::move(buffered));
  }
  co_return co_await FinishStream(attempt);
}

// A faulty upstream may send a second response, late, when the connection is in use again. Only the
// identifier of the request tells such a response from its own one, so a connection without it
// carries one request.
core::Result<void> CheckIdentifier(const AttemptInput& input, const http::ResponseHead& head,
                                   http::UpstreamConnection& connection) {
  const auto echoed = head.FindHeader(kRequestIdHeader);
  if (!echoed) connection.ForbidReuse();
  if (echoed ? *echoed == input.request_id : !connection.is_reused()) return core::Success();
  connection.Close();
  return core::MakeError(
      core::ErrorKind::kMalformed,
      fmt::format("upstream {} sent the response to another request", input.runner_address));
}

asio::awaitable<AttemptResult> SendAndRelay(http::ServerExchange& exchange,
                                            const AttemptInput& input, StreamProgress& progress,
                                            const AttemptHooks& hooks,
                                            http::UpstreamConnection& connection) {
  constexpr auto kFormat = admission::ResponseFormat::kOther;
  Attempt attempt = {
      exchange,   input, progress, hooks,
      connection, {},    kFormat,  {input.upstream->cost, kFormat, input.estimated_input_tokens}};
  auto sent = co_await connection.Send(input.request, input.route->first_byte_timeout);
  if (!sent) {
    if (!connection.any_byte_sent()) {
      co_return MakeResult(exchange.disconnected() ? AttemptEnd::kCallerGone : AttemptEnd::kNotSent,
                           sent.error());
    }
    co_return UpstreamError(attempt, sent.error());
  }
  auto head = co_await connection.ReadHead(input.route->first_byte_timeout);
  if (!head) {
    co_return UpstreamError(attempt, head.error());
  }
  if (auto own = CheckIdentifier(input, head.value(), connection); !own) {
    co_return UpstreamError(attempt, own.error());
  }
  attempt.head = std::move(head.value());
  attempt.format = FormatOf(*input.upstream, attempt.head);
  attempt.cost = admission::ResponseCostMeter(input.upstream->cost, attempt.format,
                                              input.estimated_input_tokens);
  hooks.on_head(attempt.head);
  progress.events = IsEventStream(attempt.head);
  if (progress.events) {
    co_return co_await RelayEvents(attempt);
  }
  if (progress.started) {
    co_return UpstreamError(attempt, core::MakeError(core::ErrorKind::kMalformed,
                                                     "the upstream did not resume the stream"));
  }
  co_return co_await RelayBody(attempt);
}

}  // namespace

asio::awaitable<AttemptResult> RunAttempt(http::UpstreamPool& pool, http::ServerExchange& exchange,
                                          const AttemptInput& input, StreamProgress& progress,
                                          const AttemptHooks& hooks, ActiveConnection& active) {
  auto acquired = co_await pool.Acquire(input.runner_address, input.upstream->connect_timeout);
  if (!acquired) {
    co_return MakeResult(exchange.disconnected() ? AttemptEnd::kCallerGone : AttemptEnd::kNotSent,
                         acquired.error());
  }
  if (exchange.disconnected()) {
    pool.Release(std::move(acquired.value()));
    co_return MakeResult(AttemptEnd::kCallerGone);
  }
  auto owned = std::move(acquired.value());
  active.connection = owned.get();
  auto result = co_await SendAndRelay(exchange, input, progress, hooks, *owned);
  active.connection = nullptr;
  pool.Release(std::move(owned));
  co_return result;
}

}  // namespace pomelospar::daemon
