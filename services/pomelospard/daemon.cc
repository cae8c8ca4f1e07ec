#include "services/pomelospard/daemon.h"

#include <fmt/format.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <utility>

#include "libraries/core/text_file.h"
#include "libraries/platform/http_platform_client.h"
#include "services/pomelospard/crash_controller.h"
#include "services/pomelospard/ledger_controller.h"
#include "services/pomelospard/notice_controller.h"
#include "services/pomelospard/poll_period.h"
#include "services/pomelospard/runner_controller.h"
#include "services/pomelospard/scheduling_controller.h"
#include "services/pomelospard/sleep.h"

namespace pomelospar::daemon {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Period of ticks while there is work. Demand spreads to further shards after 5 ms, and an
// allocator holds a free slot for at most 5 ms for the workspace that is first in order.
constexpr core::Duration kBusyTick = milliseconds(5);
constexpr core::Duration kIdleTick = milliseconds(20);
constexpr core::Duration kSlowTick = milliseconds(100);

http::ServerLimits LimitsOf(const configuration::Limits& limits) {
  http::ServerLimits server;
  server.header_bytes = static_cast<std::uint32_t>(limits.maximum_header_bytes);
  server.body_bytes = limits.maximum_body_bytes;
  server.header_timeout = limits.header_timeout;
  server.body_timeout = limits.body_timeout;
  return server;
}

Names NamesOf(const configuration::Configuration& configuration, std::string_view own_domain) {
  Names names;
  names.domains.emplace(core::IdOf<core::DomainId>(own_domain), own_domain);
  for (const auto& workspace : configuration.workspaces) {
    names.workspaces.emplace(workspace.id, workspace.name);
  }
  for (const auto& request_class : configuration.classes) {
    names.classes.emplace(request_class.id, request_class.name);
  }
  for (const auto& upstream : configuration.upstreams) {
    names.upstreams.emplace(upstream.id, upstream.name);
    for (const auto& runner : upstream.runners) {
      names.domains.emplace(runner.domain_id, runner.domain);
    }
  }
  return names;
}

}  // namespace

core::Result<std::unique_ptr<Daemon>> Daemon::Create(configuration::DaemonSettings settings) {
  auto daemon = std::unique_ptr<Daemon>(new Daemon());
  BOOST_OUTCOME_TRY(daemon->log, core::Log::Create(settings.log_level));
  daemon->InitializeRouterState(std::move(settings));
  BOOST_OUTCOME_TRY(daemon->ReadAdminToken());
  BOOST_OUTCOME_TRY(daemon->OpenControl());
  daemon->runner_poller = std::make_unique<RunnerPoller>(daemon->io, *daemon->state);
  daemon->pool = std::make_unique<http::UpstreamPool>(daemon->io, http::UpstreamPoolOptions());
  const auto& state = *daemon->state;
  BOOST_OUTCOME_TRY(auto platform, platform::CreateHttpPlatformClient(
                                       daemon->io, {.address = state.settings.platform_address,
                                                    .domain = state.settings.failure_domain}));
  daemon->faults->post = [&io = daemon->io](std::function<void()> function) {
    asio::post(io, std::move(function));
  };
  daemon->platform = WithFaults(platform, daemon->faults);
  daemon->claims = std::make_unique<claims::ClaimStore>(
      claims::ClaimSettings{.incarnation = state.self.incarnation}, daemon->platform);
  daemon->InitializeConfigurationSync();
  BOOST_OUTCOME_TRY(daemon->OpenServers());
  return daemon;
}

