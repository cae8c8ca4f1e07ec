// The parts of RequestSession that send the request to a runner and relay its response.

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "libraries/core/milliseconds.h"
#include "services/pomelospar_edge/crash_probe.h"
#include "services/pomelospar_edge/crash_trials.h"
#include "services/pomelospar_edge/domain_traffic.h"
#include "services/pomelospar_edge/request_admission.h"
#include "services/pomelospar_edge/request_session.h"

namespace pomelospar::edge {
namespace {

namespace asio = boost::asio;
using core::LogLevel;
using core::ToMilliseconds;
using dispatch::SuspectVerdict;
using std::chrono::milliseconds;

// A runner accepts a connection within a few milliseconds; one that does not answer is given up
// after this time.
constexpr core::Duration kConnectTimeout = milliseconds(300);
// A timeout that is noticed later than this was delayed by this process.
constexpr core::Duration kMaxTimeoutLateness = milliseconds(50);
// Limit of the responses to earlier requests that are skipped on one connection.
constexpr unsigned kMaxStrayResponses = 2;
// A response body may be larger than the limit of request bodies by this.
constexpr std::size_t kExtraResponseBodyBytes = 256U << 10U;
// Events of the users' engines have up to 700 bytes. A larger event is treated as endless.
constexpr std::size_t kMaxEventBytes = 256U << 10U;
// A response that is not relayed is read to its end, so that its connection can be reused, unless
// it is larger or slower than this.
constexpr std::size_t kMaxDiscardedBytes = 64U << 10U;
constexpr core::Duration kMaxDiscardTime = milliseconds(100);
// A connection is reused until this time before the runner's idle timeout, which could otherwise
// run out while the next request is on its way.
constexpr core::Duration kIdleTimeoutMargin = milliseconds(1000);

// By these statuses a caller would conclude that its request was not executed. A runner's response
// with one of them is not relayed, because only `ResponseFacts::not_executed` proves that.
bool ImpliesNotExecuted(unsigned status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

bool IsEventStream(const http::ResponseHead& head) {
  const auto type = head.FindHeader("Content-Type");
  return type && type->starts_with("text/event-stream");
}

std::optional<std::uint64_t> ParseEventId(const std::optional<std::string>& text) {
  if (!text) return std::nullopt;
  std::uint64_t number = 0;
  const auto* end = text->data() + text->size();
  const auto [stop, error] = std::from_chars(text->data(), end, number);
  if (error != std::errc() || stop != end) return std::nullopt;
  return number;
}

}  // namespace

bool RequestSession::IsRefusedAsSuspect() const {
  return edge::IsRefusedAsSuspect(this->state, this->subjects);
}

asio::awaitable<void> RequestSession::AwaitCrashProbe() {
  if (!this->interrupted_crash || this->subjects.empty()) co_return;
  if (this->state.suspects.CrashesOf(this->subjects.front()) == 0) co_return;
  co_await AwaitProbe(this->state, *this->interrupted_crash);
}

Refusal RequestSession::SuspectRefusal() {
  const auto now = this->state.clock.now();
  for (const auto subject : this->subjects) {
    if (this->state.suspects.VerdictFor(now, subject) != SuspectVerdict::kRefused) continue;
    this->state.suspects.OnRefused(now, subject);
    this->state.log.Write(LogLevel::kInfo, "refused_as_suspect",
                          {{"request", this->facts.attempt_id},
                           {"subject", fmt::format("{:x}", subject)},
                           {"crashes", this->state.suspects.CrashesOf(subject)}});
  }
  return QuarantineRefusal();
}

void RequestSession::OnReadFailure(const core::Error& error) {
  this->failure = error.message;
  if (this->caller_gone || this->deadline_passed) return;
  auto& runner = this->reservation->runner();
  runner.health.OnFailure(this->state.clock.now());
  if (!core::Is(error, core::ErrorKind::kClosed)) return;
  const auto crash =
      core::CombineHashes(runner.key, static_cast<std::uint64_t>(runner.record.started_unix_ms));
  const auto [entry, is_first] = this->state.interrupted_requests.try_emplace(crash);
  entry->second.push_back({.attempt_id = this->facts.attempt_id,
                           .subjects = this->subjects,
                           .sent_at = this->sent_at,
                           .broken_at = this->state.clock.now()});
  this->interrupted_crash = crash;
  if (!is_first) return;
  asio::co_spawn(this->state.io, ConfirmCrash(this->state, crash, runner.record), asio::detached);
}

asio::awaitable<AttemptEnd> RequestSession::Attempt() {
  auto& runner = this->reservation->runner();
  this->tried.push_back(runner.record.id);
  this->interrupted_crash.reset();
  const auto connect_timeout = std::min(kConnectTimeout, this->TimeLeft());
  const auto connect_until = this->state.clock.now() + connect_timeout;
  auto acquired =
      co_await this->pool.Acquire(runner.record.address, connect_timeout, this->used_connections);
  if (!acquired) {
    this->failure = acquired.error().message;
    runner.health.OnUnreachable(this->state.clock.now());
    // After a pause of this process the timeout says nothing about the runner.
    const bool was_paused = core::Is(acquired.error(), core::ErrorKind::kTimeout) &&
                            this->state.clock.now() - connect_until > kMaxTimeoutLateness;
    if (!was_paused) ObserveCold(this->state, runner, "unreachable");
    ++this->unsent_attempts;
    this->state.log.Write(LogLevel::kWarning, "runner_unreachable",
                          {{"request", this->facts.attempt_id},
                           {"runner", runner.record.id},
                           {"error", this->failure}});
    co_return AttemptEnd::kNotSent;
  }
  auto connection = std::move(acquired.value());
  this->used_connections.push_back(connection->id());
  const bool may_send = co_await ConfirmTrials(this->state, this->subjects, this->facts.attempt_id);
  if (!may_send) {
    this->failure = kCrashedRunners;
    this->pool.Release(std::move(connection));
    co_return AttemptEnd::kNotSent;
  }
  // Opening the connection took time, so the conditions for sending are checked again. If the event
  // loop is late, the caller may have closed its connection long before this is reported.
  if (this->CallerMayBeGone() && this->exchange.PeerHasClosed()) this->caller_gone = true;
  if (this->caller_gone || this->deadline_passed || !AcceptsNewRequests(this->state, runner) ||
      (this->state.clock.now() >= this->cold_start_until && IsCold(this->state, runner)) ||
      dispatch::IsResting(runner.notices, this->state.clock.now()) || !this->KeyIsStillValid() ||
      !this->MaySendDuringStop()) {
    this->failure =
        "the runner drains, rests, was evacuated or is cold, the key was revoked, the caller no "
        "longer waits or this router stops";
    ++this->unsent_attempts;
    this->pool.Release(std::move(connection));
    co_return AttemptEnd::kNotSent;
  }
  connection->AcceptCloseDelimited();
  this->active_connection = connection.get();
  this->runner_idle_timeout.reset();
  // The entry may change during the exchange.
  const auto domain = runner.record.domain;
  // Read before the exchange, after which the request is no longer valid.
  const auto sent_bytes = this->exchange.request().body.size();
  const auto sends_before = this->sends;
  this->received_bytes = 0;
  const auto end = co_await this->Exchange(*connection);
  if (this->sends > sends_before) {
    CountDomainTraffic(this->state, domain, sent_bytes + this->received_bytes);
  }
  this->active_connection = nullptr;
  if (this->runner_idle_timeout) {
    const auto kept =
        std::max(*this->runner_idle_timeout - kIdleTimeoutMargin, core::Duration::zero());
    this->pool.Release(std::move(connection), kept);
  } else {
    this->pool.Release(std::move(connection));
  }
  co_return end;
}

// The source was chosen before the placement was confirmed and the connection was opened.
bool RequestSession::MayCopyFromCacheSource() const {
  if (!this->cache_source) return false;
  const auto& source = *this->cache_source;
  return source.record.started_unix_ms == this->cache_source_started_unix_ms &&
         AcceptsNewRequests(this->state, source) && !IsCold(this->state, source);
}

asio::awaitable<AttemptEnd> RequestSession::Exchange(http::UpstreamConnection& connection) {
  auto& runner = this->reservation->runner();
  adapter::ForwardOptions options;
  options.runner_id = runner.record.id;
  options.workspace = this->workspace;
  options.time_left = this->TimeLeft();
  if (this->MayCopyFromCacheSource()) options.cache_source = this->cache_source->record.address;
  if (this->stream_started) options.resume_after = this->splitter.last_id();
  this->splitter.DropRest();
  const auto request = adapter::EncodeForward(this->exchange.request(), options);
  this->sent_at = this->state.clock.now();
  const auto sent =
      co_await connection.Send(request, this->exchange.request().body, this->TimeLeft());
  if (!sent && !connection.any_byte_sent()) {
    this->failure = sent.error().message;
    ++this->unsent_attempts;
    // A reused connection that the runner has closed says nothing about the runner, so it may be
    // chosen again.
    this->tried.pop_back();
    co_return AttemptEnd::kNotSent;
  }
  ++this->sends;
  this->may_have_run_before = std::exchange(this->may_have_run, true);
  if (!sent) {
    this->failure = sent.error().message;
    runner.health.OnFailure(this->state.clock.now());
    co_return AttemptEnd::kNoResponse;
  }
  auto head = co_await this->ReadMatchingHead(connection);
  if (!head) {
    this->OnReadFailure(head.error());
    co_return AttemptEnd::kNoResponse;
  }
  co_return co_await this->HandleResponse(connection, std::move(head.value()));
}

PendingSend RequestSession::DescribeSend(const http::UpstreamConnection& connection) const {
  return {.attempt_id = this->facts.attempt_id,
          .runner_id = this->reservation->runner().record.id,
          .is_reused_connection = connection.is_reused()};
}

// Reads the head of the response to this request. Skips late responses to earlier requests, which a
// faulty runner sends on reused connections.
asio::awaitable<core::Result<http::ResponseHead>> RequestSession::ReadMatchingHead(
    http::UpstreamConnection& connection) {
  for (unsigned stray = 0; stray <= kMaxStrayResponses; ++stray) {
    BOOST_OUTCOME_CO_TRY(auto head, co_await connection.ReadHead(this->TimeLeft()));
    const auto facts = adapter::DecodeResponse(head);
    if (facts.leaving) MarkLeaving(this->state, this->reservation->runner(), "response");
    if (MayAnswer(facts, head.status, this->DescribeSend(connection))) co_return head;
    this->state.log.Write(LogLevel::kWarning, "stray_response",
                          {{"request", this->facts.attempt_id},
                           {"runner", this->tried.back()},
                           {"of", facts.attempt_id.value_or("")}});
    const bool whole = co_await this->Discard(connection);
    if (!whole) break;
    connection.ExpectAnotherResponse();
  }
  connection.Close();
  co_return core::MakeError(core::ErrorKind::kMalformed,
                            "the runner answered other requests on this connection");
}

// Reads the rest of a response. Returns false if that fails; a response that is too long or too
// slow has its connection closed.
asio::awaitable<bool> RequestSession::Discard(http::UpstreamConnection& connection) {
  const auto limit = this->state.clock.now() + std::min(kMaxDiscardTime, this->TimeLeft());
  std::size_t bytes = 0;
  while (bytes <= kMaxDiscardedBytes) {
    const auto left = limit - this->state.clock.now();
    if (left <= core::Duration::zero()) break;
    const auto piece = co_await connection.ReadPiece(left);
    if (!piece) co_return false;
    if (!piece.value()) co_return true;
    bytes += piece.value()->size();
  }
  connection.Close();
  this->state.log.Write(LogLevel::kWarning, "response_without_end",
                        {{"request", this->facts.attempt_id},
                         {"runner", this->tried.back()},
                         {"bytes", std::uint64_t{bytes}}});
  co_return false;
}

bool RequestSession::ReservePartialEvent() {
  const auto rest = this->splitter.rest_bytes();
  return rest <= kMaxEventBytes && this->held.Resize(rest);
}

AttemptEnd RequestSession::RejectOversizedResponse(http::UpstreamConnection& connection,
                                                   std::string_view what) {
  connection.Close();
  auto& runner = this->reservation->runner();
  runner.health.OnFailure(this->state.clock.now());
  this->splitter.DropRest();
  this->failure = fmt::format("the runner's {} is too large", what);
  this->state.log.Write(LogLevel::kWarning, "response_too_large",
                        {{"request", this->facts.attempt_id},
                         {"runner", runner.record.id},
                         {"what", what},
                         {"held_bytes", std::uint64_t{this->state.held_bytes.bytes}}});
  return this->stream_started ? AttemptEnd::kBrokenStream : AttemptEnd::kNoResponse;
}

void RequestSession::RecordNotices(const adapter::ResponseFacts& response, unsigned status) {
  auto& runner = this->reservation->runner();
  const auto now = this->state.clock.now();
  if (!response.rest) {
    if (status != 503) dispatch::OnServed(runner.notices, now);
    return;
  }
  dispatch::OnRest(runner.notices, now, *response.rest);
  this->state.log.Write(LogLevel::kInfo, "runner_rests",
                        {{"request", this->facts.attempt_id},
                         {"runner", runner.record.id},
                         {"ms", ToMilliseconds(*response.rest)}});
}

void RequestSession::OnMisdirected(const adapter::ResponseFacts& response) {
  auto& runner = this->reservation->runner();
  if (std::exchange(runner.notices.misdirected, true)) return;
  this->state.log.Write(LogLevel::kWarning, "runner_misdirected",
                        {{"request", this->facts.attempt_id},
                         {"runner", runner.record.id},
                         {"address", runner.record.address},
                         {"answered_by", *response.runner_id}});
}

asio::awaitable<AttemptEnd> RequestSession::HandleResponse(http::UpstreamConnection& connection,
                                                           http::ResponseHead head) {
  auto& runner = this->reservation->runner();
  const auto now = this->state.clock.now();
  const auto response = adapter::DecodeResponse(head);
  this->runner_idle_timeout = response.idle_timeout;
  this->RecordNotices(response, head.status);
  if (response.not_executed) {
    // Only this send is known not to have been executed; an earlier one may have been.
    this->may_have_run = this->may_have_run_before;
    this->failure = fmt::format("the runner did not execute the request: status {}", head.status);
    if (IsFromOtherRunner(response, head.status, this->DescribeSend(connection))) {
      this->OnMisdirected(response);
    }
    if (head.status == 503 || head.status == 429) runner.health.OnFull(now);
    // Whether the rest could be read matters only for reusing the connection.
    static_cast<void>(co_await this->Discard(connection));
    co_return AttemptEnd::kNotExecuted;
  }
  const bool success = head.status >= 200 && head.status < 300;
  if (response.encoded || (success && (!response.has_receipt || !response.attempt_id)) ||
      ImpliesNotExecuted(head.status)) {
    this->failure = fmt::format("the runner's response cannot be used: status {}", head.status);
    connection.Close();
    runner.health.OnFailure(now);
    co_return AttemptEnd::kNoResponse;
  }
  if (success && IsEventStream(head)) {
    co_return co_await this->RelayEvents(connection, std::move(head));
  }
  if (this->stream_started) {
    this->failure = fmt::format("the runner did not resume the stream: status {}", head.status);
    connection.Close();
    co_return AttemptEnd::kBrokenStream;
  }
  co_return co_await this->RelayCompleteResponse(connection, std::move(head));
}

asio::awaitable<AttemptEnd> RequestSession::RelayCompleteResponse(
    http::UpstreamConnection& connection, http::ResponseHead head) {
  auto& runner = this->reservation->runner();
  http::HttpResponse response;
  response.status = head.status;
  response.headers = adapter::HeadersForCaller(head);
  while (true) {
    auto piece = co_await connection.ReadPiece(this->TimeLeft());
    if (!piece) {
      this->OnReadFailure(piece.error());
      co_return AttemptEnd::kNoResponse;
    }
    if (!piece.value()) break;
    response.body += *piece.value();
    this->received_bytes += piece.value()->size();
    const bool granted = this->held.Resize(response.body.size());
    if (!granted ||
        response.body.size() > this->policy->limits.body_bytes + kExtraResponseBodyBytes) {
      co_return this->RejectOversizedResponse(connection, "body");
    }
  }
  const auto now = this->state.clock.now();
  if (response.status >= 500) {
    this->failure = fmt::format("the runner answered with status {}", response.status);
    runner.health.OnFailure(now);
    this->error_response = std::move(response);
    co_return AttemptEnd::kErrorResponse;
  }
  runner.health.OnSuccess(now);
  this->state.suspects.OnAnswer(now, this->subjects);
  runner.health.OnLatency(ToMilliseconds(now - this->sent_at));
  const auto status = response.status;
  const auto sent = co_await this->exchange.Respond(std::move(response));
  this->LogEnd(status, sent ? "answered" : "caller_gone", "");
  co_return AttemptEnd::kDelivered;
}

void RequestSession::OnFirstEvent() {
  const auto now = this->state.clock.now();
  auto& runner = this->reservation->runner();
  this->reservation->OnPromptPrefilled();
  const double observed = ToMilliseconds(now - this->sent_at);
  runner.health.OnFirstEvent(now, observed / std::max(this->predicted_ms, 1.0));
  this->state.metrics.FindSeries(this->workspace, this->route->name)
      .Record(metrics::Quantity::kFirstToken, ToMilliseconds(now - this->received) / 1e3);
  this->state.log.Write(LogLevel::kInfo, "first_event",
                        {{"request", this->facts.attempt_id},
                         {"runner", runner.record.id},
                         {"predicted_ms", this->predicted_ms},
                         {"queue_ms", this->queue_ms},
                         {"observed_ms", observed}});
}

asio::awaitable<bool> RequestSession::ForwardEvents(const http::ResponseHead& head,
                                                    std::string_view events) {
  if (!this->stream_started) {
    this->stream_started = true;
    http::ResponseHead own = head;
    own.headers = adapter::HeadersForCaller(head);
    own.content_length.reset();
    own.chunked = true;
    const auto started = co_await this->exchange.StartStream(std::move(own));
    if (!started) co_return false;
  }
  const auto written = co_await this->exchange.Write(events);
  co_return written.has_value();
}

asio::awaitable<AttemptEnd> RequestSession::RelayEvents(http::UpstreamConnection& connection,
                                                        http::ResponseHead head) {
  auto& runner = this->reservation->runner();
  const bool resumed = this->stream_started;
  const auto resumed_after = ParseEventId(this->splitter.last_id());
  bool first = true;
  while (true) {
    const auto piece = co_await connection.ReadPiece(this->TimeLeft());
    if (!piece || !piece.value()) {
      const bool complete = piece && !this->splitter.has_rest() && this->stream_started;
      if (!complete) {
        this->OnReadFailure(
            piece ? core::MakeError(core::ErrorKind::kClosed,
                                    "the runner ended the stream before it was complete")
                  : piece.error());
        co_return this->stream_started ? AttemptEnd::kBrokenStream : AttemptEnd::kNoResponse;
      }
      break;
    }
    this->received_bytes += piece.value()->size();
    const auto events = this->splitter.Append(*piece.value());
    if (events.empty()) {
      if (!this->ReservePartialEvent()) {
        co_return this->RejectOversizedResponse(connection, "event");
      }
      continue;
    }
    if (first) {
      first = false;
      this->OnFirstEvent();
      const auto next = ParseEventId(this->splitter.first_new_id());
      if (resumed && (!next || !resumed_after || *next <= *resumed_after)) {
        this->failure = "the runner resumed the stream at a wrong event";
        connection.Close();
        this->exchange.Abort();
        this->LogEnd(200, "broken", this->failure);
        co_return AttemptEnd::kDelivered;
      }
    }
    const bool forwarded = co_await this->ForwardEvents(head, events);
    if (!forwarded) {
      this->failure = "the stream could not be written to the caller";
      connection.Close();
      co_return AttemptEnd::kBrokenStream;
    }
    if (!this->ReservePartialEvent()) co_return this->RejectOversizedResponse(connection, "event");
  }
  const auto now = this->state.clock.now();
  runner.health.OnSuccess(now);
  this->state.suspects.OnAnswer(now, this->subjects);
  const auto finished = co_await this->exchange.FinishStream();
  this->LogEnd(200, finished ? "answered" : "caller_gone", "");
  co_return AttemptEnd::kDelivered;
}

}  // namespace pomelospar::edge
