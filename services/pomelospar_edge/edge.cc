#include "services/pomelospar_edge/edge.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <csignal>
#include <utility>

#include "libraries/core/identifiers.h"
#include "libraries/core/milliseconds.h"
#include "libraries/core/text_file.h"
#include "services/pomelospar_edge/domain_traffic.h"
#include "services/pomelospar_edge/explanation.h"

namespace pomelospar::edge {
namespace {

namespace asio = boost::asio;
using core::LogLevel;
using std::chrono::milliseconds;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

constexpr core::Duration kTickPeriod = milliseconds(50);
// Periods in ticks. Shares follow the demand of some seconds; the settings file is changed by hand.
constexpr std::uint64_t kTicksPerShareUpdate = 4;
constexpr std::uint64_t kTicksPerArchiveUpdate = 2;
constexpr std::uint64_t kTicksPerLogWrite = 4;
constexpr std::uint64_t kTicksPerLoadLine = 20;
constexpr std::uint64_t kTicksPerSettingsCheck = 40;
// Idle connections to one runner; those of all routers must stay below a runner's limit.
constexpr std::size_t kMaxIdleConnectionsPerRunner = 16;
// A runner that does not announce its idle timeout is assumed to keep a connection at least this
// long.
constexpr core::Duration kIdleTimeout = std::chrono::seconds(4);
// The platform's settings name no port for metrics, so it is fixed; deploy/system.toml uses the
// same.
constexpr unsigned kMetricsPort = 9464;
// If the configuration was not confirmed for this share of the key revocation limit, the router
// reports that it is not ready, so that callers are sent to other instances.
constexpr double kReadyKeyLimitShare = 0.8;
// Share of the descriptors for sockets that callers may use; the rest is for runners.
constexpr double kCallerDescriptorShare = 0.45;
// Descriptors that are kept for other uses than callers and runners.
constexpr std::size_t kReservedDescriptors = 200;
// The memory is divided by this to get the limit for all requests of callers in progress.
constexpr std::size_t kRequestMemoryDivisor = 4;
// The same for the readiness and for the metrics listener. Their requests have no bodies that are
// kept, so this covers their buffers.
constexpr std::size_t kInternalRequestMemoryDivisor = 32;
// Connections to the readiness and to the metrics listener. The platform uses one or two of each.
constexpr std::size_t kMaxInternalConnections = 64;
// The memory is divided by this to get the limit for all incomplete response parts. Each is a few
// hundred bytes unless a runner is faulty.
constexpr std::size_t kHeldMemoryDivisor = 8;

// Lists a session for as long as this object lives.
class SessionEntry {
 public:
  SessionEntry(std::unordered_set<RequestSession*>& list, RequestSession& listed)
      : sessions(list), session(listed) {
    this->sessions.insert(&this->session);
  }
  ~SessionEntry() { this->sessions.erase(&this->session); }
  SessionEntry(const SessionEntry&) = delete;
  SessionEntry& operator=(const SessionEntry&) = delete;