void Daemon::InitializeRouterState(configuration::DaemonSettings settings) {
  this->state = std::make_unique<RouterState>();
  auto& state = *this->state;
  state.settings = std::move(settings);
  state.clock = core::SystemClock();
  state.log = this->log.get();
  state.self = {state.settings.control_address, core::RandomNonZero()};
  state.domain = core::IdOf<core::DomainId>(state.settings.failure_domain);
  state.random.seed(core::RandomNonZero());
  state.outbox =
      std::make_unique<Outbox>([this] { asio::post(this->io, [this] { this->Flush(); }); });
  const auto now = state.clock.now();
  state.started = now;
  membership::MemberTableOptions options;
  options.self = state.self;
  options.domain = state.domain;
  options.seed = state.random();
  state.members = std::make_unique<membership::MemberTable>(options, now);
  state.members->SetSeeds(state.settings.seeds);
  state.notices = std::make_unique<notices::NoticeTable>(
      notices::NoticeTableOptions{.origin = state.self.incarnation});
  state.ledger = std::make_unique<scheduling::ServiceLedger>(state.self.incarnation, state.domain);
  state.planner = std::make_unique<scheduling::DemandPlanner>(state.domain, state.self.incarnation);
  state.retry_budget = std::make_unique<admission::RetryBudget>(now);
  state.crashes = std::make_unique<admission::CrashTracker>(state.self.incarnation);
}

core::Result<void> Daemon::ReadAdminToken() {
  BOOST_OUTCOME_TRY(this->admin_token,
                    core::ReadSecretFile(this->state->settings.admin_token_file));
  return core::Success();
}

core::Result<void> Daemon::OpenControl() {
  const auto& settings = this->state->settings;
  BOOST_OUTCOME_TRY(this->keys, wire::FleetKeys::Load(
                                    {settings.fleet_key_file, settings.previous_fleet_key_file}));
  this->signer = std::make_unique<wire::EnvelopeSigner>(this->state->self, this->keys);
  this->verifier = std::make_unique<wire::EnvelopeVerifier>(this->state->self, this->keys);
  transport::TransportOptions options;
  options.listen_address = settings.control_address;
  BOOST_OUTCOME_TRY(
      this->transport, transport::ControlTransport::Create(options, [this](std::string datagram) {
        asio::post(this->io,
                   [this, datagram = std::move(datagram)] { this->OnDatagram(datagram); });
      }));
  return core::Success();
}

core::Result<void> Daemon::OpenServers() {
  const auto& settings = this->state->settings;
  this->services =
      std::make_unique<RequestServices>(RequestServices{*this->state, *this->pool, *this->claims});
  http::ServerOptions caller;
  caller.address = settings.caller_address;
  caller.certificate_file = settings.certificate_file;
  caller.key_file = settings.private_key_file;
  BOOST_OUTCOME_TRY(
      this->caller_server,
      http::HttpServer::Create(this->io, caller,
                               [this](http::ServerExchange& exchange) -> asio::awaitable<void> {
                                 RequestFlow flow(*this->services, exchange);
                                 co_await flow.Run();
                               }));
  this->admin_services = std::make_unique<AdminServices>(
      AdminServices{*this->state,
                    {this->store, *this->applier, this->MakeOffload()},
                    *this->transport,
                    *this->faults,
                    this->admin_token});
  http::ServerOptions admin;
  admin.address = settings.admin_address;
  BOOST_OUTCOME_TRY(
      this->admin_server,
      http::HttpServer::Create(this->io, admin, [this](http::ServerExchange& exchange) {
        return HandleAdminRequest(*this->admin_services, exchange);
      }));
  return core::Success();
}

