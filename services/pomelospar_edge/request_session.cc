#include "services/pomelospar_edge/request_session.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "libraries/core/identifiers.h"
#include "libraries/core/milliseconds.h"
#include "services/pomelospar_edge/request_admission.h"

namespace pomelospar::edge {
namespace {

namespace asio = boost::asio;
using core::LogLevel;
using core::ToMilliseconds;
using std::chrono::milliseconds;

// Limit of attempts that ended before any byte was sent. If more runners than this are unreachable,
// further attempts would hardly help.
constexpr unsigned kMaxUnsentAttempts = 4;
// If the event loop is later than this, it is checked whether the caller has closed its connection
// before a request is admitted or sent.
constexpr double kLateEventLoopMs = 3.0;

}  // namespace

RequestSession::RequestSession(RouterState& router_state, http::UpstreamPool& upstream_pool,
                               http::ServerExchange& server_exchange)
    : state(router_state),
      pool(upstream_pool),
      exchange(server_exchange),
      received(router_state.clock.now()),
      policy(router_state.policy),
      held(router_state.held_bytes) {}

asio::awaitable<void> RequestSession::Run() {
  std::string malformed;
  this->facts = adapter::DecodeRequest(this->exchange.request(), malformed);
  this->attempt_hash = core::HashName(this->facts.attempt_id);
  this->prefix_hashes = dispatch::PrefixHashes(this->facts.prompt.parts);
  if (!malformed.empty()) {
    this->state.log.Write(LogLevel::kWarning, "malformed_header",
                          {{"request", this->facts.attempt_id}, {"header", malformed}});
  }
  if (this->CallerMayBeGone() && this->exchange.PeerHasClosed()) {
    this->LogEnd(499, "caller_gone", "before the request was admitted");
    co_return;
  }
  if (const auto refusal = this->Admit()) {
    co_await this->Refuse(*refusal);
    co_return;
  }
  this->exchange.SetDisconnectHandler([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) self->OnCallerGone();
  });
  this->StartDeadline();
  if (!this->MaySendDuringStop()) {
    co_await this->Refuse(StoppingRefusal());
    this->deadline_timer->cancel();
    co_return;
  }
  this->RecordDemand();
  while (true) {
    const bool placed = co_await this->WaitForRunner();
    if (!placed) break;
    const auto end = co_await this->Attempt();
    this->reservation.reset();
    const auto step = co_await this->AfterAttempt(end);
    if (step == Step::kEnd) break;
  }
  this->deadline_timer->cancel();
}

std::optional<Refusal> RequestSession::Admit() {
  const auto& request = this->exchange.request();
  if (this->policy) {
    this->route = dispatch::FindRoute(*this->policy, this->facts.host, request.path());
  }
  if (auto refusal = CheckRoute(this->state, this->route)) return refusal;
  if (auto refusal = this->Authenticate()) return refusal;
  if (IsRefusedForStop(this->state, *this->route)) return StoppingRefusal();
  this->upstream = FindUpstream(*this->policy, *this->route, this->attempt_hash);
  if (this->upstream == nullptr) return UndeclaredUpstreamRefusal();
  this->subjects = dispatch::SubjectsOf(this->workspace, request.method, request.target,
                                        request.body, this->facts.prompt.parts);
  if (this->IsRefusedAsSuspect()) return this->SuspectRefusal();
  return std::nullopt;
}

std::optional<Refusal> RequestSession::Authenticate() {
  if (!NeedsKey(*this->policy, *this->route)) return std::nullopt;
  const auto* holder =
      this->facts.api_key ? dispatch::FindWorkspace(*this->policy, *this->facts.api_key) : nullptr;
  if (auto refusal = CheckHolder(this->state, holder)) return refusal;
  this->workspace = holder->name;
  return std::nullopt;
}

// Checks the key again: it may have been revoked while the request waited.
bool RequestSession::KeyIsStillValid() const {
  if (this->workspace.empty()) return true;
  const auto& settings = this->state.settings;
  if (settings.keys_fail_closed && !PolicyIsFresh(this->state, settings.key_revocation_limit)) {
    return false;
  }
  const auto* holder = dispatch::FindWorkspace(*this->state.policy, *this->facts.api_key);
  return holder != nullptr && holder->name == this->workspace;
}

