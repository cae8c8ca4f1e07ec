#include "libraries/scheduling/slot_allocator.h"

#include <algorithm>
#include <cassert>

namespace pomelospar::scheduling {

bool SlotAllocator::RowOrder::operator()(const Row* left, const Row* right) const {
  return std::tie(left->outstanding, left->last_granted, left->router->identity) <
         std::tie(right->outstanding, right->last_granted, right->router->identity);
}

bool SlotAllocator::WorkspaceOrder::operator()(const WorkspaceState* left,
                                               const WorkspaceState* right) const {
  return std::tie(left->key, left->id) < std::tie(right->key, right->id);
}

SlotAllocator::SlotAllocator(core::ShardIdentity shard, ServiceLedger* ledger,
                             std::uint64_t grant_base, core::TimePoint now)
    : identity(shard),
      ledger(ledger),
      next_grant(grant_base),
      rebuild_until(now + kRebuildTime),
      seen_epoch(ledger->epoch()),
      last_now(now) {}

void SlotAllocator::SetRunners(std::span<const RunnerSlots> runners) {
  std::unordered_map<core::RunnerId, RunnerState> next;
  for (const auto& entry : runners) {
    auto& runner = next[entry.runner];
    const auto known = this->runners.find(entry.runner);
    if (known != this->runners.end()) {
      runner = known->second;
    }
    runner.slots = entry.slots;
    runner.usable = entry.usable;
    runner.entered = 0;
  }
  // A runner that left keeps its count of running grants until they end.
  for (const auto& [id, runner] : this->runners) {
    if (!next.contains(id) && runner.used > 0) {
      next[id] = RunnerState{.used = runner.used, .usable = false};
    }
  }
  this->runners = std::move(next);
  this->free_runners.clear();
  this->RefreshAllRunners(this->last_now);
}

void SlotAllocator::SetClassWeights(std::span<const ClassWeight> weights) {
  this->weights.clear();
  for (const auto& entry : weights) {
    this->weights[entry.request_class] = entry.weight;
  }
}

void SlotAllocator::SetExpectedRouters(std::span<const core::RouterIdentity> routers) {
  this->expected = std::set<core::RouterIdentity>(routers.begin(), routers.end());
}

void SlotAllocator::SetFirst(bool first, core::TimePoint now) {
  if (first == this->first) {
    return;
  }
  this->first = first;
  if (first) {
    this->rebuild_until = now + kRebuildTime;
  }
  this->RefreshAllRunners(now);
}

void SlotAllocator::Receive(const core::RouterIdentity& sender, const wire::Demand& demand,
                            core::TimePoint now) {
  auto& router = this->Router(sender);
  router.last_heard = now;
  this->last_now = now;
  if (demand.sequence() <= router.sequence) {
    return;
  }
  router.sequence = demand.sequence();
  for (const auto& held : demand.held()) {
    this->ApplyHeld(router, held, now);
  }
  for (const auto& row : demand.rows()) {
    this->ApplyRow(router, row);
  }
  if (!demand.full()) {
    return;
  }
  this->ApplyAbsence(router, demand);
  wire::DemandAck acknowledgement;
  acknowledgement.mutable_shard()->set_upstream(core::Raw(this->identity.upstream));
  acknowledgement.mutable_shard()->set_domain(core::Raw(this->identity.domain));
  acknowledgement.mutable_shard()->set_index(this->identity.index);
  acknowledgement.set_sequence(demand.sequence());
  this->acknowledgements.push_back({sender, std::move(acknowledgement)});
}

void SlotAllocator::Receive(const core::RouterIdentity& sender, const wire::Release& release,
                            core::TimePoint now) {
  this->last_now = now;
  this->ledger->MergeCounter(sender.incarnation, core::WorkspaceId{release.workspace()},
                             release.service_counter(), now);
  const auto found = this->grants.find(release.grant());
  if (found == this->grants.end() || found->second.row->router->identity != sender) {
    return;
  }
  found->second.row->router->last_heard = now;
  if (release.reason() == wire::RELEASE_RUNNER_FAILED) {
    const auto runner = this->runners.find(found->second.runner);
    if (runner != this->runners.end()) {
      runner->second.paused_until = now + kRunnerFailurePause;
    }
  }
  this->EndGrant(release.grant(), release.actual_cost());
}

void SlotAllocator::RemoveRouter(const core::RouterIdentity& router) {
  const auto found = this->routers.find(router);
  if (found == this->routers.end()) {
    return;
  }
  auto& state = *found->second;
  while (!state.grants.empty()) {
    const auto grant = *state.grants.begin();
    this->EndGrant(grant, this->grants.at(grant).estimated_cost);
  }
  while (!state.rows.empty()) {
    auto& row = state.rows.begin()->second;
    this->ChangeRunning(row, 0.0, 0.0);
    this->SetQueued(row, 0);
    this->DropIfUnused(state, row);
  }
  this->routers.erase(found);
}

void SlotAllocator::Tick(core::TimePoint now) {
  this->last_now = now;
  std::vector<core::RouterIdentity> silent;
  std::vector<std::uint64_t> reclaimed;
  for (const auto& [identity, router] : this->routers) {
    if (now - router->last_heard >= kSilentRouter) {
      silent.push_back(identity);
      continue;
    }
    for (const auto id : router->grants) {
      const auto& grant = this->grants.at(id);
      // A confirmed grant of a router that sent nothing since is left to the longer limit, because
      // the request probably still runs.
      const auto reference = grant.confirmed ? router->last_heard : now;
      if (reference - grant.renewed >= kReclaimAfter) {
        reclaimed.push_back(id);
      }
    }
  }
  for (const auto id : reclaimed) {
    this->EndGrant(id, this->grants.at(id).estimated_cost);
  }
  for (const auto& identity : silent) {
    this->RemoveRouter(identity);
  }
  this->RefreshAllRunners(now);
  this->RaiseOffsets();
}

AllocatorOutput SlotAllocator::Decide(core::TimePoint now) {
  this->last_now = now;
  this->next_decision.reset();
  AllocatorOutput output;
  if (this->Rebuilding(now)) {
    this->next_decision = this->rebuild_until;
  } else {
    while (!this->free_runners.empty()) {
      auto* workspace = this->LowestWorkspace();
      if (workspace == nullptr) {
        break;
      }
      if (workspace->eligible_rows == 0) {
        this->next_decision = workspace->hold_until;
        break;
      }
      this->Issue(*workspace, now, output);
    }
  }
  if (!this->acknowledgements.empty()) {
    const auto idle = this->free_slots();
    for (auto& acknowledgement : this->acknowledgements) {
      acknowledgement.message.set_idle_slots(idle);
    }
    output.acknowledgements = std::move(this->acknowledgements);
    this->acknowledgements.clear();
  }
  return output;
}

std::uint32_t SlotAllocator::free_slots() const {
  std::uint32_t total = 0;
  for (const auto& entry : this->free_runners) {
    total += entry.first;
  }
  return total;
}

SlotAllocator::RouterState& SlotAllocator::Router(const core::RouterIdentity& identity) {
  const auto known = this->routers.find(identity);
  if (known != this->routers.end()) {
    return *known->second;
  }
  // A new incarnation at the same address means that the earlier one has ended.
  std::vector<core::RouterIdentity> ended;
  for (const auto& [other, state] : this->routers) {
    if (other.address == identity.address) {
      ended.push_back(other);
    }
  }
  for (const auto& other : ended) {
    this->RemoveRouter(other);
  }
  auto& entry = this->routers[identity];
  entry = std::make_unique<RouterState>();
  entry->identity = identity;
  return *entry;
}

SlotAllocator::Row& SlotAllocator::RowOf(RouterState& router, core::WorkspaceId workspace,
                                         core::ClassId request_class) {
  auto& row = router.rows[{workspace, request_class}];
  if (row.router == nullptr) {
    auto& entry = this->workspaces[workspace];
    if (entry == nullptr) {
      entry = std::make_unique<WorkspaceState>();
      entry->id = workspace;
    }
    row.router = &router;
    row.workspace = entry.get();
    row.request_class = &entry->classes[request_class];
    row.request_class->id = request_class;
    ++entry->rows;
  }
  return row;
}

void SlotAllocator::ApplyRow(RouterState& router, const wire::DemandRow& message) {
  auto& row = this->RowOf(router, core::WorkspaceId{message.workspace()},
                          core::ClassId{message.request_class()});
  row.estimated_cost = std::max(0.0, message.estimated_cost());
  this->ChangeRunning(row, row.estimates, std::max(0.0, message.running_charged()));
  this->SetQueued(row, std::min(message.queued(), kDemandWindow));
  this->DropIfUnused(router, row);
}

void SlotAllocator::ApplyHeld(RouterState& router, const wire::HeldGrant& held,
                              core::TimePoint now) {
  const auto found = this->grants.find(held.grant());
  if (found != this->grants.end()) {
    auto& grant = found->second;
    if (grant.row->router != &router) {
      return;
    }
    grant.renewed = now;
    if (!grant.confirmed) {
      grant.confirmed = true;
      --grant.row->unconfirmed;
      this->RefreshRow(*grant.row);
    }
    return;
  }
  // A grant of another allocator of this shard, which served it before.
  auto& row =
      this->RowOf(router, core::WorkspaceId{held.workspace()}, core::ClassId{held.request_class()});
  const core::RunnerId runner_id{held.runner()};
  this->grants.emplace(held.grant(), GrantState{&row, runner_id, held.estimated_cost(), now, true});
  router.grants.insert(held.grant());
  auto& runner = this->runners[runner_id];
  ++runner.used;
  this->RefreshRunner(runner_id, runner);
  this->Withdraw(row);
  ++row.outstanding;
  this->ChangeRunning(row, row.estimates + held.estimated_cost(), row.running_charged);
  this->RefreshRow(row);
}

void SlotAllocator::ApplyAbsence(RouterState& router, const wire::Demand& demand) {
  std::set<RowKey> present;
  for (const auto& row : demand.rows()) {
    present.emplace(core::WorkspaceId{row.workspace()}, core::ClassId{row.request_class()});
  }
  std::unordered_set<std::uint64_t> held;
  for (const auto& grant : demand.held()) {
    held.insert(grant.grant());
  }
  std::vector<std::uint64_t> ended;
  for (const auto id : router.grants) {
    if (this->grants.at(id).confirmed && !held.contains(id)) {
      ended.push_back(id);
    }
  }
  for (const auto id : ended) {
    this->EndGrant(id, this->grants.at(id).estimated_cost);
  }
  for (auto entry = router.rows.begin(); entry != router.rows.end();) {
    auto& [key, row] = *entry++;
    if (!present.contains(key)) {
      this->ChangeRunning(row, row.estimates, 0.0);
      this->SetQueued(row, 0);
      this->DropIfUnused(router, row);
    }
  }
}

void SlotAllocator::SetQueued(Row& row, std::uint32_t queued) {
  auto& workspace = *row.workspace;
  auto& request_class = *row.request_class;
  const bool was_backlogged = row.queued > 0;
  const bool is_backlogged = queued > 0;
  row.queued = queued;
  bool workspace_returned = false;
  if (is_backlogged && !was_backlogged) {
    if (request_class.backlogged_rows++ == 0) {
      // No credit for the time in which the class had no demand.
      request_class.tag = std::max(request_class.tag, workspace.virtual_time);
    }
    workspace_returned = workspace.backlogged_rows++ == 0;
  }
  if (!is_backlogged && was_backlogged) {
    --request_class.backlogged_rows;
    --workspace.backlogged_rows;
  }
  if (workspace_returned) {
    this->RaiseOffsets();
  }
  this->RefreshRow(row);
}

void SlotAllocator::RefreshRow(Row& row) {
  const bool eligible = row.queued > row.unconfirmed && row.unconfirmed < kDemandWindow;
  if (!eligible) {
    this->Withdraw(row);
  } else if (!row.eligible) {
    row.eligible = true;
    row.request_class->eligible.insert(&row);
    ++row.workspace->eligible_rows;
  }
  const bool blocked = row.queued >= kDemandWindow && !eligible;
  if (blocked != row.blocked) {
    row.blocked = blocked;
    row.workspace->blocked_rows += blocked ? 1 : -1;
  }
  this->RefreshOrder(*row.workspace);
}

void SlotAllocator::Withdraw(Row& row) {
  if (row.eligible) {
    row.request_class->eligible.erase(&row);
    row.eligible = false;
    --row.workspace->eligible_rows;
  }
}

void SlotAllocator::RefreshOrder(WorkspaceState& workspace) {
  const bool held = workspace.blocked_rows > 0 && workspace.hold_until > this->last_now;
  const bool ordered = workspace.eligible_rows > 0 || held;
  const double key = ordered ? this->Normalised(workspace) : 0.0;
  if (workspace.ordered && ordered && key == workspace.key) {
    return;
  }
  if (workspace.ordered) {
    this->order.erase(&workspace);
  }
  workspace.ordered = ordered;
  workspace.key = key;
  if (ordered) {
    this->order.insert(&workspace);
  }
}

void SlotAllocator::DropIfUnused(RouterState& router, Row& row) {
  if (row.queued > 0 || row.outstanding > 0) {
    return;
  }
  this->ChangeRunning(row, 0.0, 0.0);
  auto& workspace = *row.workspace;
  const RowKey key{workspace.id, row.request_class->id};
  if (--workspace.rows == 0) {
    this->workspaces.erase(key.first);
  }
  router.rows.erase(key);
}

void SlotAllocator::ChangeRunning(Row& row, double estimates, double running_charged) {
  auto& workspace = *row.workspace;
  const double before = this->UnchargedOf(*row.router, workspace.id);
  row.estimates = estimates;
  row.running_charged = running_charged;
  workspace.running += this->UnchargedOf(*row.router, workspace.id) - before;
}

double SlotAllocator::UnchargedOf(const RouterState& router, core::WorkspaceId workspace) const {
  double estimates = 0.0;
  double charged = 0.0;
  for (auto entry = router.rows.lower_bound({workspace, core::ClassId{0}});
       entry != router.rows.end() && entry->first.first == workspace; ++entry) {
    estimates += entry->second.estimates;
    charged += entry->second.running_charged;
  }
  return std::max(0.0, estimates - charged);
}

double SlotAllocator::Normalised(const WorkspaceState& workspace) const {
  return this->ledger->NormalisedService(workspace.id) +
         workspace.running / this->ledger->Share(workspace.id);
}

void SlotAllocator::RaiseOffsets() {
  double highest = -std::numeric_limits<double>::infinity();
  for (const auto& [id, workspace] : this->workspaces) {
    if (workspace->backlogged_rows > 0) {
      highest = std::max(highest, this->Normalised(*workspace));
    }
  }
  const double floor = highest - this->credit_limit;
  for (const auto& [id, workspace] : this->workspaces) {
    if (workspace->backlogged_rows == 0) {
      continue;
    }
    const double normalised = this->Normalised(*workspace);
    if (normalised < floor) {
      this->ledger->RaiseOffset(id, this->ledger->Offset(id) + floor - normalised);
    }
  }
}

SlotAllocator::WorkspaceState* SlotAllocator::LowestWorkspace() {
  if (this->seen_epoch != this->ledger->epoch()) {
    this->seen_epoch = this->ledger->epoch();
    for (const auto& [id, workspace] : this->workspaces) {
      this->RefreshOrder(*workspace);
    }
  }
  // Service in the ledger only grows within an epoch, so a stale key is too low: a workspace whose
  // refreshed key still comes first is the lowest of all.
  while (!this->order.empty()) {
    auto* workspace = *this->order.begin();
    const bool hold_ended =
        workspace->eligible_rows == 0 && workspace->hold_until <= this->last_now;
    if (!hold_ended && this->Normalised(*workspace) <= workspace->key) {
      return workspace;
    }
    this->RefreshOrder(*workspace);
  }
  return nullptr;
}

void SlotAllocator::Issue(WorkspaceState& workspace, core::TimePoint now, AllocatorOutput& output) {
  ClassState* lowest = nullptr;
  for (auto& [id, request_class] : workspace.classes) {
    if (!request_class.eligible.empty() && (lowest == nullptr || request_class.tag < lowest->tag)) {
      lowest = &request_class;
    }
  }
  assert(lowest != nullptr);
  auto& row = **lowest->eligible.begin();
  const auto runner_id = this->free_runners.rbegin()->second;
  auto& runner = this->runners.at(runner_id);
  const auto grant_id = this->next_grant++;

  workspace.virtual_time = std::max(workspace.virtual_time, lowest->tag);
  lowest->tag += row.estimated_cost / this->WeightOf(lowest->id);
  this->Withdraw(row);
  row.last_granted = ++this->grant_counter;
  ++row.outstanding;
  ++row.unconfirmed;
  workspace.hold_until = now + kConfirmationHold;
  this->grants.emplace(grant_id, GrantState{&row, runner_id, row.estimated_cost, now, false});
  row.router->grants.insert(grant_id);
  ++runner.used;
  this->RefreshRunner(runner_id, runner);
  this->ChangeRunning(row, row.estimates + row.estimated_cost, row.running_charged);
  this->RefreshRow(row);

  auto& addressed = output.grants.emplace_back();
  addressed.receiver = row.router->identity;
  auto& grant = addressed.message;
  grant.mutable_shard()->set_upstream(core::Raw(this->identity.upstream));
  grant.mutable_shard()->set_domain(core::Raw(this->identity.domain));
  grant.mutable_shard()->set_index(this->identity.index);
  grant.set_grant(grant_id);
  grant.set_workspace(core::Raw(workspace.id));
  grant.set_request_class(core::Raw(lowest->id));
  grant.set_runner(core::Raw(runner_id));
  grant.set_valid_milliseconds(static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(kGrantValidity).count()));
  grant.set_estimated_cost(row.estimated_cost);
}

