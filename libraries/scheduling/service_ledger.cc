#include "libraries/scheduling/service_ledger.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pomelospar::scheduling {
namespace {

constexpr double kUnknownCounter = -1.0;

// The helpers are templates because `ServiceLedger::Workspace` is private.
template <typename T>
bool IsReported(const T& workspace) {
  return workspace.own_counter > 0.0 || workspace.offset > 0.0 || workspace.inherited > 0.0;
}

template <typename T>
void FillRow(const T& workspace, double counter, wire::ServiceRow* row) {
  row->set_workspace(core::Raw(workspace.id));
  row->set_counter(counter);
  row->set_offset(workspace.offset);
  row->set_inherited(workspace.inherited);
}

void NumberParts(std::vector<wire::LedgerRows>& parts) {
  for (std::size_t index = 0; index < parts.size(); ++index) {
    parts[index].set_part(static_cast<std::uint32_t>(index + 1));
    parts[index].set_parts(static_cast<std::uint32_t>(parts.size()));
  }
}

}  // namespace

core::Duration ReportPeriod(std::size_t peers, std::size_t bytes_per_report, double budget) {
  const double seconds =
      static_cast<double>(peers) * static_cast<double>(bytes_per_report) / budget;
  const auto period =
      std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
  return std::max(kMinimumReportPeriod, period);
}

core::Duration MemberReportPeriod(std::size_t peers, std::size_t bytes_per_report) {
  return ReportPeriod(peers, bytes_per_report, kMemberReportBytesPerSecond);
}

core::Duration DomainReportPeriod(std::size_t round_bytes) {
  return ReportPeriod(1, round_bytes, kDomainReportBytesPerSecond);
}

ServiceLedger::ServiceLedger(std::uint64_t own_incarnation, core::DomainId own_domain)
    : own_incarnation(own_incarnation), own_domain(own_domain) {}

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
  row.own_counter += cost;
  this->AddToDomain(row, cost);
  this->MarkChanged(row);
}

void ServiceLedger::RaiseOffset(core::WorkspaceId workspace, double offset) {
  auto& row = this->workspaces[this->IndexOf(workspace)];
  if (offset > row.offset) {
    row.offset = offset;
    row.offset_changed = true;
    this->MarkChanged(row);
  }
}

double ServiceLedger::OwnCounter(core::WorkspaceId workspace) const {
  const auto* row = this->Find(workspace);
  return row == nullptr ? 0.0 : row->own_counter;
}

double ServiceLedger::Total(core::WorkspaceId workspace) const {
  const auto* row = this->Find(workspace);
  return row == nullptr ? 0.0 : row->total;
}

double ServiceLedger::DomainSum(core::WorkspaceId workspace) const {
  const auto* row = this->Find(workspace);
  return row == nullptr ? 0.0 : row->domain_sum;
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
    if (IsReported(row)) {
      row.offset_changed = true;
      this->MarkChanged(row);
    }
  }
  wire::ServiceReport report;
  this->AppendRelayed(refresh_rows, report);
  if (this->changed.empty() && report.relayed_size() == 0) {
    return std::nullopt;
  }
  report.set_sequence(++this->report_sequence);
  for (const auto index : this->changed) {
    auto& workspace = this->workspaces[index];
    workspace.changed = false;
    if (std::exchange(workspace.offset_changed, false)) {
      FillRow(workspace, workspace.own_counter, report.add_rows());
      continue;
    }
    report.add_workspaces(core::Raw(workspace.id));
    report.add_counters(workspace.own_counter);
  }
  this->changed.clear();
  return report;
}

wire::ServiceReport ServiceLedger::FullReport() {
  wire::ServiceReport report;
  report.set_sequence(++this->report_sequence);
  for (const auto& workspace : this->workspaces) {
    if (IsReported(workspace)) {
      FillRow(workspace, workspace.own_counter, report.add_rows());
    }
  }
  return report;
}

