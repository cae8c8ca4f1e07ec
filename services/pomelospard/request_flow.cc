#include "services/pomelospard/request_flow.h"

#include <fmt/format.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "services/pomelospard/crash_controller.h"
#include "services/pomelospard/runner_controller.h"
#include "services/pomelospard/scheduling_controller.h"
#include "services/pomelospard/sleep.h"

namespace pomelospar::daemon {
namespace {

namespace asio = boost::asio;
using admission::Outcome;
using std::chrono::milliseconds;

// A request that failed this often more likely fails because of its content than because of the
// runners.
constexpr unsigned kMaximumAttempts = 4;

// Once its connections have broken, a crashed process closes its listening socket within this time.
constexpr milliseconds kCrashProbeDelay = milliseconds(20);
constexpr milliseconds kCrashProbeTimeout = milliseconds(200);

constexpr std::string_view kResumeHeader = "Resume-From";
constexpr std::string_view kLeavingHeader = "Pomelospar-Leaving";
constexpr std::string_view kIncarnationHeader = "Pomelospar-Runner-Incarnation";

// Whether a header of the caller is meant for the router and is not relayed: credentials, headers
// of the connection and the router's own headers.
bool IsForRouter(const http::HttpHeader& header) {
  return http::EqualsIgnoringCase(header.name, "Authorization") ||
         http::EqualsIgnoringCase(header.name, "X-Api-Key") ||
         http::EqualsIgnoringCase(header.name, "Host") ||
         http::EqualsIgnoringCase(header.name, "Expect") ||
         http::EqualsIgnoringCase(header.name, admission::kClassHeader) ||
         http::EqualsIgnoringCase(header.name, admission::kCallerHeader) ||
         http::EqualsIgnoringCase(header.name, kRequestIdHeader) ||
         http::EqualsIgnoringCase(header.name, kResumeHeader);
}

}  // namespace

RequestFlow::RequestFlow(RequestServices& services, http::ServerExchange& exchange)
    : services(services),
      state(services.state),
      exchange(exchange),
      number(core::RandomNonZero()),
      id(fmt::format("{:016x}", this->number)),
      received(services.state.clock.now()),
      configuration(services.state.configuration) {}

asio::awaitable<void> RequestFlow::Run() {
  this->state.recent.Begin(this->id, this->received);
  if (auto error = this->Admit()) {
    co_await this->RespondWithError(std::move(*error));
    co_return;
  }
  this->exchange.SetDisconnectHandler([this] { this->OnDisconnect(); });
  this->state.retry_budget->OnRequest(this->received);
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
  this->state.running.erase(this->number);
}

scheduling::QueuedRequest RequestFlow::MakeQueued() {
  const auto now = this->state.clock.now();
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
    RequeueRequest(this->state, this->queued, callback);
  } else {
    const auto pushed = EnqueueRequest(this->state, this->queued, callback);
    if (pushed != scheduling::PushResult::kAccepted) {
      RouterError error = {
          .status = 429,
          .code = "queue_full",
          .message =
              "the workspace has too many requests or bytes waiting at this router; send "
              "fewer requests at once or ask the operator for a higher limit",
          .retry_after = this->state.queues.RetryAfter(this->queued.key, this->queued.enqueued)};
      co_await this->RespondWithError(std::move(error));
      co_return std::nullopt;
    }
  }
  this->slot_timer = timer;
  co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
  this->slot_timer.reset();
  if (this->exchange.disconnected()) {
    if (*slot) {
      ReleaseSlot(this->state, (*slot)->grant, this->queued.key.workspace, wire::RELEASE_UNUSED);
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
  const auto* found = this->state.runners.Find(slot.runner);
  // The runner may have become unusable since the grant was made.
  if (found == nullptr || !IsUsable(this->state, *found)) {
    this->RecordStep("granted runner is not usable any more");
    ReleaseSlot(this->state, slot.grant, this->queued.key.workspace, wire::RELEASE_UNUSED);
    co_return NextStep::kRetry;
  }
  // A copy, because the table may change while the attempt runs.
  const auto runner = *found;
  this->attempts += 1;
  this->attempt_cost = 0.0;
  this->RecordStep(fmt::format("attempt {} at runner {}", this->attempts, runner.address));
  this->state.running[this->number] = {slot.runner, this->queued.key.workspace, this->fingerprint};
  auto result = co_await this->Attempt(slot, runner);
  this->any_byte_sent = this->any_byte_sent || result.end != AttemptEnd::kNotSent;
  co_return co_await this->HandleAttemptResult(slot, runner, std::move(result));
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
  input.request_id = this->id;
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
    RecordRunnerStatus(this->state, runner.id, incarnation,
                       head.FindHeader(kLeavingHeader).has_value());
  };
  hooks.on_cost = [this, grant = slot.grant](double cost) {
    if (cost <= this->attempt_cost) {
      return;
    }
    const double added = cost - this->attempt_cost;
    this->attempt_cost = cost;
    this->total_cost += added;
    ChargeService(this->state, grant, this->queued.key.workspace, added);
  };
  hooks.on_relayed = [this] {
    const auto now = this->state.clock.now();
    if (this->last_relay != core::TimePoint{}) {
      this->series->Record(metrics::Quantity::kBetweenTokens,
                           std::chrono::duration<double>(now - this->last_relay).count());
    }
    this->last_relay = now;
  };
  return hooks;
}

asio::awaitable<RequestFlow::NextStep> RequestFlow::HandleAttemptResult(
    const GrantedSlot& slot, const runners::RunnerEntry& runner, AttemptResult result) {
  const bool failed_runner = result.connection_lost || result.end == AttemptEnd::kNotSent;
  auto reason = failed_runner ? wire::RELEASE_RUNNER_FAILED : wire::RELEASE_FINISHED;
  if (result.end == AttemptEnd::kCallerGone) {
    reason = wire::RELEASE_CANCELLED;
  }
  if (result.end == AttemptEnd::kAnswered) {
    this->state.running.erase(this->number);
  }
  ReleaseSlot(this->state, slot.grant, this->queued.key.workspace, reason);
  if (result.connection_lost && co_await this->IsRunnerUnreachable(runner.address)) {
    co_await this->ReportCrash(slot);
  }
  this->state.running.erase(this->number);
  if (result.end == AttemptEnd::kNotSent) {
    AvoidDomain(this->state, runner.domain);
  }
  switch (result.end) {
    case AttemptEnd::kAnswered:
      co_return co_await this->FinishAnswered(std::move(result));
    case AttemptEnd::kCallerGone:
      this->RecordStep("the caller closed its connection");
      this->Conclude(499, this->any_byte_sent ? Outcome::kUnknown : Outcome::kNotRun);
      co_return NextStep::kDone;
    case AttemptEnd::kNotSent:
    case AttemptEnd::kFailed:
    case AttemptEnd::kBroken:
      break;
  }
  this->RecordStep(fmt::format("attempt failed: {}", result.error.message));
  co_return co_await this->HandleFailedAttempt(result);
}

asio::awaitable<RequestFlow::NextStep> RequestFlow::HandleFailedAttempt(
    const AttemptResult& result) {
  if (!co_await this->WaitForVerdict()) {
    co_return NextStep::kDone;
  }
  const bool sent = result.end != AttemptEnd::kNotSent;
  const bool resumable = result.end != AttemptEnd::kBroken ||
                         (this->progress.events && this->progress.buffer.resumable());
  const bool allowed = !sent || (this->resolution.repeatable && resumable &&
                                 this->state.retry_budget->TryRetry(this->state.clock.now()));
  if (allowed && this->attempts < kMaximumAttempts) {
    co_return NextStep::kRetry;
  }
  const bool timeout = core::Is(result.error, core::ErrorKind::kTimeout);
  const unsigned status = timeout ? 504 : 502;
  auto message = fmt::format("the upstream did not answer: {}", result.error.message);
  co_await this->Fail(status, "upstream_failed", std::move(message));
  co_return NextStep::kDone;
}

asio::awaitable<bool> RequestFlow::IsRunnerUnreachable(const std::string& address) {
  co_await Sleep(kCrashProbeDelay);
  const auto probe = co_await http::UpstreamConnection::Open(address, kCrashProbeTimeout);
  co_return probe.has_error();
}

asio::awaitable<void> RequestFlow::ReportCrash(const GrantedSlot& slot) {
  ReportRunnerCrash(this->state, slot.runner, this->fingerprint);
  // The verdict needs the reports of other routers about the same crash.
  while (this->state.crashes->VerdictFor(this->state.clock.now(), this->fingerprint) ==
         admission::CrashVerdict::kPending) {
    co_await Sleep(kVerdictPoll);
    TickCrashes(this->state);
  }
}

void RequestFlow::OnDisconnect() {
  CancelRequest(this->state, this->number);
  if (this->slot_timer != nullptr) {
    this->slot_timer->cancel();
  }
  if (this->active.connection != nullptr) {
    this->active.connection->Close();
  }
}

void RequestFlow::RecordStep(std::string text) {
  this->state.recent.AddStep(this->id, this->state.clock.now(), std::move(text));
}

double RequestFlow::SecondsSince(core::TimePoint start) const {
  return std::chrono::duration<double>(this->state.clock.now() - start).count();
}

}  // namespace pomelospar::daemon