void Daemon::InitializeConfigurationSync() {
  configuration::SyncCallbacks callbacks;
  callbacks.send = [this](const std::string& peer, const wire::Message& message) {
    this->SendToPeer(peer, message);
  };
  callbacks.adopted = [this](const configuration::HeldPointer& held, bool committed_here) {
    this->OnAdopted(held, committed_here);
  };
  callbacks.reachable_peers = [this] {
    std::vector<std::string> addresses;
    for (const auto& member : this->state->members->LiveMembers()) {
      addresses.push_back(member.address);
    }
    return addresses;
  };
  callbacks.offload = this->MakeOffload();
  callbacks.failed = [this](const core::Error& error) {
    this->log->Write(core::LogLevel::kWarning, "configuration not read",
                     {{"error", std::string_view(error.message)}});
  };
  this->sync = std::make_unique<configuration::ConfigurationSync>(
      this->store, this->platform, callbacks,
      configuration::SyncSettings{.poll_period = this->state->settings.poll.configuration},
      std::mt19937_64(this->state->random()));
  this->applier = std::make_unique<configuration::ConfigurationApplier>(
      this->store, *this->sync, this->platform, this->state->clock);
  this->hooks.peers.on_gone = [this](const core::RouterIdentity& peer) {
    this->sync->OnPeerGone(peer.address);
    // Otherwise TCP's retransmission backoff would delay the first messages after a partition has
    // healed.
    this->transport->Disconnect(peer.address);
  };
  this->hooks.peers.on_generation = [this](const core::RouterIdentity& peer,
                                           std::uint64_t generation) {
    this->sync->OnPeerGeneration(peer.address, generation);
  };
  this->hooks.on_request = [this](const core::RouterIdentity& peer,
                                  const wire::ConfigurationRequest& request) {
    this->sync->OnRequest(peer.address, request);
  };
  this->hooks.on_changes = [this](const core::RouterIdentity& peer,
                                  const wire::ConfigurationChanges& changes) {
    this->sync->OnChanges(peer.address, changes);
  };
}

Offload Daemon::MakeOffload() {
  return [this](std::function<void()> work, std::function<void()> done) {
    this->workers.enqueue([this, work = std::move(work), done = std::move(done)] {
      work();
      asio::post(this->io, done);
    });
  };
}

void Daemon::SendToPeer(const std::string& address, const wire::Message& message) {
  const auto& members = this->state->members->members();
  const auto found = members.find(address);
  if (found != members.end()) {
    this->state->outbox->Add(found->second.identity, message);
  }
}

void Daemon::Run() {
  asio::co_spawn(this->io, this->WaitForSignals(), asio::detached);
  asio::co_spawn(this->io, this->RunTicks(), asio::detached);
  asio::co_spawn(this->io, this->PollInstances(), asio::detached);
  asio::co_spawn(this->io, this->runner_poller->Run(), asio::detached);
  this->log->Write(core::LogLevel::kInfo, "daemon started",
                   {{"control", std::string_view(this->state->self.address)},
                    {"caller", std::string_view(this->state->settings.caller_address)},
                    {"admin", std::string_view(this->state->settings.admin_address)},
                    {"incarnation", this->state->self.incarnation}});
  this->io.run();
}

void Daemon::OnDatagram(const std::string& datagram) {
  auto opened = this->verifier->Verify(datagram);
  const auto* envelope = std::get_if<wire::Envelope>(&opened);
  if (envelope == nullptr) {
    return;
  }
  const core::RouterIdentity sender = {envelope->sender().address(),
                                       envelope->sender().incarnation()};
  if (this->transport->IsBlocked(sender.address)) {
    return;
  }
  for (const auto& message : envelope->messages()) {
    DispatchMessage(*this->state, sender, message, this->hooks);
  }
}

void Daemon::Flush() {
  for (auto& batch : this->state->outbox->Take()) {
    this->SendBatch(std::move(batch));
  }
}

void Daemon::SendBatch(Outbox::Batch batch) {
  if (batch.receiver == this->state->self) {
    for (const auto& message : batch.messages) {
      DispatchMessage(*this->state, batch.receiver, message, this->hooks);
    }
    return;
  }
  for (const auto& message : batch.messages) {
    this->CountSent(message);
  }
  const auto datagram = this->signer->Sign(batch.receiver, std::move(batch.messages));
  if (!datagram) {
    this->log->Write(core::LogLevel::kError, "control messages not sent",
                     {{"error", std::string_view(datagram.error().message)}});
    return;
  }
  this->transport->Send(batch.receiver.address, datagram.value(), this->state->clock.now());
}