// If the event loop is late, or the connection waited to be accepted, the caller may have closed it
// long before the event loop reports this.
bool RequestSession::CallerMayBeGone() const {
  const auto& processor = this->state.processor;
  return processor.lateness_ms() > kLateEventLoopMs ||
         processor.IsOverloaded(this->state.clock.now());
}

void RequestSession::StartDeadline() {
  const auto caller_timeout = this->facts.caller_timeout.value_or(this->route->timeout);
  auto& full = this->state.longest_caller_timeout[this->route->name];
  full = std::max(full, caller_timeout);
  this->admission_context.is_caller_retry = IsCallerRetry(caller_timeout, full);
  this->deadline = this->received + std::min(caller_timeout, this->route->timeout);
  this->deadline_timer = std::make_shared<asio::steady_timer>(this->state.io, this->deadline);
  this->deadline_timer->async_wait(
      [weak = this->weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (self && !error) self->OnDeadline();
      });
}

void RequestSession::RecordDemand() {
  const auto now = this->state.clock.now();
  this->state.retries
      .try_emplace(this->upstream->name,
                   dispatch::RetryAllowance({.ratio = this->state.settings.retry_ratio * 0.75,
                                             .slack = 1.0,
                                             .window = this->state.settings.retry_window}))
      .first->second.OnRequest(now);
  if (!this->upstream->engine || this->workspace.empty()) return;
  this->use = UseOf(*this->upstream, this->workspace, this->facts.prompt);
  WindowOf(this->state, this->workspace).asked.Add(now, this->use.all_tokens());
}

bool RequestSession::MaySendDuringStop() const {
  return edge::MaySendDuringStop(this->state, this->received, this->deadline);
}

void RequestSession::EndForStop() {
  this->ended_for_stop = true;
  this->OnDeadline();
}

void RequestSession::OnDeadline() {
  this->deadline_passed = true;
  if (this->wait_timer) this->wait_timer->cancel();
  if (this->active_connection != nullptr) this->active_connection->Close();
}

void RequestSession::OnCallerGone() {
  this->caller_gone = true;
  if (this->wait_timer) this->wait_timer->cancel();
  if (this->active_connection != nullptr) this->active_connection->Close();
}

asio::awaitable<void> RequestSession::WaitInQueue(core::TimePoint until) {
  this->wait_timer = std::make_shared<asio::steady_timer>(this->state.io);
  this->wait_timer->expires_at(until);
  Waiter waiter;
  waiter.context = this->admission_context;
  waiter.try_place = [this, timer = this->wait_timer] {
    if (!this->IsRefusedAsSuspect() && !this->AllRunnersEvacuated() && !this->TryPlace()) {
      return false;
    }
    timer->cancel();
    return true;
  };
  auto& queue = this->state.waiting[this->upstream->name];
  const auto ticket = queue.Add(std::move(waiter));
  co_await this->wait_timer->async_wait(asio::as_tuple(asio::use_awaitable));
  queue.Remove(ticket);
  this->wait_timer.reset();
}

asio::awaitable<bool> RequestSession::WaitForRunner() {
  const auto wait =
      DescribeWait(this->state, this->Query(), this->TimeUntilWithinShare(), this->TimeLeft());
  this->admission_context.until_within_share = wait.until_within_share;
  bool is_confirmed = false;
  while (!is_confirmed && MayFindRunner(this->state, this->Query(), wait)) {
    if (!this->TryPlace() && this->state.clock.now() < wait.until) {
      co_await this->WaitInQueue(wait.until);
    }
    if (!this->reservation || this->caller_gone || this->deadline_passed) break;
    is_confirmed = co_await this->ConfirmPlacement();
    if (!is_confirmed) {
      this->reservation->Cancel();
      this->reservation.reset();
    }
  }
  if (this->caller_gone) {
    this->reservation.reset();
    this->LogEnd(499, "caller_gone", "while the request waited for a runner");
    co_return false;
  }
  if (this->deadline_passed) {
    this->reservation.reset();
    co_await this->EndAtDeadline();
    co_return false;
  }
  if (this->reservation) {
    this->RecordPlacement();
    co_return true;
  }
  if (this->may_have_run || this->stream_started || this->error_response) {
    co_await this->EndUnserved(AttemptEnd::kNoResponse);
  } else if (this->IsRefusedAsSuspect()) {
    co_await this->Refuse(this->SuspectRefusal());
  } else {
    if (!wait.is_beyond_share) this->engine_rejections = this->CountRejections();
    co_await this->Refuse(RefusalAfterWait(this->state, this->Query(), wait, this->TimeLeft()));
  }
  co_return false;
}

