#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_EDGE_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_EDGE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/circular_buffer.hpp>
#include <memory>
#include <string>
#include <unordered_set>

#include "libraries/core/buffered_log.h"
#include "libraries/core/result.h"
#include "libraries/dispatch/connection_backlog.h"
#include "libraries/dispatch/entry_rate.h"
#include "libraries/dispatch/load_shedding.h"
#include "libraries/http/http_server.h"
#include "libraries/http/upstream_pool.h"
#include "platform/settings.h"
#include "services/pomelospar_edge/engine_coordinator.h"
#include "services/pomelospar_edge/peer_exchange.h"
#include "services/pomelospar_edge/request_session.h"
#include "services/pomelospar_edge/router_state.h"
#include "services/pomelospar_edge/store_sync.h"
#include "services/pomelospar_edge/suspect_archive.h"

namespace pomelospar::edge {

/// One router process of the platform. It keeps nothing on disk.
class Edge {
 public:
  /// Binds all addresses. Errors: `kInvalidArgument` if an address is malformed, `kUnavailable` if
  /// it cannot be bound.
  static core::Result<std::unique_ptr<Edge>> Create(std::string settings_path,
                                                    std::string settings_document,
                                                    adapter::InstanceSettings settings);
  /// Serves until a stop signal arrives; returns when the requests in progress have ended, or
  /// shortly before the grace time of the settings is over.
  void Run();

 private:
  Edge(std::string settings_path, std::string settings_document,
       adapter::InstanceSettings settings);
  core::Result<void> Listen();
  void AwaitSignals();
  void Tick();
  void ScheduleTick();
  /// Ends quarantines that are due, and logs those that began or ended.
  void UpdateSuspects();
  void LogLoad();
  /// Logs what each workspace with requests at this router asked for and was served in the share
  /// window, here and at the other routers.
  void LogShares();
  void ReloadSettings();
  void ApplyCallerLimits();
  bool IsReady() const;
  /// Returns the time since the next tick was due; negative if it is not due yet.
  core::Duration TickOverdue() const;
  /// Returns true if caller connections may be accepted after a pause of accepting of this length.
  bool MayAccept(core::Duration paused) const;
  /// Counts a connection that was just accepted. Returns false if it is refused, because its
  /// request would wait for processor time.
  bool MayServe();
  /// Returns true if the request is to be refused because the process is overloaded.
  bool MustShed(const http::HttpRequest& request);
  boost::asio::awaitable<void> Serve(http::ServerExchange& exchange);
  boost::asio::awaitable<void> AnswerReadiness(http::ServerExchange& exchange);
  /// Answers with the metrics, or with an explanation for the path /explain.
  boost::asio::awaitable<void> AnswerMetrics(http::ServerExchange& exchange);
  http::HttpResponse Explain(const http::HttpRequest& request);
  boost::asio::awaitable<void> Stop();
  /// Waits until all callers have their answers and are gone, at most until `limit`.
  boost::asio::awaitable<void> AwaitCallers(core::TimePoint limit);

  boost::asio::io_context io;
  core::BufferedLog log;
  RouterState state;
  std::string settings_path;
  /// Content of the settings file that is in force.
  std::string settings_document;
  http::UpstreamPool pool;
  adapter::StoreClient store;
  boost::asio::signal_set signals;
  boost::asio::steady_timer tick_timer;
  std::uint64_t ticks = 0;
  std::unique_ptr<PeerExchange> peers;
  std::unique_ptr<EngineCoordinator> coordinator;
  std::unique_ptr<StoreSync> sync;
  std::unique_ptr<SuspectArchive> suspect_archive;
  /// Sessions of the requests in progress.
  std::unordered_set<RequestSession*> sessions;
  std::unique_ptr<http::HttpServer> caller_server;
  std::unique_ptr<http::HttpServer> readiness_server;
  std::unique_ptr<http::HttpServer> metrics_server;
  /// Times of the latest explanations. Each one examines all runners of an upstream on the thread
  /// that serves requests, so there are at most as many in a second as this has room for.
  boost::circular_buffer<core::TimePoint> explained_at{10};
  /// Readiness at the latest tick, so that only changes are logged.
  bool was_ready = false;
  dispatch::LoadShedding shedding;
  dispatch::EntryRate entry_rate;
  dispatch::ConnectionBacklog backlog;
  metrics::Counter refused_connections;
  metrics::Counter shed_requests;
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_EDGE_H_