void ServiceLedger::Merge(std::uint64_t incarnation, const wire::ServiceReport& report,
                          core::TimePoint now) {
  const auto sender = this->other_incarnations.find(incarnation);
  if (sender != this->other_incarnations.end() && !sender->second.folded) {
    // A report without counters also shows that the sender is alive.
    sender->second.last_heard = now;
  }
  this->MergeRows(incarnation, report.rows(), now);
  const auto count = std::min(report.workspaces_size(), report.counters_size());
  for (int index = 0; index < count; ++index) {
    this->MergeCounter(incarnation, core::WorkspaceId{report.workspaces(index)},
                       report.counters(index), now);
  }
  for (const auto& row : report.relayed()) {
    this->MergeRelayed(row, now);
  }
}

void ServiceLedger::MergeCounter(std::uint64_t incarnation, core::WorkspaceId workspace,
                                 double counter, core::TimePoint now) {
  if (incarnation == this->own_incarnation || !(counter > 0.0)) {
    return;
  }
  const auto index = this->IndexOf(workspace);
  const auto known = this->other_incarnations.find(incarnation);
  if (known != this->other_incarnations.end() && known->second.folded &&
      index < known->second.counters.size() && counter <= known->second.counters[index]) {
    // The row is old: a router that has not folded this incarnation yet relayed it.
    return;
  }
  this->MergeRow(this->MarkHeard(incarnation, now), index, counter);
}

