// The part of `SlotAllocator` that decides the order of grants: workspaces, classes, entry routers
// and runners.

#include <algorithm>
#include <cassert>
#include <chrono>

#include "libraries/scheduling/slot_allocator.h"

namespace pomelospar::scheduling {

bool SlotAllocator::RowOrder::operator()(const Row* left, const Row* right) const {
  return std::tie(left->outstanding, left->last_granted, left->router->identity) <
         std::tie(right->outstanding, right->last_granted, right->router->identity);
}

bool SlotAllocator::WorkspaceOrder::operator()(const WorkspaceState* left,
                                               const WorkspaceState* right) const {
  return std::tie(left->key, left->id) < std::tie(right->key, right->id);
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
      this->IssueGrant(*workspace, now, output);
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

void SlotAllocator::RefreshRow(Row& row) {
  const bool eligible = row.queued > row.unconfirmed && row.unconfirmed < kDemandWindow;
  if (!eligible) {
    this->RemoveFromClassOrder(row);
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

void SlotAllocator::RemoveFromClassOrder(Row& row) {
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

double SlotAllocator::UnchargedOf(const EntryRouterState& router,
                                  core::WorkspaceId workspace) const {
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
  // Within an epoch of the ledger service only grows, so an outdated key is too low. A workspace
  // that is still first with an up-to-date key is therefore the lowest of all.
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

void SlotAllocator::IssueGrant(WorkspaceState& workspace, core::TimePoint now,
                               AllocatorOutput& output) {
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
  this->RemoveFromClassOrder(row);
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

void SlotAllocator::RefreshRunner(core::RunnerId id, RunnerState& runner) {
  const bool grantable = runner.usable && runner.paused_until <= this->last_now;
  const auto slots = this->UsableSlots(runner);
  const auto free = grantable && slots > runner.used ? slots - runner.used : 0;
  if (free == runner.listed_slots) {
    return;
  }
  if (runner.listed_slots > 0) {
    this->free_runners.erase({runner.listed_slots, id});
  }
  runner.listed_slots = free;
  if (free > 0) {
    this->free_runners.insert({free, id});
  }
}

std::uint32_t SlotAllocator::UsableSlots(const RunnerState& runner) const {
  if (this->first_in_order || runner.slots == 0) {
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
  const bool all_reported = !this->expected_routers.empty() &&
                            std::ranges::all_of(this->expected_routers, [this](const auto& router) {
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
