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

/// Queued requests that one demand row reports at most, and grants that one row may have on the way
/// or unconfirmed. A steady backlog then leaves the row unchanged and costs no messages.
inline constexpr std::uint32_t kDemandWindow = 4;
/// Time from the arrival of a grant within which the entry router may start to use it.
inline constexpr core::Duration kGrantValidity = std::chrono::milliseconds(500);
/// A new allocator grants nothing for this long, unless all expected routers have reported before.
inline constexpr core::Duration kRebuildTime = std::chrono::milliseconds(300);
/// Grants that were neither confirmed nor renewed for this long are reclaimed.
inline constexpr core::Duration kReclaimAfter = std::chrono::seconds(2);
/// All grants of a router that was silent for this long are reclaimed.
inline constexpr core::Duration kSilentRouter = std::chrono::seconds(5);
/// A runner that failed a request gets no grant for this long; notices take over from there.
inline constexpr core::Duration kRunnerFailurePause = std::chrono::seconds(1);

/// Free slots wait this long for the workspace that is first in order while all of its rows wait
/// for confirmation. Without it, slots that become free together go to workspaces that enter at
/// many routers, because one that enters at one router has a window of four. Longer than a round
/// trip between failure domains of 1 ms one way.
inline constexpr core::Duration kConfirmationHold = std::chrono::milliseconds(5);

struct RunnerSlots {
  core::RunnerId runner{};
  std::uint32_t slots = 1;
  /// False if the runner is marked leaving, down or drained.
  bool usable = true;
};

struct ClassWeight {
  core::ClassId request_class{};
  /// Greater than zero.
  double weight = 1.0;
};

/// Messages that the allocator wants to have sent.
struct AllocatorOutput {
  std::vector<Addressed<wire::Grant>> grants;
  std::vector<Addressed<wire::DemandAck>> acknowledgements;
};

/// Allocates the slots of one shard to the demand of entry routers.
///
/// Order: the workspace with the lowest normalised service, then the class with the lowest charged
/// service over weight, then the entry router with the fewest outstanding grants. The state is
/// soft: a new allocator rebuilds it from the demand of the entry routers.
class SlotAllocator {
 public:
  /// `grant_base` is random and makes grant identifiers unique in the fleet. The ledger must
  /// outlive the allocator.
  SlotAllocator(core::ShardIdentity shard, ServiceLedger* ledger, std::uint64_t grant_base,
                core::TimePoint now);
  SlotAllocator(const SlotAllocator&) = delete;
  SlotAllocator& operator=(const SlotAllocator&) = delete;

  /// Replaces the runners of the shard. Running grants keep their slots.
  void SetRunners(std::span<const RunnerSlots> runners);
  void SetClassWeights(std::span<const ClassWeight> weights);
  /// C of section 7 of the design, cost units per share; infinite until it is set.
  void SetCreditLimit(double credit_limit) { this->credit_limit = credit_limit; }
  /// Routers whose full demand ends the rebuild early: the live ones of the domain.
  void SetExpectedRouters(std::span<const core::RouterIdentity> routers);
  /// Whether this router is first in its own view of the rendezvous order. If it is not, it grants
  /// at most a quarter of the slots (at least one of each runner).
  void SetFirst(bool first, core::TimePoint now);

  void Receive(const core::RouterIdentity& sender, const wire::Demand& demand, core::TimePoint now);
  void Receive(const core::RouterIdentity& sender, const wire::Release& release,
               core::TimePoint now);
  /// Membership declared the router dead: its demand and grants end at once.
  void RemoveRouter(const core::RouterIdentity& router);
  /// Reclaims grants, raises offsets and ends pauses. To be called about every 100 ms.
  void Tick(core::TimePoint now);
  /// Grants all free slots that eligible demand can use and returns the messages to send.
  AllocatorOutput Decide(core::TimePoint now);
  /// The time at which `Decide` has to be called again if no message arrives before.
  std::optional<core::TimePoint> NextDecision() const { return this->next_decision; }

  const core::ShardIdentity& shard() const { return this->identity; }
  std::uint32_t free_slots() const;
  std::size_t outstanding_grants() const { return this->grants.size(); }
  /// True if no router has demand or grants, so that the allocator may be dropped.
  bool idle() const { return this->grants.empty() && this->workspaces.empty(); }

 private:
  struct WorkspaceState;
  struct ClassState;
  struct RouterState;

