#include "libraries/scheduling/service_ledger.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pomelospar::scheduling {
namespace {

constexpr double kUnknownCounter = -1.0;

}  // namespace

core::Duration ReportPeriod(std::size_t peers, std::size_t bytes_per_report) {
  const double seconds =
      static_cast<double>(peers) * static_cast<double>(bytes_per_report) / kReportBytesPerSecond;
  const auto period =
      std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
  return std::max(kMinimumReportPeriod, period);
}

ServiceLedger::ServiceLedger(std::uint64_t own_incarnation) : own_incarnation(own_incarnation) {}

void ServiceLedger::SetShares(std::span<const WorkspaceShare> shares) {
  for (auto& workspace : this->workspaces) {
    workspace.share = 1.0;
  }
  for (const auto& entry : shares) {
    this->workspaces[this->IndexOf(entry.workspace)].share = entry.share;
  }
  ++this->normalisation_epoch;
}

void ServiceLedger::Charge(core::WorkspaceId workspace, double cost) {
  if (!(cost > 0.0)) {
    return;
  }
  auto& row = this->workspaces[this->IndexOf(workspace)];
  row.own += cost;
  row.total += cost;
  this->MarkChanged(row);
}

void ServiceLedger::RaiseOffset(core::WorkspaceId workspace, double offset) {
  auto& row = this->workspaces[this->IndexOf(workspace)];
  if (offset > row.offset) {
    row.offset = offset;
    this->MarkChanged(row);
  }
}

double ServiceLedger::OwnCounter(core::WorkspaceId workspace) const {
  const auto* row = this->Find(workspace);
  return row == nullptr ? 0.0 : row->own;
}

double ServiceLedger::Total(core::WorkspaceId workspace) const {
  const auto* row = this->Find(workspace);
  return row == nullptr ? 0.0 : row->total;
}

double ServiceLedger::Offset(core::WorkspaceId workspace) const {
  const auto* row = this->Find(workspace);
  return row == nullptr ? 0.0 : row->offset;
}

double ServiceLedger::Share(core::WorkspaceId workspace) const {
  const auto* row = this->Find(workspace);
  return row == nullptr ? 1.0 : row->share;
}

double ServiceLedger::NormalisedService(core::WorkspaceId workspace) const {
  const auto* row = this->Find(workspace);
  return row == nullptr ? 0.0 : row->total / row->share + row->offset;
}

std::optional<wire::ServiceReport> ServiceLedger::TakeReport(std::size_t refresh_rows) {
  const auto refreshed = std::min(refresh_rows, this->workspaces.size());
  for (std::size_t count = 0; count < refreshed; ++count) {
    this->refresh_position = (this->refresh_position + 1) % this->workspaces.size();
    auto& row = this->workspaces[this->refresh_position];
    if (row.own > 0.0 || row.offset > 0.0) {
      this->MarkChanged(row);
    }
  }
  if (this->changed.empty()) {
    return std::nullopt;
  }
  wire::ServiceReport report;
  report.set_sequence(++this->report_sequence);
  for (const auto index : this->changed) {
    auto& workspace = this->workspaces[index];
    workspace.changed = false;
    auto* row = report.add_rows();
    row->set_workspace(core::Raw(workspace.id));
    row->set_counter(workspace.own);
    row->set_offset(workspace.offset);
  }
  this->changed.clear();
  return report;
}

wire::ServiceReport ServiceLedger::FullReport() {
  wire::ServiceReport report;
  report.set_sequence(++this->report_sequence);
  for (const auto& workspace : this->workspaces) {
    if (workspace.own > 0.0 || workspace.offset > 0.0) {
      auto* row = report.add_rows();
      row->set_workspace(core::Raw(workspace.id));
      row->set_counter(workspace.own);
      row->set_offset(workspace.offset);
    }
  }
  return report;
}

void ServiceLedger::Merge(std::uint64_t incarnation, const wire::ServiceReport& report,
                          core::TimePoint now) {
  this->MergeRows(incarnation, report.rows(), now);
}

void ServiceLedger::MergeCounter(std::uint64_t incarnation, core::WorkspaceId workspace,
                                 double counter, core::TimePoint now) {
  if (incarnation == this->own_incarnation) {
    return;
  }
  const auto index = this->IndexOf(workspace);
  const auto known = this->others.find(incarnation);
  if (known != this->others.end() && known->second.folded &&
      index < known->second.counters.size() && counter <= known->second.counters[index]) {
    // An old row, relayed by a router that has not folded this incarnation yet.
    return;
  }
  this->MergeRow(this->Touch(incarnation, now), index, counter);
}

std::vector<wire::LedgerRows> ServiceLedger::State(std::size_t rows_per_part) const {
  std::vector<wire::LedgerRows> parts;
  const auto append = [&](std::uint64_t incarnation, bool base, auto counter_of) {
    std::size_t rows = rows_per_part;
    for (std::size_t index = 0; index < this->workspaces.size(); ++index) {
      const auto& workspace = this->workspaces[index];
      const double counter = counter_of(index);
      if (counter <= 0.0 && !(base && workspace.offset > 0.0)) {
        continue;
      }
      if (rows >= rows_per_part) {
        parts.emplace_back();
        parts.back().set_incarnation(incarnation);
        parts.back().set_base(base);
        rows = 0;
      }
      auto* row = parts.back().add_rows();
      row->set_workspace(core::Raw(workspace.id));
      row->set_counter(counter);
      row->set_offset(workspace.offset);
      ++rows;
    }
  };
  append(0, true, [&](std::size_t index) { return this->workspaces[index].base; });
  append(this->own_incarnation, false,
         [&](std::size_t index) { return this->workspaces[index].own; });
  for (const auto& [incarnation, state] : this->others) {
    if (state.folded) {
      parts.emplace_back();
      parts.back().set_incarnation(incarnation);
      parts.back().set_base(true);
      continue;
    }
    append(incarnation, false, [&state = state](std::size_t index) {
      return index < state.counters.size() ? state.counters[index] : 0.0;
    });
  }
  if (parts.empty()) {
    // An empty ledger is a valid answer: it tells the receiver that there is no base to wait for.
    parts.emplace_back().set_base(true);
  }
  for (std::size_t index = 0; index < parts.size(); ++index) {
    parts[index].set_part(static_cast<std::uint32_t>(index + 1));
    parts[index].set_parts(static_cast<std::uint32_t>(parts.size()));
  }
  return parts;
}