std::vector<wire::LedgerRows> ServiceLedger::State(std::size_t rows_per_part) const {
  std::vector<wire::LedgerRows> parts;
  const auto append = [&](std::uint64_t incarnation, bool base, auto counter_of) {
    std::size_t rows = rows_per_part;
    for (std::size_t index = 0; index < this->workspaces.size(); ++index) {
      const auto& workspace = this->workspaces[index];
      const double counter = counter_of(index);
      if (counter <= 0.0 && !(base && (workspace.offset > 0.0 || workspace.inherited > 0.0))) {
        continue;
      }
      if (rows >= rows_per_part) {
        parts.emplace_back();
        parts.back().set_incarnation(incarnation);
        parts.back().set_base(base);
        rows = 0;
      }
      FillRow(workspace, counter, parts.back().add_rows());
      ++rows;
    }
  };
  append(0, true, [&](std::size_t index) { return this->workspaces[index].base; });
  append(this->own_incarnation, false,
         [&](std::size_t index) { return this->workspaces[index].own_counter; });
  for (const auto& [incarnation, state] : this->other_incarnations) {
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
  this->AppendForeignSums(rows_per_part, parts);
  if (parts.empty()) {
    // An empty ledger is a valid answer: it tells the receiver not to wait for a base.
    parts.emplace_back().set_base(true);
  }
  NumberParts(parts);
  return parts;
}

void ServiceLedger::MergeState(std::uint64_t sender, const wire::LedgerRows& part,
                               core::TimePoint now) {
  const bool sums_only = part.domain() != 0;
  for (const auto& row : part.rows()) {
    const core::WorkspaceId workspace{row.workspace()};
    this->RaiseOffset(workspace, row.offset());
    if (sums_only) {
      this->MergeSum(core::DomainId{part.domain()}, workspace, row.counter());
    } else {
      this->RaiseInherited(workspace, row.inherited());
    }
  }
  if (!part.base() && !sums_only) {
    this->MergeRows(part.incarnation(), part.rows(), now);
  }
  if (this->base_adopted) {
    return;
  }
  auto& state = this->pending[sender];
  state.of_own_domain = state.of_own_domain || !sums_only;
  if (state.parts.insert(part.part()).second && part.base()) {
    state.base.push_back(part);
  }
  if (state.parts.size() == part.parts()) {
    this->state_received = true;
    // A complete state from a router of the own domain contains at least one part that is not a
    // sum.
    if (part.fresh() || !state.of_own_domain) {
      this->pending.erase(sender);
      return;
    }
    this->AdoptBase(state, now);
    this->pending.clear();
  }
}

void ServiceLedger::Fold(core::TimePoint now) {
  std::erase_if(this->foreign_incarnations,
                [now](const auto& entry) { return now - entry.second.last_heard >= kRelayAfter; });
  for (auto entry = this->other_incarnations.begin(); entry != this->other_incarnations.end();) {
    auto& state = entry->second;
    if (state.folded && now - state.folded_at >= kForgetFoldedAfter) {
      entry = this->other_incarnations.erase(entry);
      continue;
    }
    state.silent = now - state.last_heard >= kRelayAfter;
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

ServiceLedger::Incarnation& ServiceLedger::MarkHeard(std::uint64_t incarnation,
                                                     core::TimePoint now) {
  auto& state = this->other_incarnations[incarnation];
  state.last_heard = now;
  if (state.folded) {
    // A router that was unreachable for longer than `kFoldAfter` reports again: its counters are
    // taken out of the base.
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
    // The totals already include this counter through the base. From now on its value is known, so
    // it is taken out of the base.
    known = counter;
    this->workspaces[index].base -= counter;
    return;
  }
  if (counter > known) {
    this->AddToDomain(this->workspaces[index], counter - known);
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
    this->RaiseInherited(workspace, row.inherited());
  }
}

void ServiceLedger::AppendRelayed(std::size_t rows, wire::ServiceReport& report) {
  std::vector<std::pair<std::uint64_t, const Incarnation*>> silent;
  for (const auto& [incarnation, state] : this->other_incarnations) {
    if (state.silent && !state.folded) {
      silent.emplace_back(incarnation, &state);
    }
  }
  std::ranges::sort(silent);
  // The rotation remembers the last row instead of its position in the list. Positions shift when
  // the set of silent incarnations changes, so some rows might never be relayed.
  using Position = std::pair<std::uint64_t, std::size_t>;
  std::vector<Position> positions;
  for (const auto& [incarnation, state] : silent) {
    for (std::size_t index = 0; index < state->counters.size(); ++index) {
      if (state->counters[index] > 0.0) {
        positions.emplace_back(incarnation, index);
      }
    }
  }
  auto next = std::ranges::upper_bound(positions, this->last_relayed);
  for (std::size_t count = 0; count < std::min(rows, positions.size()); ++count) {
    next = next == positions.end() ? positions.begin() : next;
    this->last_relayed = *next++;
    const auto& [incarnation, index] = this->last_relayed;
    auto* row = report.add_relayed();
    row->set_incarnation(incarnation);
    row->set_workspace(core::Raw(this->workspaces[index].id));
    row->set_counter(this->other_incarnations.at(incarnation).counters[index]);
  }
}

void ServiceLedger::MergeRelayed(const wire::RelayedRow& row, core::TimePoint now) {
  const core::WorkspaceId workspace{row.workspace()};
  const auto index = this->IndexOf(workspace);
  const auto known = this->other_incarnations.find(row.incarnation());
  if (known != this->other_incarnations.end()) {
    // A relayed row does not show that the incarnation is alive. Counting it as a message of the
    // incarnation would delay folding.
    auto& state = known->second;
    const bool held = index < state.counters.size() && row.counter() <= state.counters[index];
    if (held || state.unknown) {
      return;
    }
    if (!state.folded) {
      this->MergeRow(state, index, row.counter());
      return;
    }
  }
  this->MergeCounter(row.incarnation(), workspace, row.counter(), now);
}

void ServiceLedger::AddToDomain(Workspace& workspace, double cost) {
  workspace.domain_sum += cost;
  workspace.total += cost;
}

void ServiceLedger::RaiseInherited(core::WorkspaceId workspace, double inherited) {
  auto& row = this->workspaces[this->IndexOf(workspace)];
  if (inherited > row.inherited) {
    this->AddToDomain(row, inherited - row.inherited);
    row.inherited = inherited;
    row.offset_changed = true;
    this->MarkChanged(row);
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
      this->AddToDomain(workspace, row.counter());
    }
  }
}

void ServiceLedger::MarkFolded(std::uint64_t incarnation, core::TimePoint now) {
  auto& state = this->other_incarnations[incarnation];
  for (std::size_t index = 0; index < state.counters.size(); ++index) {
    // The adopted base includes this incarnation, so its separate counters would count twice.
    const double counter = std::max(0.0, state.counters[index]);
    this->AddToDomain(this->workspaces[index], -counter);
    this->workspaces[index].base -= state.folded ? counter : 0.0;
  }
  ++this->normalisation_epoch;
  state = Incarnation{.last_heard = now, .folded_at = now, .folded = true, .unknown = true};
}

}  // namespace pomelospar::scheduling