 private:
  std::unordered_set<RequestSession*>& sessions;
  RequestSession& session;
};

}  // namespace

Edge::Edge(std::string path, std::string document, adapter::InstanceSettings settings)
    : io(1),
      log(STDOUT_FILENO, core::SystemClock()),
      state(this->io, core::SystemClock(), std::move(settings), this->log),
      settings_path(std::move(path)),
      settings_document(std::move(document)),
      pool(this->io,
           {.idle_per_address = kMaxIdleConnectionsPerRunner, .idle_timeout = kIdleTimeout}),
      store(this->io, this->state.settings.store_address),
      signals(this->io, SIGTERM, SIGINT, SIGHUP),
      tick_timer(this->io),
      refused_connections(this->state.metrics.FindCounter(
          "pomelospar_refused_connections_total",
          "Connections refused because this router had no processor time for another one.", {})),
      shed_requests(this->state.metrics.FindCounter(
          "pomelospar_shed_requests_total",
          "Requests refused unexamined because this router had no processor time for them.", {})) {}

core::Result<std::unique_ptr<Edge>> Edge::Create(std::string settings_path,
                                                 std::string settings_document,
                                                 adapter::InstanceSettings settings) {
  std::unique_ptr<Edge> edge(
      new Edge(std::move(settings_path), std::move(settings_document), std::move(settings)));
  BOOST_OUTCOME_TRY(edge->Listen());
  return edge;
}

core::Result<void> Edge::Listen() {
  this->state.started_at = this->state.clock.now();
  BOOST_OUTCOME_TRY(this->peers, PeerExchange::Create(this->state));
  this->coordinator = std::make_unique<EngineCoordinator>(this->state, *this->peers);
  this->sync = std::make_unique<StoreSync>(this->state, this->store, this->pool, *this->peers,
                                           [this] { this->ApplyCallerLimits(); });
  this->suspect_archive = std::make_unique<SuspectArchive>(this->state, this->store);
  const auto& settings = this->state.settings;
  BOOST_OUTCOME_TRY(
      this->caller_server,
      http::HttpServer::Create(
          this->io,
          {.address = settings.caller_address,
           .may_accept = [this](core::Duration paused) { return this->MayAccept(paused); },
           .must_refuse = [this] { return !this->state.stop && !this->entry_rate.MayAccept(); },
           .may_serve = [this] { return this->MayServe(); }},
          [this](http::ServerExchange& exchange) { return this->Serve(exchange); }));
  BOOST_OUTCOME_TRY(
      this->readiness_server,
      http::HttpServer::Create(
          this->io, {.address = settings.readiness_address, .drop_bodies = true},
          [this](http::ServerExchange& exchange) { return this->AnswerReadiness(exchange); }));
  auto metrics = http::HttpServer::Create(
      this->io, {.address = fmt::format("{}:{}", settings.ip, kMetricsPort), .drop_bodies = true},
      [this](http::ServerExchange& exchange) { return this->AnswerMetrics(exchange); });
  if (metrics) {
    this->metrics_server = std::move(metrics.value());
  } else {
    this->log.Write(LogLevel::kWarning, "metrics_unavailable",
                    {{"error", metrics.error().message}});
  }
  this->ApplyCallerLimits();
  return core::Success();
}

void Edge::ApplyCallerLimits() {
  const auto& settings = this->state.settings;
  this->backlog.SetLimits(settings.processor_share, settings.connection_delay_limit);
  http::ServerLimits limits;
  if (this->state.policy) {
    const auto& declared = this->state.policy->limits;
    limits.header_bytes = declared.header_bytes;
    limits.body_bytes = declared.body_bytes;
    limits.header_timeout = declared.header_timeout;
    limits.keep_alive_timeout = declared.idle_timeout;
  }
  const auto sockets = settings.descriptors > kReservedDescriptors
                           ? settings.descriptors - kReservedDescriptors
                           : settings.descriptors;
  limits.maximum_connections =
      static_cast<std::size_t>(static_cast<double>(sockets) * kCallerDescriptorShare);
  limits.total_request_bytes = settings.memory_bytes / kRequestMemoryDivisor;
  this->state.held_bytes.limit = settings.memory_bytes / kHeldMemoryDivisor;
  if (this->caller_server) this->caller_server->SetLimits(limits);
  limits.total_request_bytes = settings.memory_bytes / kInternalRequestMemoryDivisor;
  limits.maximum_connections =
      std::min(kMaxInternalConnections, std::max<std::size_t>(sockets / 16, 1));
  for (auto* server : {this->readiness_server.get(), this->metrics_server.get()}) {
    if (server != nullptr) server->SetLimits(limits);
  }
}

void Edge::Run() {
  const auto& settings = this->state.settings;
  this->log.Write(LogLevel::kInfo, "start",
                  {{"instance", settings.name},
                   {"domain", settings.domain},
                   {"callers", settings.caller_address},
                   {"store", settings.store_address},
                   {"incarnation", this->state.incarnation}});
  this->AwaitSignals();
  this->ScheduleTick();
  this->peers->Start();
  this->suspect_archive->Start();
  this->sync->Start();
  this->io.run();
  this->log.Flush();
}

void Edge::AwaitSignals() {
  this->signals.async_wait([this](const boost::system::error_code& error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      this->ReloadSettings();
    } else if (!this->state.stop) {
      this->state.stop =
          dispatch::PlanStop(this->state.clock.now(), this->state.settings.stop_grace);
      asio::co_spawn(this->io, this->Stop(), asio::detached);
    }
    this->AwaitSignals();
  });
}