void ServiceLedger::MergeState(std::uint64_t sender, const wire::LedgerRows& part,
                               core::TimePoint now) {
  for (const auto& row : part.rows()) {
    this->RaiseOffset(core::WorkspaceId{row.workspace()}, row.offset());
  }
  if (!part.base()) {
    this->MergeRows(part.incarnation(), part.rows(), now);
  }
  if (this->base_adopted) {
    return;
  }
  auto& state = this->pending[sender];
  if (state.parts.insert(part.part()).second && part.base()) {
    state.base.push_back(part);
  }
  if (state.parts.size() == part.parts()) {
    this->AdoptBase(state, now);
    this->pending.clear();
  }
}

void ServiceLedger::Fold(core::TimePoint now) {
  for (auto entry = this->others.begin(); entry != this->others.end();) {
    auto& state = entry->second;
    if (state.folded && now - state.folded_at >= kForgetFoldedAfter) {
      entry = this->others.erase(entry);
      continue;
    }
    if (!state.folded && now - state.last_heard >= kFoldAfter) {
      state.folded = true;
      state.folded_at = now;
      for (std::size_t index = 0; index < state.counters.size(); ++index) {
        this->workspaces[index].base += std::max(0.0, state.counters[index]);
      }
    }
    ++entry;
  }
}

std::size_t ServiceLedger::IndexOf(core::WorkspaceId workspace) {
  const auto [entry, inserted] = this->indexes.try_emplace(workspace, this->workspaces.size());
  if (inserted) {
    this->workspaces.push_back(Workspace{.id = workspace});
  }
  return entry->second;
}

const ServiceLedger::Workspace* ServiceLedger::Find(core::WorkspaceId workspace) const {
  const auto entry = this->indexes.find(workspace);
  return entry == this->indexes.end() ? nullptr : &this->workspaces[entry->second];
}

void ServiceLedger::MarkChanged(Workspace& workspace) {
  if (!workspace.changed) {
    workspace.changed = true;
    this->changed.push_back(static_cast<std::size_t>(&workspace - this->workspaces.data()));
  }
}

ServiceLedger::Incarnation& ServiceLedger::Touch(std::uint64_t incarnation, core::TimePoint now) {
  auto& state = this->others[incarnation];
  state.last_heard = now;
  if (state.folded) {
    // A router that was cut off for longer than the fold time reports again: it leaves the base.
    state.folded = false;
    for (std::size_t index = 0; index < state.counters.size(); ++index) {
      this->workspaces[index].base -= std::max(0.0, state.counters[index]);
    }
  }
  return state;
}

void ServiceLedger::MergeRow(Incarnation& incarnation, std::size_t index, double counter) {
  if (incarnation.counters.size() <= index) {
    incarnation.counters.resize(this->workspaces.size(),
                                incarnation.unknown ? kUnknownCounter : 0.0);
  }
  auto& known = incarnation.counters[index];
  if (known == kUnknownCounter) {
    // Totals already hold this counter through the base, so from here it counts as known and is
    // taken out of the base.
    known = counter;
    this->workspaces[index].base -= counter;
    return;
  }
  if (counter > known) {
    this->workspaces[index].total += counter - known;
    known = counter;
  }
}

void ServiceLedger::MergeRows(std::uint64_t incarnation,
                              const google::protobuf::RepeatedPtrField<wire::ServiceRow>& rows,
                              core::TimePoint now) {
  for (const auto& row : rows) {
    const core::WorkspaceId workspace{row.workspace()};
    this->MergeCounter(incarnation, workspace, row.counter(), now);
    this->RaiseOffset(workspace, row.offset());
  }
}

void ServiceLedger::AdoptBase(const PendingState& pending, core::TimePoint now) {
  this->base_adopted = true;
  for (const auto& part : pending.base) {
    if (part.incarnation() != 0) {
      this->MarkFolded(part.incarnation(), now);
    }
    for (const auto& row : part.rows()) {
      auto& workspace = this->workspaces[this->IndexOf(core::WorkspaceId{row.workspace()})];
      workspace.base += row.counter();
      workspace.total += row.counter();
    }
  }
}

void ServiceLedger::MarkFolded(std::uint64_t incarnation, core::TimePoint now) {
  auto& state = this->others[incarnation];
  for (std::size_t index = 0; index < state.counters.size(); ++index) {
    // The adopted base holds this incarnation, so its own rows would count twice.
    const double counter = std::max(0.0, state.counters[index]);
    this->workspaces[index].total -= counter;
    this->workspaces[index].base -= state.folded ? counter : 0.0;
  }
  ++this->normalisation_epoch;
  state = Incarnation{.last_heard = now, .folded_at = now, .folded = true, .unknown = true};
}

}  // namespace pomelospar::scheduling
