// Completion of a request: its response, its claim on an idempotency key, its metrics and its log
// line.
#include <tuple>
#include <utility>

#include "services/pomelospard/crash_controller.h"
#include "services/pomelospard/request_flow.h"

namespace pomelospar::daemon {
namespace {

namespace asio = boost::asio;
using admission::Outcome;

claims::RecordedAnswer ToRecordedAnswer(const http::HttpResponse& response) {
  claims::RecordedAnswer answer;
  answer.status = response.status;
  answer.body = response.body;
  for (const auto& header : response.headers) {
    answer.headers.emplace_back(header.name, header.value);
  }
  return answer;
}

}  // namespace

asio::awaitable<RequestFlow::NextStep> RequestFlow::FinishAnswered(AttemptResult result) {
  RecordSuccess(this->state, this->fingerprint);
  this->state.estimator.Record(
      {this->queued.key.workspace, this->queued.key.request_class, this->queued.key.upstream},
      this->attempt_cost);
  // The result of an attempt contains no status if the response was relayed as a stream. The log
  // and the record of the request then state 200.
  unsigned status = 200;
  std::optional<claims::RecordedAnswer> recorded;
  if (result.response) {
    status = result.response->status;
    recorded = ToRecordedAnswer(*result.response);
    auto response = std::move(*result.response);
    AddRouterHeaders(response.headers, Outcome::kAnswered, this->id);
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
    // The response has started, so closing the connection is the only way to report the failure.
    this->exchange.Abort();
    this->Conclude(status, Outcome::kUnknown);
    co_return;
  }
  RouterError error = {.status = status, .code = std::string(code), .message = std::move(message)};
  error.outcome = this->any_byte_sent ? Outcome::kUnknown : Outcome::kNotRun;
  if (status == 503) {
    error.retry_after = this->state.queues.RetryAfter(this->queued.key, this->state.clock.now());
  }
  co_await this->RespondWithError(std::move(error));
}

asio::awaitable<void> RequestFlow::RespondWithError(RouterError error) {
  if (this->progress.started) {
    this->exchange.Abort();
  } else {
    this->RecordStep(error.message);
    auto response = MakeErrorResponse(error, this->id);
    std::ignore = co_await this->exchange.Respond(std::move(response));
  }
  this->Conclude(error.status, error.outcome);
}

void RequestFlow::SettleClaim(Outcome outcome, std::optional<claims::RecordedAnswer> answer) {
  if (!this->claim) {
    return;
  }
  const auto now = this->state.clock.now();
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
    // Seconds since the request was received, and cost units of all attempts.
    this->series->Record(metrics::Quantity::kWholeTime, this->SecondsSince(this->received));
    this->series->Record(metrics::Quantity::kCost, this->total_cost);
  }
  this->state.metrics
      .FindCounter("pomelospar_requests_total", "Requests by workspace and outcome.",
                   {{"workspace", workspace}, {"outcome", outcome_name}})
      .Add();
  auto* record = this->state.recent.Find(this->id);
  if (record != nullptr) {
    record->outcome = outcome_name;
    record->status = status;
  }
  this->state.log->Write(
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

}  // namespace pomelospar::daemon
