#include "services/pomelospard/request_flow.h"

#include <fmt/format.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tuple>
#include <utility>

#include "libraries/admission/digest.h"
#include "services/pomelospard/crash_controller.h"
#include "services/pomelospard/runner_controller.h"
#include "services/pomelospard/scheduling_controller.h"

namespace pomelospar::daemon {
namespace {

namespace asio = boost::asio;
using admission::Outcome;
using std::chrono::milliseconds;

// Beyond this a request more likely fails by its own content than by the runners' faults.
constexpr unsigned kMaximumAttempts = 4;

// A crashed process has closed its listener by this time after its connections broke.
constexpr milliseconds kCrashProbeDelay = milliseconds(20);
constexpr milliseconds kCrashProbeTimeout = milliseconds(200);

// A verdict about a crash takes up to 500 ms, until the reports of other routers have arrived.
constexpr milliseconds kVerdictPoll = milliseconds(50);

constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";
constexpr std::string_view kResumeHeader = "Resume-From";
constexpr std::string_view kLeavingHeader = "Pomelospar-Leaving";
constexpr std::string_view kIncarnationHeader = "Pomelospar-Runner-Incarnation";

std::string_view HeaderOrEmpty(const http::HttpRequest& request, std::string_view name) {
  return request.FindHeader(name).value_or(std::string_view());
}

asio::awaitable<void> Sleep(core::Duration time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

// Headers of the caller that end at the router: credentials and the router's own headers.
bool IsForRouter(const http::HttpHeader& header) {
  return http::EqualsIgnoringCase(header.name, "Authorization") ||
         http::EqualsIgnoringCase(header.name, "X-Api-Key") ||
         http::EqualsIgnoringCase(header.name, "Host") ||
         http::EqualsIgnoringCase(header.name, "Expect") ||
         http::EqualsIgnoringCase(header.name, admission::kClassHeader) ||
         http::EqualsIgnoringCase(header.name, admission::kCallerHeader) ||
         http::EqualsIgnoringCase(header.name, kResumeHeader);
}

claims::RecordedAnswer Record(const http::HttpResponse& response) {
  claims::RecordedAnswer answer;
  answer.status = response.status;
  answer.body = response.body;
  for (const auto& header : response.headers) {
    answer.headers.emplace_back(header.name, header.value);
  }
  return answer;
}

http::HttpResponse Replay(claims::RecordedAnswer answer) {
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

RequestFlow::RequestFlow(RequestServices& services, http::ServerExchange& exchange)
    : services(services),
      board(services.board),
      exchange(exchange),
      number(core::RandomNonZero()),
      id(fmt::format("{:016x}", this->number)),
      received(services.board.clock.now()),
      configuration(services.board.configuration) {}

asio::awaitable<void> RequestFlow::Run() {
  this->board.recent.Begin(this->id, this->received);
  if (auto error = this->Admit()) {
    co_await this->Respond(std::move(*error));
    co_return;
  }
  this->exchange.SetDisconnectHandler([this] { this->OnDisconnect(); });
  this->board.retry_budget->OnRequest(this->received);
  if (!this->resolution.repeatable && !co_await this->BeginClaim()) {
    co_return;
  }
  if (!co_await this->WaitForVerdict()) {
    co_return;
  }
  this->queued = this->MakeQueued();
  for (bool requeue = false;; requeue = true) {
    const auto slot = co_await this->WaitForSlot(requeue);
    if (!slot || co_await this->UseSlot(*slot) == NextStep::kDone) {
      break;
    }
  }
  this->board.running.erase(this->number);
}

std::optional<RouterError> RequestFlow::Admit() {
  const auto& request = this->exchange.request();
  if (this->board.lifecycle != Lifecycle::kServing) {
    return RouterError{.status = 503,
                       .code = "not_serving",
                       .message = "this router is starting or stopping; send the request again",
                       .retry_after = std::chrono::seconds(1)};
  }
  const auto workspace = this->board.authenticator->Authenticate(
      HeaderOrEmpty(request, "Authorization"), HeaderOrEmpty(request, "X-Api-Key"));
  if (!workspace) {
    return RouterError{.status = 401, .code = "unauthorized", .message = workspace.error().message};
  }
  auto peeked = admission::PeekRequestBody(request.body);
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
    // A body that names no model because it is no JSON is better explained by its own error.
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
  this->estimated_cost = this->board.estimator.Estimate(
      {this->resolution.workspace->id, this->resolution.request_class->id,
       this->resolution.upstream->id},
      units, this->body.input_tokens, this->body.maximum_tokens);
  this->series = &this->board.metrics.FindSeries(this->resolution.workspace->name,
                                                 this->resolution.request_class->name);
  if (auto* record = this->board.recent.Find(this->id)) {
    record->workspace = this->resolution.workspace->name;
    record->request_class = this->resolution.request_class->name;
    record->upstream = this->resolution.upstream->name;
    record->generation = this->configuration->generation;
  }
  this->fingerprint = admission::FingerprintOf(this->resolution.workspace->name, request.method,
                                               request.target, request.body);
  return this->JudgeFingerprint();
}

std::optional<RouterError> RequestFlow::JudgeFingerprint() const {
  const auto verdict = this->board.crashes->Judge(this->board.clock.now(), this->fingerprint);
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
  while (this->board.clock.now() < deadline) {
    const auto verdict = this->board.crashes->Judge(this->board.clock.now(), this->fingerprint);
    const bool wait = verdict == CrashVerdict::kPending ||
                      (verdict == CrashVerdict::kRunAlone && this->OtherSuspectRuns());
    if (!wait) {
      break;
    }
    co_await Sleep(kVerdictPoll);
  }
  if (auto error = this->JudgeFingerprint()) {
    co_await this->Respond(std::move(*error));
    co_return false;
  }
  co_return true;
}

// Two suspects of this router never run at once, so that an innocent one is not counted again in
// the next crash of the other.
bool RequestFlow::OtherSuspectRuns() const {
  for (const auto& [id, request] : this->board.running) {
    const bool other = id != this->number && request.fingerprint != this->fingerprint;
    if (other && this->board.crashes->MustRunAlone(this->board.clock.now(), request.fingerprint)) {
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
    co_await this->Respond(std::move(error));
    co_return false;
  }
  auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor,
                                                    asio::steady_timer::time_point::max());
  auto result = std::make_shared<std::optional<claims::BeginResult>>();
  const auto& request = this->exchange.request();
  const auto hash =
      admission::ToHex(admission::Sha256OfParts({request.method, request.target, request.body}));
  this->services.claims.Begin(this->board.clock.now(), this->resolution.workspace->name, *key, hash,
                              [timer, result](claims::BeginResult begun) {
                                *result = std::move(begun);
                                timer->cancel();
                              });
  if (!*result) {
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
  }
  auto& begun = **result;
  if (begun.verdict == claims::ClaimVerdict::kProceed) {
    this->claim = std::move(begun.claim);
    this->Step("claim written");
    co_return true;
  }
  if (begun.verdict == claims::ClaimVerdict::kAnsweredBefore) {
    auto response = Replay(std::move(*begun.answer));
    response.headers.push_back({std::string(kRequestIdHeader), this->id});
    response.headers.push_back({std::string(admission::kOutcomeHeader),
                                std::string(admission::HeaderValue(Outcome::kAnswered))});
    const auto status = response.status;
    std::ignore = co_await this->exchange.Respond(std::move(response));
    this->Step("answered before; recorded response replayed");
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
  co_await this->Respond(std::move(error));
  co_return false;
}

scheduling::QueuedRequest RequestFlow::MakeQueued() {
  const auto now = this->board.clock.now();
  return {.id = this->number,
          .key = {this->resolution.upstream->id, this->resolution.workspace->id,
                  this->resolution.request_class->id},
          .caller = core::HashName(this->caller),
          .estimated_cost = this->estimated_cost,
          .bytes = this->exchange.request().body.size(),
          .enqueued = now,
          .deadline = now + this->configuration->limits.queue_timeout};
}

asio::awaitable<std::optional<GrantedSlot>> RequestFlow::WaitForSlot(bool requeue) {
  auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor,
                                                    asio::steady_timer::time_point::max());
  auto slot = std::make_shared<std::optional<GrantedSlot>>();
  auto callback = [timer, slot](std::optional<GrantedSlot> granted) {
    *slot = granted;
    timer->cancel();
  };
  if (this->exchange.disconnected()) {
    this->OnDisconnect();
    this->Conclude(499, this->any_byte_sent ? Outcome::kUnknown : Outcome::kNotRun);
    co_return std::nullopt;
  }
  if (requeue) {
    RequeueRequest(this->board, this->queued, callback);
  } else {
    const auto pushed = EnqueueRequest(this->board, this->queued, callback);
    if (pushed != scheduling::PushResult::kAccepted) {
      RouterError error = {
          .status = 429,
          .code = "queue_full",
          .message =
              "the workspace has too many requests or bytes waiting at this router; send "
              "fewer requests at once or ask the operator for a higher limit",
          .retry_after = this->board.queues.RetryAfter(this->queued.key, this->queued.enqueued)};
      co_await this->Respond(std::move(error));
      co_return std::nullopt;
    }
  }
  this->slot_timer = timer;
  co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
  this->slot_timer.reset();
  if (this->exchange.disconnected()) {
    if (*slot) {
      ReleaseSlot(this->board, (*slot)->grant, this->queued.key.workspace, wire::RELEASE_UNUSED);
    }
    this->Conclude(499, this->any_byte_sent ? Outcome::kUnknown : Outcome::kNotRun);
    co_return std::nullopt;
  }
  if (!*slot) {
    std::string message =
        "no runner was free before the queue timeout; send the request again later";
    co_await this->Fail(503, "queue_timeout", std::move(message));
    co_return std::nullopt;
  }
  this->series->Record(metrics::Quantity::kQueueWait, this->SecondsSince(this->queued.enqueued));
  co_return *slot;
}

asio::awaitable<RequestFlow::NextStep> RequestFlow::UseSlot(const GrantedSlot& slot) {
  const auto* found = this->board.runners.Find(slot.runner);
  // The runner may have been marked since the grant was made.
  if (found == nullptr || !IsUsable(this->board, *found)) {
    this->Step("granted runner is not usable any more");
    ReleaseSlot(this->board, slot.grant, this->queued.key.workspace, wire::RELEASE_UNUSED);
    co_return NextStep::kRetry;
  }
  // A copy, because the table may change while the attempt runs.
  const auto runner = *found;
  this->attempts += 1;
  this->attempt_cost = 0.0;
  this->Step(fmt::format("attempt {} at runner {}", this->attempts, runner.address));
  this->board.running[this->number] = {slot.runner, this->queued.key.workspace, this->fingerprint};
  auto result = co_await this->Attempt(slot, runner);
  this->any_byte_sent = this->any_byte_sent || result.end != AttemptEnd::kNotSent;
  co_return co_await this->AfterAttempt(slot, runner, std::move(result));
}

asio::awaitable<AttemptResult> RequestFlow::Attempt(const GrantedSlot& slot,
                                                    const runners::RunnerEntry& runner) {
  const auto input = this->MakeInput(runner);
  const auto hooks = this->MakeHooks(slot, runner);
  co_return co_await RunAttempt(this->services.pool, this->exchange, input, this->progress, hooks,
                                this->active);
}

AttemptInput RequestFlow::MakeInput(const runners::RunnerEntry& runner) const {
  const auto& request = this->exchange.request();
  AttemptInput input;
  input.upstream = this->resolution.upstream;
  input.route = this->resolution.route;
  input.maximum_response_bytes = this->configuration->limits.maximum_answer_bytes;
  input.runner_address = runner.address;
  input.request.method = request.method;
  input.request.target = request.target;
  input.request.headers = http::RelayableHeaders(request.headers);
  std::erase_if(input.request.headers, IsForRouter);
  input.request.headers.push_back({"Host", runner.address});
  input.request.headers.push_back({std::string(kRequestIdHeader), this->id});
  if (this->progress.started) {
    input.request.headers.push_back(
        {std::string(kResumeHeader), std::to_string(this->progress.buffer.events())});
  }
  input.request.body = request.body;
  input.response_headers.push_back({std::string(kRequestIdHeader), this->id});
  input.estimated_input_tokens = this->body.input_tokens;
  return input;
}

AttemptHooks RequestFlow::MakeHooks(const GrantedSlot& slot, const runners::RunnerEntry& runner) {
  AttemptHooks hooks;
  hooks.on_head = [this, runner](const http::ResponseHead& head) {
    this->series->Record(metrics::Quantity::kFirstToken, this->SecondsSince(this->received));
    const auto incarnation = head.FindHeader(kIncarnationHeader).value_or(std::string_view());
    NoteRunnerResponse(this->board, runner.id, incarnation,
                       head.FindHeader(kLeavingHeader).has_value());
  };
  hooks.on_cost = [this, grant = slot.grant](double cost) {
    if (cost <= this->attempt_cost) {
      return;
    }
    const double added = cost - this->attempt_cost;
    this->attempt_cost = cost;
    this->total_cost += added;
    ChargeService(this->board, grant, this->queued.key.workspace, added);
  };
  hooks.on_relayed = [this] {
    const auto now = this->board.clock.now();
    if (this->last_relay != core::TimePoint{}) {
      this->series->Record(metrics::Quantity::kBetweenTokens,
                           std::chrono::duration<double>(now - this->last_relay).count());
    }
    this->last_relay = now;
  };
  return hooks;
}

asio::awaitable<RequestFlow::NextStep> RequestFlow::AfterAttempt(const GrantedSlot& slot,
                                                                 const runners::RunnerEntry& runner,
                                                                 AttemptResult result) {
  const bool failed_runner = result.connection_lost || result.end == AttemptEnd::kNotSent;
  auto reason = failed_runner ? wire::RELEASE_RUNNER_FAILED : wire::RELEASE_FINISHED;
  if (result.end == AttemptEnd::kCallerGone) {
    reason = wire::RELEASE_CANCELLED;
  }
  if (result.end == AttemptEnd::kAnswered) {
    this->board.running.erase(this->number);
  }
  ReleaseSlot(this->board, slot.grant, this->queued.key.workspace, reason);
  if (result.connection_lost && co_await this->RunnerIsGone(runner.address)) {
    co_await this->ReportCrash(slot);
  }
  this->board.running.erase(this->number);
  if (result.end == AttemptEnd::kNotSent) {
    AvoidDomain(this->board, runner.domain);
  }
  switch (result.end) {
    case AttemptEnd::kAnswered:
      co_return co_await this->Answered(std::move(result));
    case AttemptEnd::kCallerGone:
      this->Step("the caller closed its connection");
      this->Conclude(499, this->any_byte_sent ? Outcome::kUnknown : Outcome::kNotRun);
      co_return NextStep::kDone;
    case AttemptEnd::kNotSent:
    case AttemptEnd::kFailed:
    case AttemptEnd::kBroken:
      break;
  }
  this->Step(fmt::format("attempt failed: {}", result.error.message));
  co_return co_await this->AfterLoss(result);
}

asio::awaitable<RequestFlow::NextStep> RequestFlow::AfterLoss(const AttemptResult& result) {
  if (!co_await this->WaitForVerdict()) {
    co_return NextStep::kDone;
  }
  const bool sent = result.end != AttemptEnd::kNotSent;
  const bool resumable = result.end != AttemptEnd::kBroken ||
                         (this->progress.events && this->progress.buffer.resumable());
  const bool allowed = !sent || (this->resolution.repeatable && resumable &&
                                 this->board.retry_budget->TryRetry(this->board.clock.now()));
  if (allowed && this->attempts < kMaximumAttempts) {
    co_return NextStep::kRetry;
  }
  const bool timeout = core::Is(result.error, core::ErrorKind::kTimeout);
  const unsigned status = timeout ? 504 : 502;
  auto message = fmt::format("the upstream did not answer: {}", result.error.message);
  co_await this->Fail(status, "upstream_failed", std::move(message));
  co_return NextStep::kDone;
}

asio::awaitable<bool> RequestFlow::RunnerIsGone(const std::string& address) {
  co_await Sleep(kCrashProbeDelay);
  const auto probe = co_await http::UpstreamConnection::Open(address, kCrashProbeTimeout);
  co_return probe.has_error();
}

asio::awaitable<void> RequestFlow::ReportCrash(const GrantedSlot& slot) {
  ReportRunnerCrash(this->board, slot.runner, this->fingerprint);
  // The verdict needs the reports of other routers about the same crash.
  while (this->board.crashes->Judge(this->board.clock.now(), this->fingerprint) ==
         admission::CrashVerdict::kPending) {
    co_await Sleep(kVerdictPoll);
    TickCrashes(this->board);
  }
}

asio::awaitable<RequestFlow::NextStep> RequestFlow::Answered(AttemptResult result) {
  NoteSuccess(this->board, this->fingerprint);
  this->board.estimator.Record(
      {this->queued.key.workspace, this->queued.key.request_class, this->queued.key.upstream},
      this->attempt_cost);
  unsigned status = 200;
  std::optional<claims::RecordedAnswer> recorded;
  if (result.response) {
    status = result.response->status;
    recorded = Record(*result.response);
    auto response = std::move(*result.response);
    response.headers.push_back({std::string(kRequestIdHeader), this->id});
    response.headers.push_back({std::string(admission::kOutcomeHeader),
                                std::string(admission::HeaderValue(Outcome::kAnswered))});
    this->SettleClaim(Outcome::kAnswered, std::move(recorded));
    std::ignore = co_await this->exchange.Respond(std::move(response));
  } else {
    this->SettleClaim(Outcome::kAnswered, std::nullopt);
  }
  this->Conclude(status, Outcome::kAnswered);
  co_return NextStep::kDone;
}

asio::awaitable<void> RequestFlow::Fail(unsigned status, std::string_view code,
                                        std::string message) {
  if (this->progress.started) {
    // The caller sees the end of the connection before the end of the body.
    this->exchange.Abort();
    this->Conclude(status, Outcome::kUnknown);
    co_return;
  }
  RouterError error = {.status = status, .code = std::string(code), .message = std::move(message)};
  error.outcome = this->any_byte_sent ? Outcome::kUnknown : Outcome::kNotRun;
  if (status == 503) {
    error.retry_after = this->board.queues.RetryAfter(this->queued.key, this->board.clock.now());
  }
  co_await this->Respond(std::move(error));
}

asio::awaitable<void> RequestFlow::Respond(RouterError error) {
  if (this->progress.started) {
    this->exchange.Abort();
  } else {
    this->Step(error.message);
    auto response = MakeErrorResponse(error, this->id);
    std::ignore = co_await this->exchange.Respond(std::move(response));
  }
  this->Conclude(error.status, error.outcome);
}

void RequestFlow::SettleClaim(Outcome outcome, std::optional<claims::RecordedAnswer> answer) {
  if (!this->claim) {
    return;
  }
  const auto now = this->board.clock.now();
  if (outcome == Outcome::kNotRun) {
    this->services.claims.MarkNotRun(now, *this->claim);
  } else {
    this->services.claims.Finish(now, *this->claim, outcome, std::move(answer));
  }
  this->claim.reset();
}

void RequestFlow::Conclude(unsigned status, Outcome outcome) {
  if (this->concluded) {
    return;
  }
  this->concluded = true;
  this->SettleClaim(outcome, std::nullopt);
  const auto outcome_name = admission::HeaderValue(outcome);
  const auto workspace = this->resolution.workspace != nullptr
                             ? std::string_view(this->resolution.workspace->name)
                             : std::string_view("none");
  if (this->series != nullptr) {
    this->series->Record(metrics::Quantity::kWholeTime, this->SecondsSince(this->received));
    this->series->Record(metrics::Quantity::kCost, this->total_cost);
  }
  this->board.metrics
      .FindCounter("pomelospar_requests_total", "Requests by workspace and outcome.",
                   {{"workspace", workspace}, {"outcome", outcome_name}})
      .Add();
  auto* record = this->board.recent.Find(this->id);
  if (record != nullptr) {
    record->outcome = outcome_name;
    record->status = status;
  }
  this->board.log->Write(
      core::LogLevel::kInfo, "request finished",
      {{"request", std::string_view(this->id)},
       {"workspace", workspace},
       {"class", record != nullptr ? std::string_view(record->request_class) : std::string_view()},
       {"upstream", record != nullptr ? std::string_view(record->upstream) : std::string_view()},
       {"status", static_cast<std::uint64_t>(status)},
       {"outcome", outcome_name},
       {"attempts", static_cast<std::uint64_t>(this->attempts)},
       {"cost", this->total_cost},
       {"seconds", this->SecondsSince(this->received)},
       {"generation", this->configuration != nullptr ? this->configuration->generation : 0}});
}

void RequestFlow::OnDisconnect() {
  CancelRequest(this->board, this->number);
  if (this->slot_timer != nullptr) {
    this->slot_timer->cancel();
  }
  if (this->active.connection != nullptr) {
    this->active.connection->Close();
  }
}

void RequestFlow::Step(std::string text) {
  this->board.recent.AddStep(this->id, this->board.clock.now(), std::move(text));
}

double RequestFlow::SecondsSince(core::TimePoint start) const {
  return std::chrono::duration<double>(this->board.clock.now() - start).count();
}

}  // namespace pomelospar::daemon