void Daemon::CountSent(const wire::Message& message) {
  auto found = this->sent_counters.find(message.kind_case());
  if (found == this->sent_counters.end()) {
    auto& metrics = this->state->metrics;
    const auto kind = KindName(message);
    const SentCounters counters = {
        metrics.FindCounter("pomelospar_control_messages", "Control messages sent, by kind.",
                            {{"kind", kind}}),
        metrics.FindCounter("pomelospar_control_message_bytes",
                            "Bytes of control messages sent, by kind, without their envelopes.",
                            {{"kind", kind}})};
    found = this->sent_counters.emplace(message.kind_case(), counters).first;
  }
  found->second.messages.Add();
  found->second.bytes.Add(static_cast<double>(message.ByteSizeLong()));
}

void Daemon::OnAdopted(const configuration::HeldPointer& held, bool committed_here) {
  auto& state = *this->state;
  auto authenticator = admission::Authenticator::Create(held->configuration);
  if (!authenticator) {
    this->log->Write(core::LogLevel::kError, "configuration not usable",
                     {{"error", std::string_view(authenticator.error().message)}});
    return;
  }
  state.authenticator =
      std::make_shared<const admission::Authenticator>(std::move(authenticator.value()));
  state.configuration = this->store.configuration();
  state.names = NamesOf(*state.configuration, state.settings.failure_domain);
  state.runners.SetConfiguration(*state.configuration);
  ConfigureScheduling(state);
  this->caller_server->SetLimits(LimitsOf(state.configuration->limits));
  this->log->Write(core::LogLevel::kInfo, "configuration in force",
                   {{"generation", state.configuration->generation}});
  if (committed_here) {
    TickMembership(state, this->hooks.peers);
    ApplyMembership(state, state.members->PingAll(state.clock.now()), this->hooks.peers);
  }
}

asio::awaitable<void> Daemon::WaitForSignals() {
  asio::signal_set signals(this->io, SIGTERM, SIGINT, SIGHUP);
  while (true) {
    const auto [error, number] = co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
    if (error) {
      co_return;
    }
    if (number == SIGHUP) {
      this->Reload();
      continue;
    }
    co_await this->ShutDown();
    co_return;
  }
}

asio::awaitable<void> Daemon::RunTicks() {
  while (true) {
    const bool busy = HasSchedulingWork(*this->state) || this->claims->pending() > 0;
    co_await Sleep(busy ? kBusyTick : kIdleTick);
    this->Tick();
  }
}

void Daemon::Tick() {
  auto& state = *this->state;
  const auto now = state.clock.now();
  TickScheduling(state);
  this->claims->Tick(now);
  if (now < this->next_slow_tick) {
    return;
  }
  this->next_slow_tick = now + kSlowTick;
  TickMembership(state, this->hooks.peers);
  this->sync->Tick(now);
  this->applier->Tick(now);
  TickLedger(state);
  TickCrashes(state);
  if (state.lifecycle == Lifecycle::kStarting && this->sync->ready() &&
      state.configuration != nullptr) {
    state.lifecycle = Lifecycle::kServing;
    this->log->Write(core::LogLevel::kInfo, "ready",
                     {{"generation", state.configuration->generation}});
  }
  if (now >= this->next_second) {
    this->next_second = now + seconds(1);
    this->transport->CloseIdle(now);
    this->ExportMetrics();
  }
  if (now >= this->next_minute) {
    this->next_minute = now + std::chrono::minutes(1);
    RenewDrains(state);
  }
}

asio::awaitable<void> Daemon::PollInstances() {
  while (true) {
    this->platform.list_instances(this->state->instance_list_version,
                                  [this](core::Result<platform::InstanceChanges> list) {
                                    this->state->platform_reachable = list.has_value();
                                    if (list) {
                                      HandleInstances(*this->state, list.value());
                                    }
                                  });
    co_await Sleep(WithJitter(this->state->random, this->state->settings.poll.instances));
  }
}

