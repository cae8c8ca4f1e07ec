#ifndef POMELOSPAR_LIBRARIES_SCHEDULING_SLOT_ALLOCATOR_H_
#define POMELOSPAR_LIBRARIES_SCHEDULING_SLOT_ALLOCATOR_H_

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "libraries/core/clock.h"
#include "libraries/core/identifiers.h"
#include "libraries/scheduling/addressed.h"
#include "libraries/scheduling/service_ledger.h"
#include "libraries/wire/control.pb.h"

namespace pomelospar::scheduling {

/// Maximum number of queued requests that one demand row reports, and maximum number of unconfirmed
/// grants of one row. Because of the limit, a steady backlog leaves the row unchanged and causes no
/// messages.
inline constexpr std::uint32_t kDemandWindow = 4;
/// Time after the arrival of a grant within which the entry router may use it.
inline constexpr core::Duration kGrantValidity = std::chrono::milliseconds(500);
/// A new allocator issues no grants for this long, unless all expected routers report their demand
/// earlier.
inline constexpr core::Duration kRebuildTime = std::chrono::milliseconds(300);
/// A grant that was neither confirmed nor renewed for this long is reclaimed.
inline constexpr core::Duration kReclaimAfter = std::chrono::seconds(2);
/// A router that was silent for this long is removed and all of its grants are reclaimed.
inline constexpr core::Duration kRouterSilenceLimit = std::chrono::seconds(5);
/// No grant is issued for a runner for this long after it failed a request. After that, notices
/// about the runner decide whether it is usable.
inline constexpr core::Duration kRunnerFailurePause = std::chrono::seconds(1);

/// Free slots are held back for this long after a grant to the workspace that is first in order if
/// all of its rows have used up their window and wait for confirmation. Otherwise, slots that
/// become free together would go to workspaces whose requests arrive at many routers, because a
/// workspace whose requests arrive at one router has a window of only four grants. This time is
/// longer than a round trip between failure domains with a delay of 1 ms one way.
inline constexpr core::Duration kConfirmationHold = std::chrono::milliseconds(5);

/// A runner of the shard and its slots.
struct RunnerSlots {
  core::RunnerId runner{};
  std::uint32_t slots = 1;
  /// False if the runner is marked leaving, down or drained.
  bool usable = true;
};

/// Configured weight of a request class within each workspace.
struct ClassWeight {
  core::ClassId request_class{};
  /// Greater than zero.
  double weight = 1.0;
};

/// Messages that the caller must send on behalf of the allocator.
struct AllocatorOutput {
  std::vector<Addressed<wire::Grant>> grants;
  std::vector<Addressed<wire::DemandAck>> acknowledgements;
};

/// Grants the slots of one shard to entry routers according to their demand.
///
/// The next grant goes to the workspace with the lowest normalised service, within it to the class
/// with the lowest charged service divided by weight, and within that to the entry router with the
/// fewest outstanding grants. The state is soft: a new allocator rebuilds it from the demand of the
/// entry routers.
class SlotAllocator {
 public:
  /// `grant_base` is the first grant identifier. It must be random, so that grant identifiers are
  /// unique in the fleet. The ledger must outlive the allocator.
  SlotAllocator(core::ShardIdentity shard, ServiceLedger* ledger, std::uint64_t grant_base,
                core::TimePoint now);
  SlotAllocator(const SlotAllocator&) = delete;
  SlotAllocator& operator=(const SlotAllocator&) = delete;

  /// Replaces the runners of the shard. Outstanding grants keep their slots.
  void SetRunners(std::span<const RunnerSlots> runners);
  void SetClassWeights(std::span<const ClassWeight> weights);
  /// Sets the maximum credit of a workspace that returns from idle (C in section 7 of the design),
  /// in cost units per share. It is infinite until set.
  void SetCreditLimit(double credit_limit) { this->credit_limit = credit_limit; }
  /// Sets the routers that end the rebuild early once all of them have sent demand: the live
  /// routers of the shard's domain.
  void SetExpectedRouters(std::span<const core::RouterIdentity> routers);
  /// Sets whether this router is first in the rendezvous order of the shard, as it sees it. If it
  /// is not, it grants at most a quarter of each runner's slots, but at least one.
  void SetFirstInOrder(bool first, core::TimePoint now);

