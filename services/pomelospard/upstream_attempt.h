#ifndef POMELOSPAR_SERVICES_POMELOSPARD_UPSTREAM_ATTEMPT_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_UPSTREAM_ATTEMPT_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "libraries/admission/response_cost_meter.h"
#include "libraries/configuration/configuration.h"
#include "libraries/http/message.h"
#include "libraries/http/server_exchange.h"
#include "libraries/http/upstream_pool.h"
#include "services/pomelospard/event_stream_buffer.h"

namespace pomelospar::daemon {

/// Responses up to this size are read whole before the first byte is relayed, so that a truncated
/// one can still be retried; the same size is recorded for repeats of an idempotency key.
inline constexpr std::size_t kBufferedResponseBytes = 64UL * 1024;

enum class AttemptEnd {
  /// The whole response was relayed.
  kAnswered,
  /// No connection, or it was closed before a byte of the request was sent.
  kNotSent,
  /// The request was sent and failed before a byte of the response was relayed.
  kFailed,
  /// The response broke off after a part of it was relayed.
  kBroken,
  /// The caller closed its connection; the upstream call was cancelled.
  kCallerGone,
};

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kFailed;
  core::Error error;
  /// The upstream closed the connection without a complete response: it may have crashed.
  bool connection_lost = false;
  /// The response, if it was small enough to be read whole.
  std::optional<http::HttpResponse> response;
};

/// What the caller has received of a streamed response; kept across the attempts of one request.
struct StreamProgress {
  bool started = false;
  EventStreamBuffer buffer;
  /// Whether the response is a stream of server-sent events.
  bool events = false;
};

/// The parts of a request that one attempt needs.
struct AttemptInput {
  const configuration::Upstream* upstream = nullptr;
  const configuration::Route* route = nullptr;
  std::size_t maximum_response_bytes = 0;
  std::string runner_address;
  /// Identifier of the request at this router, which the header `kRequestIdHeader` carries.
  std::string request_id;
  http::HttpRequest request;
  /// Headers that every response of this router carries.
  std::vector<http::HttpHeader> response_headers;
  std::uint64_t estimated_input_tokens = 0;
};

/// Callbacks that observe one attempt. All are called on the I/O thread.
struct AttemptHooks {
  /// The head of the response arrived.
  std::function<void(const http::ResponseHead&)> on_head;
  /// A piece of the body arrived; the argument is the cost so far in cost units.
  std::function<void(double)> on_cost;
  /// A piece was relayed to the caller.
  std::function<void()> on_relayed;
};

/// The connection that an attempt is using, or null. The handler of the caller's disconnection
/// closes it.
struct ActiveConnection {
  http::UpstreamConnection* connection = nullptr;
};

/// Sends the request to one runner and relays the response.
boost::asio::awaitable<AttemptResult> RunAttempt(
    http::UpstreamPool& pool, http::ServerExchange& exchange, const AttemptInput& input,
    StreamProgress& progress, const AttemptHooks& hooks, ActiveConnection& active);

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_UPSTREAM_ATTEMPT_H_