bool RequestSession::AllRunnersEvacuated() const {
  return edge::AllRunnersEvacuated(this->state, *this->upstream);
}

bool RequestSession::MayRetry(AttemptEnd end) {
  if (this->caller_gone || this->deadline_passed || this->IsRefusedAsSuspect()) return false;
  if (!this->MaySendDuringStop()) return false;
  if (end == AttemptEnd::kNotSent) return this->unsent_attempts < kMaxUnsentAttempts;
  if (this->sends >= this->route->maximum_attempts) return false;
  const bool safe = end == AttemptEnd::kNotExecuted && !this->may_have_run;
  if (!safe && !this->route->idempotent) return false;
  if (end == AttemptEnd::kBrokenStream && !this->splitter.last_id()) return false;
  const auto allowance = this->state.retries.find(this->upstream->name);
  return allowance != this->state.retries.end() &&
         allowance->second.TryRetry(this->state.clock.now());
}

asio::awaitable<RequestSession::Step> RequestSession::AfterAttempt(AttemptEnd end) {
  if (end == AttemptEnd::kDelivered) {
    co_return Step::kEnd;
  }
  co_await this->AwaitCrashProbe();
  if (this->caller_gone || this->exchange.disconnected()) {
    this->LogEnd(499, "caller_gone", this->failure);
    co_return Step::kEnd;
  }
  if (this->deadline_passed) {
    co_await this->EndAtDeadline();
    co_return Step::kEnd;
  }
  if (this->MayRetry(end)) {
    this->state.log.Write(LogLevel::kInfo, "retry",
                          {{"request", this->facts.attempt_id},
                           {"after", this->tried.empty() ? "" : this->tried.back()},
                           {"reason", this->failure},
                           {"sends", std::uint64_t{this->sends}}});
    co_return Step::kRetry;
  }
  co_await this->EndUnserved(end);
  co_return Step::kEnd;
}

asio::awaitable<void> RequestSession::EndUnserved(AttemptEnd end) {
  if (this->stream_started) {
    this->LogEnd(200, "broken", this->failure);
    this->exchange.Abort();
    co_return;
  }
  if (this->error_response) {
    const auto status = this->error_response->status;
    auto response = std::move(*this->error_response);
    const auto sent = co_await this->exchange.Respond(std::move(response));
    this->LogEnd(status, sent ? "error_of_runner" : "caller_gone", this->failure);
    co_return;
  }
  if (!this->may_have_run && this->IsRefusedAsSuspect()) {
    co_await this->Refuse(this->SuspectRefusal());
    co_return;
  }
  if (!this->may_have_run && !this->MaySendDuringStop()) {
    co_await this->Refuse(StoppingRefusal());
    co_return;
  }
  if (!this->may_have_run) {
    auto refusal = NoCapacityRefusal(this->state, this->Query(), this->TimeLeft());
    if (end == AttemptEnd::kNotSent) refusal.reason = "no runner could be reached";
    co_await this->Refuse(refusal);
    co_return;
  }
  co_await this->Fail(502, this->failure);
}

asio::awaitable<void> RequestSession::EndAtDeadline() {
  if (this->stream_started) {
    this->LogEnd(200, this->ended_for_stop ? "stopped" : "deadline",
                 "the stream was not complete in time");
    this->exchange.Abort();
    co_return;
  }
  if (this->ended_for_stop && this->may_have_run) {
    co_await this->Fail(502, kStopping);
    co_return;
  }
  if (this->ended_for_stop) {
    co_await this->Refuse(StoppingRefusal());
    co_return;
  }
  co_await this->Fail(504, "no response before the deadline");
}