  void Receive(const core::RouterIdentity& sender, const wire::Demand& demand, core::TimePoint now);
  void Receive(const core::RouterIdentity& sender, const wire::Release& release,
               core::TimePoint now);
  /// Drops the demand and the grants of a router that membership has declared dead.
  void RemoveRouter(const core::RouterIdentity& router);
  /// Reclaims grants, raises offsets and ends pauses of runners. Must be called about every 100 ms.
  void Tick(core::TimePoint now);
  /// Grants all free slots that eligible demand can use. Returns the grants and the pending
  /// acknowledgements.
  AllocatorOutput Decide(core::TimePoint now);
  /// Time at which `Decide` must be called again if no message arrives before.
  std::optional<core::TimePoint> NextDecisionTime() const { return this->next_decision; }

  const core::ShardIdentity& shard() const { return this->identity; }
  std::uint32_t free_slots() const;
  std::size_t outstanding_grants() const { return this->grants.size(); }
  /// True if no router has demand or grants, so that the allocator may be dropped.
  bool idle() const { return this->grants.empty() && this->workspaces.empty(); }

 private:
  struct WorkspaceState;
  struct ClassState;
  struct EntryRouterState;

  /// Demand of one entry router for one workspace and class.
  struct Row {
    EntryRouterState* router = nullptr;
    WorkspaceState* workspace = nullptr;
    ClassState* request_class = nullptr;
    std::uint32_t queued = 0;
    std::uint32_t unconfirmed = 0;
    std::uint32_t outstanding = 0;
    double estimated_cost = 0.0;
    /// Sum of the estimated costs of the outstanding grants, and the cost that their requests have
    /// been charged so far; both in cost units.
    double estimates = 0.0;
    double running_charged = 0.0;
    std::uint64_t last_granted = 0;
    bool eligible = false;
    /// The row reports a full window of requests but is not eligible until grants are confirmed.
    bool blocked = false;
  };
  /// Fewest outstanding grants first, then least recently granted.
  struct RowOrder {
    bool operator()(const Row* left, const Row* right) const;
  };
  struct ClassState {
    core::ClassId id{};
    /// Charged service divided by weight, in cost units.
    double tag = 0.0;
    std::size_t backlogged_rows = 0;
    std::set<Row*, RowOrder> eligible;
  };
  struct WorkspaceState {
    core::WorkspaceId id{};
    /// Estimated cost of outstanding grants that no counter includes yet, summed over entry
    /// routers.
    double running = 0.0;
    /// Highest tag of a class at the time of a grant. A class that becomes backlogged starts at
    /// least there.
    double virtual_time = 0.0;
    /// Sort key in `order` while `ordered`; at most the current normalised service.
    double key = 0.0;
    bool ordered = false;
    std::size_t backlogged_rows = 0;
    std::size_t blocked_rows = 0;
    std::size_t eligible_rows = 0;
    /// Until then the workspace stays in `order` although all of its rows may be blocked.
    core::TimePoint hold_until{};
    std::size_t rows = 0;
    std::map<core::ClassId, ClassState> classes;
  };
  struct WorkspaceOrder {
    bool operator()(const WorkspaceState* left, const WorkspaceState* right) const;
  };
  using RowKey = std::pair<core::WorkspaceId, core::ClassId>;
  /// Demand rows and outstanding grants of one entry router.
  struct EntryRouterState {
    core::RouterIdentity identity;
    std::uint64_t sequence = 0;
    /// Some rows or grants of the router are not known yet, so full demand is requested.
    bool incomplete = true;
    core::TimePoint last_heard{};
    std::map<RowKey, Row> rows;
    std::unordered_set<std::uint64_t> grants;
  };
  struct GrantState {
    Row* row = nullptr;
    core::RunnerId runner{};
    double estimated_cost = 0.0;
    /// Time of the last renewal, or of the grant if it was not renewed.
    core::TimePoint renewed{};
    bool confirmed = false;
  };
  struct RunnerState {
    std::uint32_t slots = 0;
    std::uint32_t used = 0;
    bool usable = true;
    core::TimePoint paused_until{};
    /// Number of free slots in the entry in `free_runners`; 0 if there is no entry.
    std::uint32_t listed_slots = 0;
  };

