#include "tests/libraries/scheduling/naive_allocator.h"

#include <algorithm>
#include <limits>
#include <set>

namespace pomelospar::scheduling {
namespace {

constexpr double kRounding = 1e-6;

}  // namespace

NaiveAllocator::Row& NaiveAllocator::RowOf(std::size_t router, std::uint64_t workspace,
                                           std::uint64_t request_class) {
  for (auto& row : this->rows) {
    if (row.router == router && row.workspace == workspace && row.request_class == request_class) {
      return row;
    }
  }
  this->tags.try_emplace({workspace, request_class}, 0.0);
  this->rows.push_back({.router = router, .workspace = workspace, .request_class = request_class});
  return this->rows.back();
}

void NaiveAllocator::SetQueued(Row& row, std::uint32_t queued) {
  bool class_backlogged = false;
  bool workspace_backlogged = false;
  for (const auto& other : this->rows) {
    const bool same = other.workspace == row.workspace && other.queued > 0;
    workspace_backlogged = workspace_backlogged || same;
    class_backlogged = class_backlogged || (same && other.request_class == row.request_class);
  }
  row.queued = queued;
  if (queued > 0 && !class_backlogged) {
    auto& tag = this->tags[{row.workspace, row.request_class}];
    tag = std::max(tag, this->virtual_times[row.workspace]);
  }
  if (queued > 0 && !workspace_backlogged) {
    this->RaiseOffsets();
  }
}

void NaiveAllocator::DropUnused() {
  std::erase_if(this->rows,
                [](const auto& row) { return row.queued == 0 && row.outstanding == 0; });
  const auto unused = [this](std::uint64_t workspace) {
    return std::ranges::none_of(
        this->rows, [workspace](const auto& row) { return row.workspace == workspace; });
  };
  std::erase_if(this->tags, [&](const auto& entry) { return unused(entry.first.first); });
  std::erase_if(this->virtual_times, [&](const auto& entry) { return unused(entry.first); });
  std::erase_if(this->hold_until, [&](const auto& entry) { return unused(entry.first); });
}

void NaiveAllocator::Receive(std::size_t router, const wire::Demand& demand, core::TimePoint now) {
  this->last_heard[router] = now;
  for (const auto& held : demand.held()) {
    for (auto& grant : this->grants) {
      if (grant.id != held.grant()) {
        continue;
      }
      auto& row = this->RowOf(router, grant.workspace, grant.request_class);
      row.unconfirmed -= grant.confirmed ? 0 : 1;
      grant.confirmed = true;
      grant.renewed = now;
    }
  }
  std::set<std::pair<std::uint64_t, std::uint64_t>> present;
  for (const auto& message : demand.rows()) {
    auto& row = this->RowOf(router, message.workspace(), message.request_class());
    row.estimated_cost = message.estimated_cost();
    row.charged = message.running_charged();
    this->SetQueued(row, std::min(message.queued(), 4U));
    this->DropUnused();
    present.emplace(message.workspace(), message.request_class());
  }
  if (!demand.full()) {
    return;
  }
  const auto copy = this->grants;
  for (const auto& grant : copy) {
    const bool held = std::ranges::any_of(
        demand.held(), [&grant](const auto& entry) { return entry.grant() == grant.id; });
    if (grant.router == router && grant.confirmed && !held) {
      this->EndGrant(grant.id, grant.estimated_cost);
    }
  }
  for (auto& row : this->rows) {
    if (row.router == router && !present.contains({row.workspace, row.request_class})) {
      row.charged = 0.0;
      this->SetQueued(row, 0);
    }
  }
  this->DropUnused();
}

void NaiveAllocator::EndGrant(std::uint64_t id, double charged) {
  const auto found =
      std::ranges::find_if(this->grants, [id](const auto& entry) { return entry.id == id; });
  const auto grant = *found;
  this->grants.erase(found);
  for (auto& runner : this->runners) {
    runner.used -= runner.id == grant.runner ? 1 : 0;
  }
  auto& row = this->RowOf(grant.router, grant.workspace, grant.request_class);
  this->tags[{grant.workspace, grant.request_class}] +=
      (charged - grant.estimated_cost) / this->weights.at(grant.request_class);
  --row.outstanding;
  row.unconfirmed -= grant.confirmed ? 0 : 1;
  row.charged *= row.outstanding / (row.outstanding + 1.0);
  row.estimates = row.outstanding == 0 ? 0.0 : row.estimates - grant.estimated_cost;
  this->DropUnused();
}

void NaiveAllocator::RemoveRouter(std::size_t router) {
  const auto copy = this->grants;
  for (const auto& grant : copy) {
    if (grant.router == router) {
      this->EndGrant(grant.id, grant.estimated_cost);
    }
  }
  std::erase_if(this->rows, [router](const auto& row) { return row.router == router; });
  this->last_heard.erase(router);
  this->DropUnused();
}

void NaiveAllocator::Tick(core::TimePoint now) {
  const auto copy = this->grants;
  for (const auto& grant : copy) {
    const auto heard = this->last_heard.at(grant.router);
    const auto reference = grant.confirmed ? heard : now;
    if (now - heard < std::chrono::seconds(5) &&
        reference - grant.renewed >= std::chrono::seconds(2)) {
      this->EndGrant(grant.id, grant.estimated_cost);
    }
  }
  const auto heard = this->last_heard;
  for (const auto& [router, time] : heard) {
    if (now - time >= std::chrono::seconds(5)) {
      this->RemoveRouter(router);
    }
  }
  this->RaiseOffsets();
}

double NaiveAllocator::Normalised(std::uint64_t workspace) const {
  std::map<std::size_t, double> running;
  for (const auto& row : this->rows) {
    running[row.router] += row.workspace == workspace ? row.estimates - row.charged : 0.0;
  }
  double sum = 0.0;
  for (const auto& [router, uncharged] : running) {
    sum += std::max(0.0, uncharged);
  }
  const core::WorkspaceId id{workspace};
  return this->ledger.NormalisedService(id) + sum / this->ledger.Share(id);
}

void NaiveAllocator::RaiseOffsets() {
  double highest = -std::numeric_limits<double>::infinity();
  for (const auto& row : this->rows) {
    highest = row.queued > 0 ? std::max(highest, this->Normalised(row.workspace)) : highest;
  }
  for (const auto& row : this->rows) {
    const double missing = highest - this->credit_limit - this->Normalised(row.workspace);
    if (row.queued > 0 && missing > 0) {
      const core::WorkspaceId id{row.workspace};
      this->ledger.RaiseOffset(id, this->ledger.Offset(id) + missing);
    }
  }
}

std::vector<std::uint64_t> NaiveAllocator::ContendingWorkspaces(core::TimePoint now) const {
  std::set<std::uint64_t> found;
  for (const auto& row : this->rows) {
    const auto hold = this->hold_until.find(row.workspace);
    const bool held = row.blocked() && hold != this->hold_until.end() && hold->second > now;
    if (row.eligible() || held) {
      found.insert(row.workspace);
    }
  }
  return {found.begin(), found.end()};
}

std::string NaiveAllocator::CheckGrant(std::size_t router, const wire::Grant& grant,
                                       core::TimePoint now) {
  for (const auto workspace : this->ContendingWorkspaces(now)) {
    if (this->Normalised(workspace) < this->Normalised(grant.workspace()) - kRounding) {
      return "another workspace has received less service";
    }
  }
  auto& row = this->RowOf(router, grant.workspace(), grant.request_class());
  const double tag = this->tags.at({row.workspace, row.request_class});
  if (!row.eligible()) {
    return "the row has no demand left";
  }
  for (const auto& other : this->rows) {
    if (other.workspace != row.workspace || !other.eligible()) {
      continue;
    }
    if (this->tags.at({other.workspace, other.request_class}) < tag - kRounding) {
      return "another class has received less service";
    }
    if (other.request_class == row.request_class &&
        std::tie(other.outstanding, other.last_granted) <
            std::tie(row.outstanding, row.last_granted)) {
      return "another router has fewer grants or waits longer";
    }
  }
  const auto runner = std::ranges::find_if(
      this->runners, [&grant](const auto& entry) { return entry.id == grant.runner(); });
  for (const auto& other : this->runners) {
    if (runner == this->runners.end() || runner->free(now) == 0 ||
        other.free(now) > runner->free(now)) {
      return "another runner has more free slots";
    }
  }
  auto& virtual_time = this->virtual_times[row.workspace];
  virtual_time = std::max(virtual_time, tag);
  this->tags[{row.workspace, row.request_class}] +=
      row.estimated_cost / this->weights.at(row.request_class);
  this->hold_until[row.workspace] = now + std::chrono::milliseconds(5);
  row.last_granted = ++this->grant_counter;
  ++row.outstanding;
  ++row.unconfirmed;
  row.estimates += row.estimated_cost;
  ++runner->used;
  this->grants.push_back({grant.grant(), router, row.workspace, row.request_class, runner->id,
                          row.estimated_cost, now, false});
  return "";
}

std::string NaiveAllocator::CheckStop(core::TimePoint now) const {
  const auto contending = this->ContendingWorkspaces(now);
  const bool free = std::ranges::any_of(this->runners,
                                        [now](const auto& runner) { return runner.free(now) > 0; });
  if (!free || contending.empty()) {
    return "";
  }
  double lowest = std::numeric_limits<double>::infinity();
  for (const auto workspace : contending) {
    lowest = std::min(lowest, this->Normalised(workspace));
  }
  for (const auto workspace : contending) {
    const bool held = std::ranges::none_of(this->rows, [workspace](const auto& row) {
      return row.workspace == workspace && row.eligible();
    });
    if (held && this->Normalised(workspace) <= lowest + kRounding) {
      return "";
    }
  }
  return "slots are free while eligible demand waits";
}

}  // namespace pomelospar::scheduling