void Edge::ScheduleTick() {
  this->tick_timer.expires_after(kTickPeriod);
  this->tick_timer.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    const auto now = this->state.clock.now();
    this->state.processor.OnTimer(now, now - this->tick_timer.expiry());
    // Runs after all handlers that are ready now.
    asio::post(this->io, [this, now] {
      const auto turned_at = this->state.clock.now();
      this->entry_rate.OnTurn(turned_at, turned_at - now);
    });
    this->Tick();
    this->ScheduleTick();
  });
}

void Edge::Tick() {
  ++this->ticks;
  this->sync->RemoveLapsedRunners();
  this->sync->UpdateKnowledge();
  EndLapsedEvacuations(this->state);
  if (this->ticks % kTicksPerSettingsCheck == 0) this->sync->RemoveSilentRouters();
  // A surge must be limited at once; an existing level follows the demand of some seconds.
  const bool is_limited = !std::isinf(this->state.share_level);
  if (!is_limited || this->ticks % kTicksPerShareUpdate == 0) UpdateShareLevel(this->state);
  if (!this->state.suspects.empty()) this->UpdateSuspects();
  if (this->ticks % kTicksPerArchiveUpdate == 0) this->suspect_archive->Update();
  if (this->ticks % kTicksPerSettingsCheck == 0) this->ReloadSettings();
  const bool ready = this->IsReady();
  if (ready != this->was_ready) {
    this->was_ready = ready;
    this->log.Write(LogLevel::kInfo, "readiness", {{"ready", ready}});
  }
  if (this->ticks % kTicksPerLoadLine == 0) {
    this->LogLoad();
    UpdateDomainRegimes(this->state);
  }
  if (this->ticks % kTicksPerLogWrite == 0) this->log.Flush();
}

void Edge::UpdateSuspects() {
  for (const auto& change : this->state.suspects.Update(this->state.clock.now())) {
    if (change.begins) this->peers->ReportSoon();
    this->log.Write(
        LogLevel::kWarning, change.begins ? "quarantine" : "quarantine_ended",
        {{"subject", fmt::format("{:x}", change.subject)}, {"crashes", change.crashes}});
    this->state.metrics
        .FindCounter("pomelospar_quarantine_changes_total",
                     "Quarantines of requests and prompt parts that crashed runners.",
                     {{"change", change.begins ? "begin" : "end"}})
        .Add();
  }
}

void Edge::LogLoad() {
  const double age =
      core::ToMilliseconds(this->state.clock.since_boot() - this->state.policy_confirmed_at);
  // -1 if the store does not tell it.
  const auto read_epoch = this->state.policy_position.epoch;
  const std::int64_t epoch = read_epoch ? static_cast<std::int64_t>(*read_epoch) : -1;
  this->log.Write(LogLevel::kInfo, "load",
                  {{"connections", std::uint64_t{this->caller_server->connections()}},
                   {"requests", std::uint64_t{this->caller_server->active_exchanges()}},
                   {"waiting", std::uint64_t{CountWaiting(this->state)}},
                   {"lateness_ms", this->state.processor.lateness_ms()},
                   {"accepting", this->MayAccept(core::Duration::zero())},
                   {"peers", std::uint64_t{this->state.peers.size()}},
                   {"runners", std::uint64_t{this->state.runners.size()}},
                   {"suspects", std::uint64_t{this->state.suspects.size()}},
                   {"dropped_suspicions", this->state.suspects.dropped()},
                   {"share_level", this->state.share_level},
                   {"share_capacity", this->state.share_capacity},
                   {"request_bytes", this->caller_server->held_bytes()},
                   {"refused_for_memory", this->caller_server->refused_for_memory()},
                   {"replaced_connections", this->caller_server->replaced_connections()},
                   {"refused_for_limit", this->caller_server->refused_for_limit()},
                   {"listening_pauses", this->caller_server->listening_pauses()},
                   {"entry_limit", this->entry_rate.limit().value_or(-1.0)},
                   {"policy", this->state.policy ? this->state.policy->version : std::uint64_t{0}},
                   {"policy_age_ms", age},
                   {"policy_confirmed_by", this->state.policy_confirmed_by},
                   {"policy_read_at", this->state.policy_position.version},
                   {"policy_read_epoch", epoch}});
  const auto set = [this](std::string_view name, std::string_view help, std::uint64_t value) {
    this->state.metrics.FindGauge(name, help, {}).Set(static_cast<double>(value));
  };
  set("pomelospar_request_memory_bytes", "Memory that callers' requests hold.",
      this->caller_server->held_bytes());
  set("pomelospar_requests_refused_for_memory", "Requests refused for memory since the start.",
      this->caller_server->refused_for_memory());
  set("pomelospar_connections_replaced", "Idle connections closed for new ones since the start.",
      this->caller_server->replaced_connections());
  set("pomelospar_connections_refused_for_limit",
      "Connections refused since the start because too many were open.",
      this->caller_server->refused_for_limit());
  set("pomelospar_listening_pauses",
      "How often the router has stopped listening since the start because it was late.",
      this->caller_server->listening_pauses());
  this->LogShares();
}