  /// Demand of one entry router for one (workspace, class).
  struct Row {
    RouterState* router = nullptr;
    WorkspaceState* workspace = nullptr;
    ClassState* request_class = nullptr;
    std::uint32_t queued = 0;
    std::uint32_t unconfirmed = 0;
    std::uint32_t outstanding = 0;
    double estimated_cost = 0.0;
    /// Sum of estimates of the outstanding grants, and the part that the counters hold already.
    double estimates = 0.0;
    double running_charged = 0.0;
    std::uint64_t last_granted = 0;
    bool eligible = false;
    /// More requests may wait, but the window is used up.
    bool blocked = false;
  };
  struct RowOrder {
    bool operator()(const Row* left, const Row* right) const;
  };
  struct ClassState {
    core::ClassId id{};
    /// Charged service over weight, cost units.
    double tag = 0.0;
    std::size_t backlogged_rows = 0;
    std::set<Row*, RowOrder> eligible;
  };
  struct WorkspaceState {
    core::WorkspaceId id{};
    /// Estimated cost of running grants that no counter holds yet, summed over entry routers.
    double running = 0.0;
    double virtual_time = 0.0;
    /// Position in `order` while `ordered`; at most the present normalised service.
    double key = 0.0;
    bool ordered = false;
    std::size_t backlogged_rows = 0;
    std::size_t blocked_rows = 0;
    std::size_t eligible_rows = 0;
    core::TimePoint hold_until{};
    std::size_t rows = 0;
    std::map<core::ClassId, ClassState> classes;
  };
  struct WorkspaceOrder {
    bool operator()(const WorkspaceState* left, const WorkspaceState* right) const;
  };
  using RowKey = std::pair<core::WorkspaceId, core::ClassId>;
  struct RouterState {
    core::RouterIdentity identity;
    std::uint64_t sequence = 0;
    /// Rows and grants are not all known yet.
    bool incomplete = true;
    core::TimePoint last_heard{};
    std::map<RowKey, Row> rows;
    std::unordered_set<std::uint64_t> grants;
  };
  struct GrantState {
    Row* row = nullptr;
    core::RunnerId runner{};
    double estimated_cost = 0.0;
    /// Time of the grant, then of the last renewal.
    core::TimePoint renewed{};
    bool confirmed = false;
  };
  struct RunnerState {
    std::uint32_t slots = 0;
    std::uint32_t used = 0;
    bool usable = true;
    core::TimePoint paused_until{};
    /// Free slots as entered in `free_runners`; 0 if it is not entered.
    std::uint32_t entered = 0;
  };

  RouterState& Router(const core::RouterIdentity& identity);
  Row& RowOf(RouterState& router, core::WorkspaceId workspace, core::ClassId request_class);
  void ApplyRow(RouterState& router, const wire::DemandRow& message);
  void ApplyHeld(RouterState& router, const wire::HeldGrant& held, core::TimePoint now);
  void ApplyAbsence(RouterState& router, const wire::Demand& demand);
  void SetQueued(Row& row, std::uint32_t queued);
  void RefreshRow(Row& row);
  /// Takes the row out of its class's order before its position changes.
  void Withdraw(Row& row);
  void RefreshOrder(WorkspaceState& workspace);
  void DropIfUnused(RouterState& router, Row& row);
  void ChangeRunning(Row& row, double estimates, double running_charged);
  double UnchargedOf(const RouterState& router, core::WorkspaceId workspace) const;
  double Normalised(const WorkspaceState& workspace) const;
  void RaiseOffsets();
  WorkspaceState* LowestWorkspace();
  void Issue(WorkspaceState& workspace, core::TimePoint now, AllocatorOutput& output);
  /// Ends a grant and drops its row if that became unused. `charged_cost` corrects the class order.
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
  bool first = true;
  core::TimePoint rebuild_until;
  std::uint64_t seen_epoch = 0;
  std::uint64_t grant_counter = 0;
  core::TimePoint last_now;
  std::optional<core::TimePoint> next_decision;
  std::set<core::RouterIdentity> expected;
  std::unordered_map<core::ClassId, double> weights;
  std::unordered_map<core::RouterIdentity, std::unique_ptr<RouterState>> routers;
  std::unordered_map<core::WorkspaceId, std::unique_ptr<WorkspaceState>> workspaces;
  /// Workspaces with an eligible row, or held for confirmation.
  std::set<WorkspaceState*, WorkspaceOrder> order;
  std::unordered_map<std::uint64_t, GrantState> grants;
  std::unordered_map<core::RunnerId, RunnerState> runners;
  /// (free slots, runner) of runners that can take a grant; the last one has the most free slots.
  std::set<std::pair<std::uint32_t, core::RunnerId>> free_runners;
  std::vector<Addressed<wire::DemandAck>> acknowledgements;
};

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_LIBRARIES_SCHEDULING_SLOT_ALLOCATOR_H_
