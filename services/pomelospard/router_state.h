#ifndef POMELOSPAR_SERVICES_POMELOSPARD_ROUTER_STATE_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_ROUTER_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/admission/authenticator.h"
#include "libraries/admission/cost_estimator.h"
#include "libraries/admission/crash_tracker.h"
#include "libraries/admission/retry_budget.h"
#include "libraries/configuration/configuration.h"
#include "libraries/configuration/daemon_settings.h"
#include "libraries/core/clock.h"
#include "libraries/core/identifiers.h"
#include "libraries/core/log.h"
#include "libraries/membership/member_table.h"
#include "libraries/metrics/metrics_registry.h"
#include "libraries/notices/notice_board.h"
#include "libraries/runners/runner_table.h"
#include "libraries/scheduling/demand_planner.h"
#include "libraries/scheduling/entry_queues.h"
#include "libraries/scheduling/service_ledger.h"
#include "libraries/scheduling/slot_allocator.h"
#include "services/pomelospard/outbox.h"
#include "services/pomelospard/recent_requests.h"

namespace pomelospar::daemon {

enum class Lifecycle {
  /// Not ready: the configuration is not known to be the latest one.
  kStarting,
  kServing,
  /// Finishes what was accepted; accepts nothing new.
  kDraining,
};

/// A slot that a request may use now.
struct GrantedSlot {
  std::uint64_t grant = 0;
  core::RunnerId runner{};
};

/// Called once: with a slot, or with nothing when the request waited too long.
using SlotCallback = std::function<void(std::optional<GrantedSlot>)>;

/// A request of this router that a runner is working on.
struct RunningRequest {
  core::RunnerId runner{};
  core::WorkspaceId workspace{};
  admission::Fingerprint fingerprint;
};

/// Names of the configuration by identifier, for logs, metrics and the admin API.
struct Names {
  std::unordered_map<core::WorkspaceId, std::string> workspaces;
  std::unordered_map<core::UpstreamId, std::string> upstreams;
  std::unordered_map<core::ClassId, std::string> classes;
  std::unordered_map<core::DomainId, std::string> domains;
};

/// The state of one daemon. Controllers are free functions that read and write it on the I/O
/// thread; each section names the controller that writes it.
struct RouterState {
  // Set once at start.
  configuration::DaemonSettings settings;
  core::Clock clock;
  core::Log* log = nullptr;
  core::RouterIdentity self;
  core::TimePoint started{};
  core::DomainId domain{};
  std::mt19937_64 random;

  // Written by the daemon.
  Lifecycle lifecycle = Lifecycle::kStarting;
  std::unique_ptr<Outbox> outbox;

  // Written by the configuration controller.
  std::shared_ptr<const configuration::Configuration> configuration;
  std::shared_ptr<const admission::Authenticator> authenticator;
  Names names;

  // Written by the membership controller.
  std::unique_ptr<membership::MemberTable> members;
  std::unique_ptr<notices::NoticeBoard> notices;

  // Written by the runner controller.
  runners::RunnerTable runners;
  std::uint64_t instance_list_version = 0;
  /// Whether the last read of the instance list succeeded.
  bool platform_reachable = false;
  std::set<std::string> listed_routers;

  // Written by the scheduling controller.
  std::unique_ptr<scheduling::ServiceLedger> ledger;
  std::unique_ptr<scheduling::DemandPlanner> planner;
  scheduling::EntryQueues queues;
  std::map<core::ShardIdentity, std::unique_ptr<scheduling::SlotAllocator>> allocators;
  std::map<core::ShardIdentity, std::vector<core::RunnerId>> shards;
  /// Shards of the own domain for which this router is first in its own view.
  std::set<core::ShardIdentity> allocated_shards;
  /// Other domains whose runners could not be reached from here, until this time.
  std::map<core::DomainId, core::TimePoint> unreachable_domains;
  std::unordered_map<std::uint64_t, SlotCallback> waiting;
  /// Set when runners, members, notices or the configuration changed.
  bool shards_outdated = true;
  core::TimePoint next_report{};
  core::TimePoint next_domain_report{};
  /// Periods until the next reports, for the fairness bound.
  core::Duration report_period{};
  core::Duration domain_report_period{};
  core::TimePoint next_ledger_request{};
  /// Set when the time has passed in which the ledger waits for the state of peers.
  bool ledger_wait_ended = false;

  // Written by the request handler.
  std::unordered_map<std::uint64_t, RunningRequest> running;
  admission::CostEstimator estimator;
  std::unique_ptr<admission::RetryBudget> retry_budget;
  std::unique_ptr<admission::CrashTracker> crashes;
  /// Suspicions that this router has published and may withdraw.
  std::unordered_map<admission::Fingerprint, std::vector<admission::Suspicion>> own_suspicions;
  RecentRequests recent = RecentRequests(2000);

  metrics::MetricsRegistry metrics;
};

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_ROUTER_STATE_H_