void Edge::LogShares() {
  const auto now = this->state.clock.now();
  for (const auto& [name, window] : this->state.workspaces) {
    const double asked = window.asked.Sum(now);
    if (asked <= 0.0) continue;
    const auto others = this->state.peers.UsageOf(core::HashName(name));
    this->log.Write(LogLevel::kInfo, "workspace_share",
                    {{"workspace", name},
                     {"asked", asked},
                     {"served", window.served.Sum(now)},
                     {"asked_elsewhere", others.asked},
                     {"served_elsewhere", others.served},
                     {"use", ShareUse(this->state, name, 0.0)},
                     {"refused_first", window.refused_first},
                     {"refused_returning", window.refused_returning},
                     {"shed", window.shed}});
  }
}

void Edge::ReloadSettings() {
  auto document = core::ReadTextFile(this->settings_path);
  if (!document) {
    // The file may be about to be replaced. The settings in force stay until it can be read.
    this->log.Write(LogLevel::kWarning, "settings_unreadable",
                    {{"error", document.error().message}});
    return;
  }
  if (document.value() == this->settings_document) return;
  auto decoded = adapter::DecodeSettings(document.value());
  if (!decoded) {
    this->log.Write(LogLevel::kError, "settings_rejected", {{"error", decoded.error().message}});
    return;
  }
  // A changed listening address takes effect at the next start of the process only.
  this->settings_document = std::move(document.value());
  this->state.settings = std::move(decoded.value());
  this->store.SetAddress(this->state.settings.store_address);
  this->ApplyCallerLimits();
  this->log.Write(LogLevel::kInfo, "settings_reloaded",
                  {{"store", this->state.settings.store_address}});
}

bool Edge::IsReady() const {
  if (this->state.stop || !this->state.policy || !this->state.runners_loaded) return false;
  if (this->state.policy_is_older || this->state.awaits_suspects) return false;
  if (this->state.processor.IsOverloaded(this->state.clock.now())) return false;
  if (!this->state.settings.keys_fail_closed) return true;
  const auto limit = std::chrono::duration_cast<core::Duration>(
      this->state.settings.key_revocation_limit * kReadyKeyLimitShare);
  return PolicyIsFresh(this->state, limit);
}

core::Duration Edge::TickOverdue() const {
  return this->state.clock.now() - this->tick_timer.expiry();
}

bool Edge::MayAccept(core::Duration paused) const {
  if (this->state.stop || this->entry_rate.is_limited()) return true;
  return this->state.processor.MayAccept(this->TickOverdue(), paused);
}

bool Edge::MayServe() {
  if (this->state.stop) return true;
  this->entry_rate.OnAccepted();
  const auto now = this->state.clock.now();
  if (this->backlog.TryAdd(now, dispatch::BeyondQuotaPause(this->TickOverdue()))) return true;
  this->refused_connections.Add();
  return false;
}

bool Edge::MustShed(const http::HttpRequest& request) {
  const auto key = adapter::ApiKeyOf(request);
  const auto* holder =
      key && this->state.policy ? dispatch::FindWorkspace(*this->state.policy, *key) : nullptr;
  const auto name = holder != nullptr ? std::string_view(holder->name) : std::string_view();
  const double fraction = this->state.processor.ShedFraction(this->TickOverdue());
  if (!this->shedding.MustShed(this->state.clock.now(), core::HashName(name), fraction)) {
    return false;
  }
  this->shed_requests.Add();
  if (holder != nullptr) ++WindowOf(this->state, holder->name).shed;
  return true;
}