asio::awaitable<void> RequestSession::Refuse(Refusal refusal) {
  if (!this->workspace.empty()) {
    TakeBackServed(this->state, this->workspace, this->use);
    auto& window = WindowOf(this->state, this->workspace);
    ++(this->admission_context.is_caller_retry ? window.refused_returning : window.refused_first);
  }
  http::HttpResponse response;
  response.status = refusal.status;
  response.headers = {{"Content-Type", "application/json"}};
  if (refusal.retry_after > core::Duration::zero()) {
    response.headers.push_back(
        {"Retry-After", fmt::format("{:.3f}", ToMilliseconds(refusal.retry_after) / 1e3)});
  }
  response.body = fmt::format(R"({{"error":"{}"}})", refusal.reason);
  this->LogEnd(refusal.status, "refused", refusal.reason);
  const auto sent = co_await this->exchange.Respond(std::move(response));
  if (!sent) {
    this->state.log.Write(LogLevel::kInfo, "caller_gone",
                          {{"request", this->facts.attempt_id}, {"while", "refusing"}});
  }
}

asio::awaitable<void> RequestSession::Fail(unsigned status, std::string_view reason) {
  http::HttpResponse response;
  response.status = status;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = fmt::format(R"({{"error":"{}"}})", status == 504 ? "timeout" : "bad gateway");
  this->LogEnd(status, "failed", reason);
  const auto sent = co_await this->exchange.Respond(std::move(response));
  if (!sent) {
    this->state.log.Write(LogLevel::kInfo, "caller_gone",
                          {{"request", this->facts.attempt_id}, {"while", "failing"}});
  }
}

core::Duration RequestSession::TimeLeft() const {
  return std::max(this->deadline - this->state.clock.now(), core::Duration::zero());
}

void RequestSession::LogEnd(unsigned status, std::string_view outcome, std::string_view reason) {
  if (outcome == "caller_gone" && this->exchange.write_timed_out()) outcome = "caller_too_slow";
  const auto now = this->state.clock.now();
  const double total_ms = ToMilliseconds(now - this->received);
  const auto route_name =
      this->route == nullptr ? std::string_view() : std::string_view(this->route->name);
  const double policy_age =
      this->policy
          ? ToMilliseconds(this->state.clock.since_boot() - this->state.policy_confirmed_at)
          : -1.0;
  this->state.log.Write(
      LogLevel::kInfo, "request",
      {{"request", this->facts.attempt_id},
       {"route", route_name},
       {"workspace", this->workspace},
       {"status", std::uint64_t{status}},
       {"outcome", outcome},
       {"reason", reason},
       {"runner", this->tried.empty() ? std::string_view() : std::string_view(this->tried.back())},
       {"sends", std::uint64_t{this->sends}},
       {"ms", total_ms},
       {"queue_ms", this->queue_ms},
       {"queue_limit_ms", this->queue_limit_ms},
       {"no_slot", std::uint64_t{this->engine_rejections.slots}},
       {"no_memory", std::uint64_t{this->engine_rejections.memory}},
       {"long_queue", std::uint64_t{this->engine_rejections.queue}},
       {"would_repeat", std::uint64_t{this->engine_rejections.repeated_prefill}},
       {"predicted_ms", this->predicted_ms},
       {"proposals", std::uint64_t{this->proposals}},
       {"share_use", this->admission_context.share_use},
       {"cached_tokens", this->cached_tokens},
       {"cache_source",
        this->cache_source ? std::string_view(this->cache_source->record.address) : ""},
       {"prompt_tokens", this->facts.prompt.input_tokens},
       {"returning", this->admission_context.is_caller_retry},
       {"patience_ms",
        this->facts.caller_timeout ? ToMilliseconds(*this->facts.caller_timeout) : -1.0},
       {"events", this->splitter.events()},
       {"policy", this->policy ? this->policy->version : std::uint64_t{0}},
       {"policy_age_ms", policy_age}});
  this->state.metrics
      .FindCounter("pomelospar_requests_total", "Requests by route and outcome.",
                   {{"route", route_name}, {"outcome", outcome}})
      .Add();
  this->state.metrics.FindSeries(this->workspace, route_name)
      .Record(metrics::Quantity::kWholeTime, total_ms / 1e3);
}

}  // namespace pomelospar::edge
