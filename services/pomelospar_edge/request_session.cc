#include "services/pomelospar_edge/request_session.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "libraries/core/identifiers.h"
#include "libraries/core/milliseconds.h"

namespace pomelospar::edge {
namespace {

namespace asio = boost::asio;
using core::LogLevel;
using core::ToMilliseconds;
using std::chrono::milliseconds;

// A caller whose remaining time is less than this share of the longest one on its route is treated
// as one that retries after a refusal; the times of first callers on a route differ by up to 15%. A
// caller that comes back earlier in a long deadline counts as a first caller.
constexpr double kReturningTimeoutShare = 0.84;
// Limit of attempts that ended before any byte was sent. If more runners than this are unreachable,
// further attempts would hardly help.
constexpr unsigned kMaxUnsentAttempts = 4;
// Retry-After while this router lacks a current configuration.
constexpr core::Duration kRetryAfterWhileUnconfirmed = milliseconds(500);
// Retry-After while this router stops. It is short because the retry reaches another router.
constexpr core::Duration kRetryAfterWhileStopping = milliseconds(1);
// If the event loop is later than this, it is checked whether the caller has closed its connection
// before a request is admitted or sent.
constexpr double kLateEventLoopMs = 3.0;
constexpr std::string_view kNoRunner = "no runner has room";
constexpr std::string_view kStopping = "this router stops";

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
    co_await this->Refuse({503, kStopping, kRetryAfterWhileStopping});
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

std::optional<RequestSession::Refusal> RequestSession::Admit() {
  if (!this->policy) return Refusal{503, "no configuration yet", kRetryAfterWhileUnconfirmed};
  const auto& request = this->exchange.request();
  this->route = dispatch::FindRoute(*this->policy, this->facts.host, request.path());
  const bool fresh = PolicyIsFresh(this->state, this->state.settings.configuration_limit);
  if (this->route == nullptr) {
    // The route may have been added after the configuration that this router knows.
    if (!fresh) {
      return Refusal{503, "configuration may be out of date", kRetryAfterWhileUnconfirmed};
    }
    return Refusal{404, "no route", {}};
  }
  if (auto refusal = this->Authenticate()) return refusal;
  if (this->state.stop && this->route->streaming) {
    // The end of this process could cut the stream off; another router can serve it completely.
    return Refusal{503, kStopping, kRetryAfterWhileStopping};
  }
  const auto upstream_name =
      dispatch::ChooseUpstream(*this->route, this->Draw(core::HashName("upstream")));
  const auto found = this->policy->upstreams.find(std::string(upstream_name));
  if (found == this->policy->upstreams.end()) {
    return Refusal{503, "the route's upstream is not declared", kRetryAfterWhileUnconfirmed};
  }
  this->upstream = &found->second;
  this->subjects = dispatch::SubjectsOf(this->workspace, request.method, request.target,
                                        request.body, this->facts.prompt.parts);
  if (this->IsRefusedAsSuspect()) return this->SuspectRefusal();
  return std::nullopt;
}

std::optional<RequestSession::Refusal> RequestSession::Authenticate() {
  if (!this->policy->has_workspaces || this->route->open_to_all) return std::nullopt;
  const auto& settings = this->state.settings;
  if (settings.keys_fail_closed && !PolicyIsFresh(this->state, settings.key_revocation_limit)) {
    return Refusal{503, "keys cannot be confirmed", kRetryAfterWhileUnconfirmed};
  }
  const auto* holder =
      this->facts.api_key ? dispatch::FindWorkspace(*this->policy, *this->facts.api_key) : nullptr;
  if (holder == nullptr) {
    if (!PolicyIsFresh(this->state, settings.configuration_limit)) {
      return Refusal{503, "the key may have been added since", kRetryAfterWhileUnconfirmed};
    }
    return Refusal{401, "unknown key", {}};
  }
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
  this->admission_context.is_caller_retry =
      ToMilliseconds(caller_timeout) < kReturningTimeoutShare * ToMilliseconds(full);
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
  if (!this->upstream->engine) return;
  if (this->workspace.empty()) return;
  this->use = dispatch::RequestUse(ShareTokens(this->facts.prompt));
  WindowOf(this->state, this->workspace).asked.Add(now, this->use.all_tokens());
}

bool RequestSession::MaySendDuringStop() const {
  return !this->state.stop ||
         dispatch::MaySendDuringStop(*this->state.stop, this->state.clock.now(), this->received,
                                     this->deadline);
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
  const auto objective = this->tried.empty() ? this->route->objective : this->route->objective * 2;
  const auto until = this->state.clock.now() +
                     dispatch::HoldLimit(objective, this->TimeLeft(), this->admission_context);
  this->admission_context.until_within_share = this->TimeUntilWithinShare();
  const bool is_beyond_share =
      this->admission_context.until_within_share > until - this->state.clock.now();
  const auto until_rested = this->TimeUntilRested();
  const bool all_rest = until_rested > until - this->state.clock.now();
  bool is_confirmed = false;
  while (!is_confirmed && !is_beyond_share && !all_rest && !this->AllRunnersEvacuated()) {
    if (!this->TryPlace() && this->state.clock.now() < until) {
      co_await this->WaitInQueue(until);
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
    if (!is_beyond_share) this->engine_rejections = this->CountRejections();
    auto refusal = this->NoCapacityRefusal();
    if (is_beyond_share) refusal.reason = "the workspace is beyond its share";
    if (this->AllRunnersEvacuated())
      refusal.reason = "all runners are in evacuated failure domains";
    if (all_rest) {
      refusal.reason = "all runners asked for rest";
      refusal.retry_after = std::max(refusal.retry_after, until_rested);
    }
    co_await this->Refuse(refusal);
  }
  co_return false;
}

RequestSession::Refusal RequestSession::NoCapacityRefusal() const {
  return {503, kNoRunner,
          dispatch::RetryAfter(this->route->objective, this->TimeLeft(), ShareWindow(this->state),
                               this->admission_context, this->Draw(core::HashName("back")))};
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
    co_await this->Refuse({503, kStopping, kRetryAfterWhileStopping});
    co_return;
  }
  if (!this->may_have_run) {
    auto refusal = this->NoCapacityRefusal();
    refusal.reason = end == AttemptEnd::kNotSent ? "no runner could be reached" : kNoRunner;
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
    co_await this->Refuse({503, kStopping, kRetryAfterWhileStopping});
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

double RequestSession::Draw(std::uint64_t purpose) const {
  return core::UnitFraction(core::CombineHashes(purpose, this->attempt_hash));
}

void RequestSession::LogEnd(unsigned status, std::string_view outcome, std::string_view reason) {
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