asio::awaitable<void> Edge::Serve(http::ServerExchange& exchange) {
  if (exchange.is_first_request()) this->backlog.OnFirstRequest(this->state.clock.now());
  if (this->MustShed(exchange.request())) {
    // Copied, because the request is no longer valid after the response.
    const std::string attempt_id(adapter::AttemptIdOf(exchange.request()));
    http::HttpResponse response;
    response.status = 503;
    response.headers = {{"Retry-After", "0.001"}};
    // Only connections of refused requests are closed. The caller keeps as many connections as this
    // instance can serve and opens the others elsewhere; closing all of them would move the whole
    // load to the next instance.
    exchange.CloseAfterResponse();
    const auto sent = co_await exchange.Respond(std::move(response));
    this->log.Write(LogLevel::kWarning, "shed",
                    {{"request", attempt_id},
                     {"lateness_ms", this->state.processor.lateness_ms()},
                     {"overdue_ms", core::ToMilliseconds(this->TickOverdue())},
                     {"sent", sent.has_value()}});
    co_return;
  }
  const auto session = std::make_shared<RequestSession>(this->state, this->pool, exchange);
  const SessionEntry entry(this->sessions, *session);
  co_await session->Run();
}

asio::awaitable<void> Edge::AnswerReadiness(http::ServerExchange& exchange) {
  http::HttpResponse response;
  response.status = this->IsReady() ? 200 : 503;
  const auto sent = co_await exchange.Respond(std::move(response));
  if (!sent) this->log.Write(LogLevel::kWarning, "readiness_unanswered");
}

http::HttpResponse Edge::Explain(const http::HttpRequest& request) {
  http::HttpResponse response;
  response.headers = {{"Content-Type", "application/json"}};
  if (request.method != "GET") {
    response.status = 405;
    response.headers.push_back({"Allow", "GET"});
    response.body = R"({"message":"write GET /explain?FIELD=VALUE&..."})";
    return response;
  }
  const auto now = this->state.clock.now();
  if (this->explained_at.full() && now - this->explained_at.front() < std::chrono::seconds(1)) {
    response.status = 503;
    response.headers.push_back({"Retry-After", "1"});
    response.body = R"({"message":"too many explanations; try again in a second"})";
    return response;
  }
  this->explained_at.push_back(now);
  return ExplainPlacement(this->state, request);
}

asio::awaitable<void> Edge::AnswerMetrics(http::ServerExchange& exchange) {
  http::HttpResponse response;
  if (exchange.request().path() == "/explain") {
    response = this->Explain(exchange.request());
  } else {
    response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
    response.body = this->state.metrics.Render();
  }
  const auto sent = co_await exchange.Respond(std::move(response));
  if (!sent) this->log.Write(LogLevel::kInfo, "metrics_unanswered");
}

asio::awaitable<void> Edge::Stop() {
  const auto stop = *this->state.stop;
  this->log.Write(LogLevel::kInfo, "stop",
                  {{"requests", std::uint64_t{this->caller_server->active_exchanges()}}});
  this->caller_server->CloseAfterResponses();
  asio::co_spawn(this->io, this->sync->Unregister(), asio::detached);
  asio::steady_timer timer(this->io);
  timer.expires_at(stop.accept_until);
  co_await timer.async_wait(kTuple);
  this->caller_server->StopAccepting();
  co_await this->AwaitCallers(stop.end_requests_at);
  const auto ended = this->sessions.size();
  for (auto* session : this->sessions) session->EndForStop();
  co_await this->AwaitCallers(stop.exit_at);
  this->log.Write(LogLevel::kInfo, "stopped",
                  {{"ended_requests", std::uint64_t{ended}},
                   {"cut_requests", std::uint64_t{this->caller_server->active_exchanges()}}});
  this->log.Flush();
  this->io.stop();
}

asio::awaitable<void> Edge::AwaitCallers(core::TimePoint limit) {
  constexpr core::Duration kPollPeriod = milliseconds(20);
  asio::steady_timer timer(this->io);
  while (this->caller_server->active_exchanges() + this->caller_server->connections() > 0 &&
         this->state.clock.now() < limit) {
    timer.expires_after(kPollPeriod);
    co_await timer.async_wait(kTuple);
  }
}

}  // namespace pomelospar::edge
