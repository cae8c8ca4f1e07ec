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
#include "libraries/notices/notice_table.h"
#include "libraries/runners/runner_table.h"
#include "libraries/scheduling/demand_planner.h"
#include "libraries/scheduling/entry_queues.h"
#include "libraries/scheduling/service_ledger.h"
#include "libraries/scheduling/slot_allocator.h"
#include "services/pomelospard/outbox.h"
#include "services/pomelospard/recent_requests.h"

namespace pomelospar::daemon {

enum class Lifecycle {
  /// Not ready: this router has not yet confirmed that its configuration is the latest one.
  kStarting,
  kServing,
  /// Finishes the accepted requests and accepts no new ones.
  kDraining,
};

/// A slot that was granted to a waiting request.
struct GrantedSlot {
  /// Identifier of the grant, chosen by the allocator that issued it.
  std::uint64_t grant = 0;
  core::RunnerId runner{};
};

/// Called once on the I/O thread: with the granted slot, or with nothing when the queue timeout of
/// the request has passed.
using SlotCallback = std::function<void(std::optional<GrantedSlot>)>;

/// A request of this router that is running on a runner.
struct RunningRequest {
  core::RunnerId runner{};
  core::WorkspaceId workspace{};
  /// Identifies the request by its content, to find requests that crash runners.
  admission::Fingerprint fingerprint;
};

/// Configured names by identifier, for logs, metrics and the admin API.
struct Names {
  std::unordered_map<core::WorkspaceId, std::string> workspaces;
  std::unordered_map<core::UpstreamId, std::string> upstreams;
  std::unordered_map<core::ClassId, std::string> classes;
  std::unordered_map<core::DomainId, std::string> domains;
};

/// The state of one router process. Controllers are free functions that read and write it on the
/// I/O thread. The comment above each group of members names its main writer.
struct RouterState {
  // Set once at start, except `random`, which is seeded at start and advanced by each draw.
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

  // Written by the daemon when a configuration takes effect.
  std::shared_ptr<const configuration::Configuration> configuration;
  std::shared_ptr<const admission::Authenticator> authenticator;
  Names names;

  // Written by the membership and notice controllers.
  std::unique_ptr<membership::MemberTable> members;
  /// Facts with a limited lifetime about runners and request fingerprints, such as a drained runner
  /// or a crash suspicion, that all routers share.
  std::unique_ptr<notices::NoticeTable> notices;

  // Written by the runner controller, except `platform_reachable`, which the daemon writes.
  runners::RunnerTable runners;
  std::uint64_t instance_list_version = 0;
  /// Whether the last read of the instance list succeeded.
  bool platform_reachable = false;
  /// Addresses of the routers in the instance list.
  std::set<std::string> listed_routers;

  // Written by the scheduling and ledger controllers.
  std::unique_ptr<scheduling::ServiceLedger> ledger;
  std::unique_ptr<scheduling::DemandPlanner> planner;
  /// Requests that callers sent to this router and that wait for a slot.
  scheduling::EntryQueues queues;
  /// Allocators of the shards for which a router has sent demand to this router. Each is created
  /// when the first demand message for its shard arrives.
  std::map<core::ShardIdentity, std::unique_ptr<scheduling::SlotAllocator>> allocators;
  /// The runners of every shard of the configured upstreams.
  std::map<core::ShardIdentity, std::vector<core::RunnerId>> shards;
  /// Shards of this router's failure domain that it allocates, because it is first in the
  /// rendezvous order of the shard (`scheduling::AllocatorOrder`) among the live routers that it
  /// knows.
  std::set<core::ShardIdentity> allocated_shards;
  /// Failure domains to which this router sends no demand until the given time, because one of
  /// their runners was unreachable.
  std::map<core::DomainId, core::TimePoint> unreachable_domains;
  /// Callbacks of the requests that wait for a slot, by request number.
  std::unordered_map<std::uint64_t, SlotCallback> waiting;
  /// True when the shards must be assigned again, because runners, members, notices or the
  /// configuration changed, a failure domain was added to or removed from `unreachable_domains`, or
  /// this router began to drain.
  bool shards_outdated = true;
  /// Times when the next service reports (to the routers of this failure domain) and the next
  /// domain reports (to the routers of the other domains) are due.
  core::TimePoint next_report{};
  core::TimePoint next_domain_report{};
  /// Current periods of the service and domain reports. They are inputs of the fairness bound: the
  /// upper bound of the difference in service per share between two backlogged workspaces
  /// (`scheduling::FairnessBound`).
  core::Duration report_period{};
  core::Duration domain_report_period{};
  /// Earliest time of the next periodic request for the ledgers of peers.
  core::TimePoint next_ledger_request{};
  /// True once this router has waited 3 s from its start (`kLedgerWait`) without receiving the
  /// complete ledger of a router of its failure domain that has state. It then stops asking. The
  /// value stays false if such a ledger arrived in time.
  bool ledger_wait_timed_out = false;

  // Written by the request flow and the crash controller.
  /// By request number.
  std::unordered_map<std::uint64_t, RunningRequest> running;
  admission::CostEstimator estimator;
  std::unique_ptr<admission::RetryBudget> retry_budget;
  std::unique_ptr<admission::CrashTracker> crashes;
  /// Crash suspicions that this router has published; it withdraws them when the request succeeds.
  std::unordered_map<admission::Fingerprint, std::vector<admission::Suspicion>> own_suspicions;
  RecentRequests recent = RecentRequests(2000);

  metrics::MetricsRegistry metrics;
};

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_ROUTER_STATE_H_