asio::awaitable<void> Daemon::ShutDown() {
  auto& state = *this->state;
  const auto deadline = state.clock.now() + state.settings.shutdown_grace;
  state.lifecycle = Lifecycle::kDraining;
  state.shards_outdated = true;
  this->log->Write(
      core::LogLevel::kInfo, "stopping; finishing accepted requests",
      {{"requests", static_cast<std::uint64_t>(this->caller_server->active_exchanges())}});
  ApplyMembership(state, state.members->Leave(state.clock.now()), this->hooks.peers);
  this->caller_server->StopAccepting();
  while ((this->caller_server->active_exchanges() > 0 || this->claims->pending() > 0) &&
         state.clock.now() < deadline) {
    co_await Sleep(kSlowTick);
  }
  // Sends the last releases and service counters before the process ends.
  TickLedger(state);
  this->Flush();
  co_await Sleep(kSlowTick);
  this->log->Write(
      core::LogLevel::kInfo, "stopped",
      {{"unfinished", static_cast<std::uint64_t>(this->caller_server->active_exchanges())}});
  this->io.stop();
}

void Daemon::Reload() {
  const auto report = [this](std::string_view what, const core::Result<void>& result) {
    if (result) {
      this->log->Write(core::LogLevel::kInfo, "file read again", {{"file", what}});
    } else {
      this->log->Write(core::LogLevel::kError, "file not read again; the old content stays",
                       {{"file", what}, {"error", std::string_view(result.error().message)}});
    }
  };
  report("fleet key", this->keys->Reload());
  report("admin token", this->ReadAdminToken());
  if (!this->state->settings.certificate_file.empty()) {
    report("certificate", this->caller_server->ReloadCertificate());
  }
}

void Daemon::ExportMetrics() {
  auto& metrics = this->state->metrics;
  const auto counters = this->transport->counters();
  const auto set = [&](std::string_view name, std::string_view help, double value) {
    metrics.FindGauge(name, help).Set(value);
  };
  set("pomelospar_control_sent_bytes", "Control bytes sent since start.",
      static_cast<double>(counters.sent_bytes));
  set("pomelospar_control_received_bytes", "Control bytes received since start.",
      static_cast<double>(counters.received_bytes));
  set("pomelospar_control_sent_messages", "Control datagrams sent since start.",
      static_cast<double>(counters.sent_messages));
  set("pomelospar_control_dropped_messages", "Control datagrams dropped since start.",
      static_cast<double>(counters.dropped_messages));
  set("pomelospar_live_members", "Live routers, this one included.",
      static_cast<double>(this->state->members->LiveMembers().size() + 1));
  set("pomelospar_log_lines_dropped", "Log lines dropped since start.",
      static_cast<double>(this->log->dropped()));
  set("pomelospar_retries_refused", "Retries refused by the retry budget since start.",
      static_cast<double>(this->state->retry_budget->refused()));
  set("pomelospar_claims_pending", "Claims that wait for the platform.",
      static_cast<double>(this->claims->pending()));
  set("pomelospar_generation", "Generation of the configuration in force.",
      this->state->configuration != nullptr
          ? static_cast<double>(this->state->configuration->generation)
          : 0.0);
  set("pomelospar_ready", "1 while this router takes requests.",
      this->state->lifecycle == Lifecycle::kServing ? 1.0 : 0.0);
  set("pomelospar_platform_reachable", "1 if the last read of the instance list succeeded.",
      this->state->platform_reachable ? 1.0 : 0.0);
  set("pomelospar_waiting_requests", "Requests that wait for a slot at this router.",
      static_cast<double>(this->state->waiting.size()));
  set("pomelospar_quarantined_requests", "Fingerprints in quarantine.",
      static_cast<double>(this->state->crashes->Quarantined().size()));
  for (std::size_t reason = 0; reason < wire::kRejectReasons; ++reason) {
    const auto kind = static_cast<wire::RejectReason>(reason);
    metrics
        .FindGauge("pomelospar_control_rejected", "Control datagrams rejected since start.",
                   {{"reason", wire::NameOf(kind)}})
        .Set(static_cast<double>(this->verifier->rejected(kind)));
  }
}

}  // namespace pomelospar::daemon
