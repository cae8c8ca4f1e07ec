#ifndef POMELOSPAR_TESTS_LIBRARIES_SCHEDULING_FLEET_H_
#define POMELOSPAR_TESTS_LIBRARIES_SCHEDULING_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <tuple>
#include <vector>

#include "libraries/core/clock.h"
#include "libraries/scheduling/demand_planner.h"
#include "libraries/scheduling/entry_queues.h"
#include "libraries/scheduling/fairness_bound.h"
#include "libraries/scheduling/service_ledger.h"
#include "libraries/scheduling/shard_map.h"
#include "libraries/scheduling/slot_allocator.h"

namespace pomelospar::scheduling {

/// How requests are ordered. `kLocalFair` and `kFirstInFirstOut` are baselines: the allocators
/// divide the slots among the entry routers, and each router orders its own requests.
enum class Policy { kFleet, kLocalFair, kFirstInFirstOut };

/// Mechanisms that a test switches off to show that its check can fail.
struct Mutations {
  bool merge_reports = true;
  bool raise_offsets = true;
};

struct FleetOptions {
  Policy policy = Policy::kFleet;
  Mutations mutations;
  std::size_t domains = 3;
  std::size_t routers = 7;
  std::size_t runners = 10;
  std::uint32_t slots = 8;
  /// Share of each workspace.
  std::vector<double> shares = {4, 4, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1};
  /// One-way delay of messages between domains. Within a domain it is a fifth of this.
  core::Duration delay = std::chrono::microseconds(500);
  /// Estimated cost of every request, in cost units.
  double estimate = 10.0;
  /// True costs lie between `estimate / error_factor` and `estimate * error_factor`.
  double error_factor = 10.0;
  /// Cost units that one slot serves per second.
  double slot_rate = 100.0;
  /// Number of equal charges of a request while it runs.
  int charges = 10;
  /// Number of callers of each workspace at each router.
  std::size_t callers = 1;
  std::uint64_t seed = 1;
};

/// Simulates the routers of a fleet, which exchange messages through an in-memory queue in virtual
/// time.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options);

  void Run(core::Duration duration);
  /// Keeps `depth` requests of the workspace waiting at the router; 0 removes the load.
  void SetLoad(std::size_t workspace, std::size_t router, std::size_t depth);
  /// Cuts a domain off from the others or reconnects it. Membership notices the change after 3 s.
  void SetCut(std::size_t domain, bool cut);
  /// Replaces the router by a new incarnation without state. Its running requests end.
  void Restart(std::size_t router);
  /// Ends a runner, which fails its requests, or starts it again without requests.
  void SetRunner(std::size_t runner, bool alive);
  /// Makes the router treat all other routers of its domain as dead, so that it acts as allocator
  /// of all shards of the domain in addition to the regular ones.
  void SetAlone(std::size_t router, bool alone);
  /// Sets the fraction of messages between routers that are lost.
  void SetLoss(double loss) { this->loss = loss; }

  /// Returns the service charged so far, in cost units divided by share.
  double Normalised(std::size_t workspace) const;
  /// Largest difference between two watched workspaces in normalised service received since
  /// `ResetMeasurements`.
  double gap() const { return this->largest_gap; }
  /// Returns the fraction of the slots of live runners in use, averaged since `ResetMeasurements`.
  double Utilisation() const;
  /// Largest number of requests that ran at the same time since `ResetMeasurements`.
  std::size_t peak_slots_in_use() const { return this->peak_in_use; }
  /// Number of messages between different routers.
  std::uint64_t messages() const { return this->sent_messages; }
  /// Number of requests of each caller of a workspace that were started.
  const std::map<std::uint64_t, std::size_t>& served_callers(std::size_t workspace) const;
  /// Starts a new measurement; `gap` then compares the `watched` workspaces.
  void ResetMeasurements(const std::vector<std::size_t>& watched);
  /// Returns the inputs of `FairnessBound` for this fleet.
  FairnessInputs Inputs() const;

 private:
  /// A simulated router.
  struct Node {
    core::RouterIdentity identity;
    std::size_t domain = 0;
    std::unique_ptr<ServiceLedger> ledger;
    EntryQueues queues;
    std::unique_ptr<DemandPlanner> planner;
    std::map<core::ShardIdentity, std::unique_ptr<SlotAllocator>> allocators;
    /// Workspace of each waiting request.
    std::map<std::uint64_t, std::size_t> waiting;
    std::vector<std::size_t> queued;
    std::vector<double> local_service;
    std::vector<std::size_t> load;
    core::TimePoint wake = core::TimePoint::max();
    bool alone = false;
    bool stopped = false;
  };
  struct RunnerInfo {
    std::size_t domain = 0;
    core::RunnerId id{};
    bool alive = true;
    std::size_t running = 0;
  };
  struct Event {
    core::TimePoint time;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(this->time, this->order) > std::tie(other.time, other.order);
    }
  };

  void Schedule(core::TimePoint time, std::function<void()> action);
  void Send(const Node& sender, const core::RouterIdentity& receiver,
            std::function<void(Node&)> deliver);
  bool Reaches(const Node& sender, const Node& receiver) const;
  Node* Find(const core::RouterIdentity& identity);
  std::unique_ptr<Node> MakeNode(std::size_t index);
  SlotAllocator& AllocatorOf(Node& node, const core::ShardIdentity& shard, bool first);
  std::vector<ShardRunners> Shards() const;
  void UpdateViews();
  void UpdateView(Node& node);
  void SendReport(Node& node, const wire::ServiceReport& report);
  void SendDomainReport(Node& node, std::size_t domain, const wire::DomainReport& report);
  /// Refills the queues, sends the demand and the grants that are due, and schedules the next call.
  void Pump(Node& node);
  void Refill(Node& node);
  void Accept(Node& node, const core::RouterIdentity& sender, const wire::Grant& grant);
  /// Returns the workspace whose request runs under the grant for `request`, according to the
  /// policy.
  std::size_t ChooseWorkspace(Node& node, std::uint64_t request);
  /// Runs the remaining parts of a request, starting with `part`, and charges each at its end.
  void Serve(Node& node, std::uint64_t grant, std::size_t workspace, std::size_t runner,
             double cost, int part);
  void Finish(Node& node, std::uint64_t grant, std::size_t workspace, wire::ReleaseReason reason);
  void ReportPeriodically(Node& node);
  void ReportDomainPeriodically(Node& node);
  /// Updates the measured utilisation and gap to the current time.
  void Observe();
  void Tick();
  core::Duration PeriodOfReports() const;
  core::Duration PeriodOfDomainReports() const;
  bool IsHome(const Node& node, std::size_t destination, std::size_t workspace) const;

  FleetOptions options;
  std::mt19937_64 random;
  core::ManualClock clock;
  std::priority_queue<Event> events;
  std::uint64_t event_order = 0;
  std::uint64_t next_request = 1;
  std::uint64_t sent_messages = 0;
  double loss = 0.0;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<Node>> former_nodes;
  std::vector<RunnerInfo> runners;
  std::set<std::size_t> cut_domains;
  std::set<std::size_t> seen_cut_domains;
  std::vector<double> service;
  std::vector<double> service_at_reset;
  std::vector<std::map<std::uint64_t, std::size_t>> served;
  std::vector<std::size_t> watched;
  double largest_gap = 0.0;
  double used_time = 0.0;
  double slot_time = 0.0;
  std::size_t peak_in_use = 0;
  core::TimePoint observed{};
};

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_TESTS_LIBRARIES_SCHEDULING_FLEET_H_
