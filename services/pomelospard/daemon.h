#ifndef POMELOSPAR_SERVICES_POMELOSPARD_DAEMON_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_DAEMON_H_

#include <tbb/task_arena.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <map>
#include <memory>
#include <string>

#include "libraries/claims/claim_store.h"
#include "libraries/configuration/configuration_apply.h"
#include "libraries/configuration/configuration_store.h"
#include "libraries/configuration/configuration_sync.h"
#include "libraries/configuration/daemon_settings.h"
#include "libraries/core/log.h"
#include "libraries/core/result.h"
#include "libraries/http/http_server.h"
#include "libraries/http/upstream_pool.h"
#include "libraries/transport/control_transport.h"
#include "libraries/wire/envelope_signer.h"
#include "libraries/wire/envelope_verifier.h"
#include "libraries/wire/fleet_keys.h"
#include "services/pomelospard/admin_handler.h"
#include "services/pomelospard/fault_injection.h"
#include "services/pomelospard/message_dispatcher.h"
#include "services/pomelospard/request_flow.h"
#include "services/pomelospard/router_state.h"
#include "services/pomelospard/runner_poller.h"

namespace pomelospar::daemon {

/// One router process: owns the shared state, the I/O thread's event loop and all connections, and
/// runs the controllers.
class Daemon {
 public:
  /// Reads the key and token files and opens all ports. Errors name the setting to change.
  static core::Result<std::unique_ptr<Daemon>> Create(configuration::DaemonSettings settings);

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Serves until a graceful shutdown is complete. SIGTERM and SIGINT start the shutdown; SIGHUP
  /// reloads the certificate, key and token files.
  void Run();

 private:
  // A large configuration takes tens of milliseconds to parse; one thread is enough for 8,400
  // changes a day.
  static constexpr int kWorkerThreads = 1;

  struct SentCounters {
    metrics::Counter messages;
    metrics::Counter bytes;
  };

  Daemon() = default;

  core::Result<void> OpenControl();
  core::Result<void> OpenServers();
  core::Result<void> ReadAdminToken();
  void InitializeRouterState(configuration::DaemonSettings settings);
  void InitializeConfigurationSync();
  Offload MakeOffload();

  void OnDatagram(const std::string& datagram);
  void Flush();
  void SendBatch(Outbox::Batch batch);
  void CountSent(const wire::Message& message);
  void OnAdopted(const configuration::HeldPointer& held, bool committed_here);
  void SendToPeer(const std::string& address, const wire::Message& message);

  boost::asio::awaitable<void> WaitForSignals();
  boost::asio::awaitable<void> RunTicks();
  void Tick();
  boost::asio::awaitable<void> PollInstances();
  boost::asio::awaitable<void> ShutDown();
  void Reload();
  void ExportMetrics();

  boost::asio::io_context io;
  std::unique_ptr<core::Log> log;
  std::unique_ptr<RouterState> state;
  std::shared_ptr<FaultInjection> faults = std::make_shared<FaultInjection>();

  std::shared_ptr<wire::FleetKeys> keys;
  std::unique_ptr<wire::EnvelopeSigner> signer;
  std::unique_ptr<wire::EnvelopeVerifier> verifier;
  std::unique_ptr<transport::ControlTransport> transport;
  ConfigurationHooks hooks;

  std::unique_ptr<RunnerPoller> runner_poller;
  std::unique_ptr<http::UpstreamPool> pool;
  platform::PlatformClient platform;
  std::unique_ptr<claims::ClaimStore> claims;
  configuration::ConfigurationStore store;
  std::unique_ptr<configuration::ConfigurationSync> sync;
  std::unique_ptr<configuration::ConfigurationApplier> applier;
  // Parses and validates configurations away from the I/O thread.
  tbb::task_arena workers = tbb::task_arena(kWorkerThreads, 0);

  std::unique_ptr<RequestServices> services;
  std::unique_ptr<AdminServices> admin_services;
  std::unique_ptr<http::HttpServer> caller_server;
  std::unique_ptr<http::HttpServer> admin_server;
  std::string admin_token;

  // By kind of message; each pair of counters is looked up in the registry only once.
  std::map<wire::Message::KindCase, SentCounters> sent_counters;
  core::TimePoint next_slow_tick{};
  core::TimePoint next_second{};
  core::TimePoint next_minute{};
};

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_DAEMON_H_
