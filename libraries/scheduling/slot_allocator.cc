#include "libraries/scheduling/slot_allocator.h"

#include <algorithm>
#include <utility>

namespace pomelospar::scheduling {

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
    runner.listed_slots = 0;
  }
  // A runner that left is kept until its outstanding grants have ended.
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
  this->expected_routers = std::set<core::RouterIdentity>(routers.begin(), routers.end());
}

void SlotAllocator::SetFirstInOrder(bool first, core::TimePoint now) {
  if (first == this->first_in_order) {
    return;
  }
  this->first_in_order = first;
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
    const bool unknown = held.renew() && !this->grants.contains(held.grant());
    router.incomplete = router.incomplete || unknown;
    if (!unknown) {
      this->ApplyHeldGrant(router, held, now);
    }
  }
  for (const auto& row : demand.rows()) {
    this->ApplyRow(router, row);
  }
  if (demand.full()) {
    router.incomplete = false;
    this->RemoveAbsentEntries(router, demand);
  }
  if (!demand.full() && !demand.answer()) {
    return;
  }
  wire::DemandAck acknowledgement;
  acknowledgement.mutable_shard()->set_upstream(core::Raw(this->identity.upstream));
  acknowledgement.mutable_shard()->set_domain(core::Raw(this->identity.domain));
  acknowledgement.mutable_shard()->set_index(this->identity.index);
  acknowledgement.set_sequence(demand.sequence());
  acknowledgement.set_full_wanted(router.incomplete);
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
    if (now - router->last_heard >= kRouterSilenceLimit) {
      silent.push_back(identity);
      continue;
    }
    for (const auto id : router->grants) {
      const auto& grant = this->grants.at(id);
      // A confirmed grant of a router that has sent nothing since is reclaimed only after
      // `kRouterSilenceLimit`, because the request probably still runs.
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

SlotAllocator::EntryRouterState& SlotAllocator::Router(const core::RouterIdentity& identity) {
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
  entry = std::make_unique<EntryRouterState>();
  entry->identity = identity;
  return *entry;
}

SlotAllocator::Row& SlotAllocator::RowOf(EntryRouterState& router, core::WorkspaceId workspace,
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

void SlotAllocator::ApplyRow(EntryRouterState& router, const wire::DemandRow& message) {
  auto& row = this->RowOf(router, core::WorkspaceId{message.workspace()},
                          core::ClassId{message.request_class()});
  row.estimated_cost = std::max(0.0, message.estimated_cost());
  this->ChangeRunning(row, row.estimates, std::max(0.0, message.running_charged()));
  this->SetQueued(row, std::min(message.queued(), kDemandWindow));
  this->DropIfUnused(router, row);
}

void SlotAllocator::ApplyHeldGrant(EntryRouterState& router, const wire::HeldGrant& held,
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
  // The grant was issued by a former allocator of this shard.
  auto& row =
      this->RowOf(router, core::WorkspaceId{held.workspace()}, core::ClassId{held.request_class()});
  const core::RunnerId runner_id{held.runner()};
  this->grants.emplace(held.grant(), GrantState{&row, runner_id, held.estimated_cost(), now, true});
  router.grants.insert(held.grant());
  auto& runner = this->runners[runner_id];
  ++runner.used;
  this->RefreshRunner(runner_id, runner);
  this->RemoveFromClassOrder(row);
  ++row.outstanding;
  this->ChangeRunning(row, row.estimates + held.estimated_cost(), row.running_charged);
  this->RefreshRow(row);
}

void SlotAllocator::RemoveAbsentEntries(EntryRouterState& router, const wire::Demand& demand) {
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
      // The class gets no credit for the time during which it had no demand.
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

void SlotAllocator::DropIfUnused(EntryRouterState& router, Row& row) {
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
  this->RemoveFromClassOrder(row);
  row.request_class->tag +=
      (charged_cost - grant.estimated_cost) / this->WeightOf(row.request_class->id);
  --row.outstanding;
  row.unconfirmed -= grant.confirmed ? 0 : 1;
  // Routers do not report which part of `running_charged` belongs to the ended request. Until the
  // next demand corrects it, each request is assumed to have an equal part.
  const double remaining = row.outstanding / (row.outstanding + 1.0);
  const double estimates = row.outstanding == 0 ? 0.0 : row.estimates - grant.estimated_cost;
  this->ChangeRunning(row, estimates, row.running_charged * remaining);
  this->RefreshRow(row);
  this->DropIfUnused(router, row);
}

}  // namespace pomelospar::scheduling