void SlotAllocator::EndGrant(std::uint64_t grant_id, double charged_cost) {
  const auto found = this->grants.find(grant_id);
  const auto grant = found->second;
  auto& row = *grant.row;
  auto& router = *row.router;
  this->grants.erase(found);
  router.grants.erase(grant_id);
  const auto runner = this->runners.find(grant.runner);
  if (runner != this->runners.end()) {
    --runner->second.used;
    this->RefreshRunner(grant.runner, runner->second);
  }
  this->Withdraw(row);
  row.request_class->tag +=
      (charged_cost - grant.estimated_cost) / this->WeightOf(row.request_class->id);
  --row.outstanding;
  row.unconfirmed -= grant.confirmed ? 0 : 1;
  // Which part of `running_charged` belongs to the ended request is not reported; an equal part for
  // each request is taken until the next demand corrects it.
  const double remaining = row.outstanding / (row.outstanding + 1.0);
  const double estimates = row.outstanding == 0 ? 0.0 : row.estimates - grant.estimated_cost;
  this->ChangeRunning(row, estimates, row.running_charged * remaining);
  this->RefreshRow(row);
  this->DropIfUnused(router, row);
}

void SlotAllocator::RefreshRunner(core::RunnerId id, RunnerState& runner) {
  const bool grantable = runner.usable && runner.paused_until <= this->last_now;
  const auto slots = this->UsableSlots(runner);
  const auto free = grantable && slots > runner.used ? slots - runner.used : 0;
  if (free == runner.entered) {
    return;
  }
  if (runner.entered > 0) {
    this->free_runners.erase({runner.entered, id});
  }
  runner.entered = free;
  if (free > 0) {
    this->free_runners.insert({free, id});
  }
}

std::uint32_t SlotAllocator::UsableSlots(const RunnerState& runner) const {
  if (this->first || runner.slots == 0) {
    return runner.slots;
  }
  return std::max<std::uint32_t>(1, runner.slots / 4);
}

void SlotAllocator::RefreshAllRunners(core::TimePoint now) {
  this->last_now = now;
  for (auto& [id, runner] : this->runners) {
    this->RefreshRunner(id, runner);
  }
}

bool SlotAllocator::Rebuilding(core::TimePoint now) {
  if (now >= this->rebuild_until) {
    return false;
  }
  const bool all_reported =
      !this->expected.empty() && std::ranges::all_of(this->expected, [this](const auto& router) {
        return this->routers.contains(router);
      });
  if (all_reported) {
    this->rebuild_until = now;
  }
  return !all_reported;
}

double SlotAllocator::WeightOf(core::ClassId request_class) const {
  const auto found = this->weights.find(request_class);
  return found == this->weights.end() ? 1.0 : found->second;
}

}  // namespace pomelospar::scheduling
