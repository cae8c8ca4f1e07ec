// Admission of a request: authentication, routing, cost limit, crash verdict and idempotency claim.
#include <fmt/format.h>

#include <boost/asio/this_coro.hpp>
#include <tuple>
#include <utility>

#include "libraries/admission/digest.h"
#include "services/pomelospard/awaitable_callback.h"
#include "services/pomelospard/request_flow.h"
#include "services/pomelospard/sleep.h"

namespace pomelospar::daemon {
namespace {

namespace asio = boost::asio;
using admission::Outcome;

constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";

std::string_view HeaderOrEmpty(const http::HttpRequest& request, std::string_view name) {
  return request.FindHeader(name).value_or(std::string_view());
}

http::HttpResponse ReplayResponse(claims::RecordedAnswer answer) {
  http::HttpResponse response;
  response.status = answer.status;
  response.body = std::move(answer.body);
  for (auto& [name, value] : answer.headers) {
    response.headers.push_back({std::move(name), std::move(value)});
  }
  response.headers.push_back({"Pomelospar-Replayed", "true"});
  return response;
}

}  // namespace

std::optional<RouterError> RequestFlow::Admit() {
  const auto& request = this->exchange.request();
  if (this->state.lifecycle != Lifecycle::kServing) {
    return RouterError{.status = 503,
                       .code = "not_serving",
                       .message = "this router is starting or stopping; send the request again",
                       .retry_after = std::chrono::seconds(1)};
  }
  const auto workspace = this->state.authenticator->Authenticate(
      HeaderOrEmpty(request, "Authorization"), HeaderOrEmpty(request, "X-Api-Key"));
  if (!workspace) {
    return RouterError{.status = 401, .code = "unauthorized", .message = workspace.error().message};
  }
  auto peeked = admission::ParseRequestBody(request.body);
  if (peeked) {
    this->body = std::move(peeked.value());
  }
  const auto resolved =
      admission::Resolve(*this->configuration, workspace.value(),
                         {.method = request.method,
                          .path = request.path(),
                          .class_header = HeaderOrEmpty(request, admission::kClassHeader),
                          .model = this->body.model});
  if (!resolved) {
    // If the model is missing because the body is not JSON, the parse error explains the cause
    // better.
    const bool malformed = !peeked && resolved.error().status == 404 && !request.body.empty();
    return RouterError{.status = malformed ? 400 : resolved.error().status,
                       .code = malformed ? "malformed_body" : "not_routable",
                       .message = malformed ? peeked.error().message : resolved.error().message};
  }
  this->resolution = resolved.value();
  const bool is_model =
      this->resolution.upstream->kind == configuration::UpstreamKind::kModelEngine;
  if (is_model && !peeked) {
    return RouterError{.status = 400, .code = "malformed_body", .message = peeked.error().message};
  }
  const auto& units = this->resolution.upstream->cost;
  const auto largest =
      admission::CostOf(units, this->body.input_tokens, this->body.maximum_tokens.value_or(0));
  if (is_model && largest > this->configuration->limits.largest_request_cost) {
    // The fairness bound holds for requests up to the declared cost.
    return RouterError{
        .status = 400,
        .code = "request_too_costly",
        .message = fmt::format("the request may cost {:.0f} units, and limits.largest_request_cost "
                               "is {:.0f}; send a shorter prompt or a lower max_tokens",
                               largest, this->configuration->limits.largest_request_cost)};
  }
  this->caller = admission::CallerName(HeaderOrEmpty(request, admission::kCallerHeader),
                                       this->body.user, request.remote_address);
  this->estimated_cost = this->state.estimator.Estimate(
      {this->resolution.workspace->id, this->resolution.request_class->id,
       this->resolution.upstream->id},
      units, this->body.input_tokens, this->body.maximum_tokens);
  this->series = &this->state.metrics.FindSeries(this->resolution.workspace->name,
                                                 this->resolution.request_class->name);
  if (auto* record = this->state.recent.Find(this->id)) {
    record->workspace = this->resolution.workspace->name;
    record->request_class = this->resolution.request_class->name;
    record->upstream = this->resolution.upstream->name;
    record->generation = this->configuration->generation;
  }
  this->fingerprint = admission::FingerprintOf(this->resolution.workspace->name, request.method,
                                               request.target, request.body);
  return this->CheckQuarantine();
}

std::optional<RouterError> RequestFlow::CheckQuarantine() const {
  const auto verdict = this->state.crashes->VerdictFor(this->state.clock.now(), this->fingerprint);
  if (verdict != admission::CrashVerdict::kQuarantined) {
    return std::nullopt;
  }
  return RouterError{
      .status = 422,
      .code = "quarantined",
      .message =
          "this request was running on several upstream processes when they crashed; it is "
          "refused for up to 10 minutes. Change the request, or ask the operator to clear "
          "its quarantine",
      .outcome = this->any_byte_sent ? Outcome::kUnknown : Outcome::kNotRun};
}

asio::awaitable<bool> RequestFlow::WaitForVerdict() {
  using admission::CrashVerdict;
  const auto deadline = this->received + this->configuration->limits.queue_timeout;
  while (this->state.clock.now() < deadline) {
    const auto verdict =
        this->state.crashes->VerdictFor(this->state.clock.now(), this->fingerprint);
    const bool wait = verdict == CrashVerdict::kPending ||
                      (verdict == CrashVerdict::kRunAlone && this->OtherSuspectRuns());
    if (!wait) {
      break;
    }
    co_await Sleep(kVerdictPoll);
  }
  if (auto error = this->CheckQuarantine()) {
    co_await this->RespondWithError(std::move(*error));
    co_return false;
  }
  co_return true;
}

// Two suspects of this router never run at the same time, so that a crash caused by one of them
// does not count against the other.
bool RequestFlow::OtherSuspectRuns() const {
  for (const auto& [id, request] : this->state.running) {
    const bool other = id != this->number && request.fingerprint != this->fingerprint;
    if (other && this->state.crashes->MustRunAlone(this->state.clock.now(), request.fingerprint)) {
      return true;
    }
  }
  return false;
}

asio::awaitable<bool> RequestFlow::BeginClaim() {
  const auto key = this->exchange.request().FindHeader(kIdempotencyHeader);
  if (!key) {
    RouterError error = {.status = 400,
                         .code = "idempotency_key_required",
                         .message =
                             "this route runs a request at most once; send the header "
                             "Idempotency-Key with a value of your own for each booking"};
    co_await this->RespondWithError(std::move(error));
    co_return false;
  }
  const auto& request = this->exchange.request();
  const auto hash =
      admission::ToHex(admission::Sha256OfParts({request.method, request.target, request.body}));
  AwaitableCallback<claims::BeginResult> pending(co_await asio::this_coro::executor);
  this->services.claims.Begin(this->state.clock.now(), this->resolution.workspace->name, *key, hash,
                              pending.Callback());
  auto begun = co_await pending.Wait();
  if (begun.verdict == claims::ClaimVerdict::kProceed) {
    this->claim = std::move(begun.claim);
    this->RecordStep("claim written");
    co_return true;
  }
  if (begun.verdict == claims::ClaimVerdict::kAnsweredBefore) {
    auto response = ReplayResponse(std::move(*begun.answer));
    AddRouterHeaders(response.headers, Outcome::kAnswered, this->id);
    const auto status = response.status;
    std::ignore = co_await this->exchange.Respond(std::move(response));
    this->RecordStep("answered before; recorded response replayed");
    this->Conclude(status, Outcome::kAnswered);
    co_return false;
  }
  const bool unknown = begun.verdict == claims::ClaimVerdict::kRunningOrUnknown;
  RouterError error = {.status = claims::StatusOf(begun.verdict),
                       .code = "claim_refused",
                       .message = begun.message,
                       .outcome = unknown ? Outcome::kUnknown : Outcome::kNotRun};
  if (error.status == 503) {
    error.retry_after = std::chrono::seconds(2);
  }
  co_await this->RespondWithError(std::move(error));
  co_return false;
}

}  // namespace pomelospar::daemon