  EntryRouterState& Router(const core::RouterIdentity& identity);
  Row& RowOf(EntryRouterState& router, core::WorkspaceId workspace, core::ClassId request_class);
  void ApplyRow(EntryRouterState& router, const wire::DemandRow& message);
  void ApplyHeldGrant(EntryRouterState& router, const wire::HeldGrant& held, core::TimePoint now);
  /// Ends confirmed grants and clears rows that are absent from full demand.
  void RemoveAbsentEntries(EntryRouterState& router, const wire::Demand& demand);
  void SetQueued(Row& row, std::uint32_t queued);
  void RefreshRow(Row& row);
  /// Removes the row from the order of its class, as required before its sort key changes.
  void RemoveFromClassOrder(Row& row);
  void RefreshOrder(WorkspaceState& workspace);
  void DropIfUnused(EntryRouterState& router, Row& row);
  void ChangeRunning(Row& row, double estimates, double running_charged);
  /// Returns the estimated cost of the router's outstanding grants for the workspace that is not
  /// charged yet.
  double UnchargedOf(const EntryRouterState& router, core::WorkspaceId workspace) const;
  /// Returns the normalised service including the uncharged cost of outstanding grants.
  double Normalised(const WorkspaceState& workspace) const;
  /// Raises the offsets of backlogged workspaces whose credit exceeds the limit.
  void RaiseOffsets();
  WorkspaceState* LowestWorkspace();
  void IssueGrant(WorkspaceState& workspace, core::TimePoint now, AllocatorOutput& output);
  /// Ends a grant and drops its row if it is no longer used. `charged_cost` (cost units) replaces
  /// the estimate in the tag of the class.
  void EndGrant(std::uint64_t grant, double charged_cost);
  void RefreshRunner(core::RunnerId id, RunnerState& runner);
  std::uint32_t UsableSlots(const RunnerState& runner) const;
  void RefreshAllRunners(core::TimePoint now);
  bool Rebuilding(core::TimePoint now);
  double WeightOf(core::ClassId request_class) const;

  core::ShardIdentity identity;
  ServiceLedger* ledger;
  std::uint64_t next_grant;
  double credit_limit = std::numeric_limits<double>::infinity();
  bool first_in_order = true;
  core::TimePoint rebuild_until;
  std::uint64_t seen_epoch = 0;
  std::uint64_t grant_counter = 0;
  core::TimePoint last_now;
  std::optional<core::TimePoint> next_decision;
  std::set<core::RouterIdentity> expected_routers;
  std::unordered_map<core::ClassId, double> weights;
  std::unordered_map<core::RouterIdentity, std::unique_ptr<EntryRouterState>> routers;
  std::unordered_map<core::WorkspaceId, std::unique_ptr<WorkspaceState>> workspaces;
  /// Workspaces with an eligible row, or for which slots are held back.
  std::set<WorkspaceState*, WorkspaceOrder> order;
  std::unordered_map<std::uint64_t, GrantState> grants;
  std::unordered_map<core::RunnerId, RunnerState> runners;
  /// Pairs of free slots and runner for all runners that can take a grant. The last one has the
  /// most free slots.
  std::set<std::pair<std::uint32_t, core::RunnerId>> free_runners;
  std::vector<Addressed<wire::DemandAck>> acknowledgements;
};

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_LIBRARIES_SCHEDULING_SLOT_ALLOCATOR_H_
