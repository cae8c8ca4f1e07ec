// The part of `ServiceLedger` that exchanges sums with other failure domains.

#include <algorithm>
#include <utility>

#include "libraries/scheduling/service_ledger.h"

namespace pomelospar::scheduling {

const core::RouterIdentity* HomeRouter(core::DomainId domain, core::DomainId destination,
                                       core::WorkspaceId workspace,
                                       std::span<const core::RouterIdentity> routers) {
  const auto pair = core::CombineHashes(core::Raw(domain), core::Raw(destination));
  const auto key = core::CombineHashes(pair, core::Raw(workspace));
  const core::RouterIdentity* best = nullptr;
  std::uint64_t best_score = 0;
  for (const auto& router : routers) {
    const auto score = core::CombineHashes(key, core::HashOf(router));
    if (best == nullptr || score > best_score) {
      best = &router;
      best_score = score;
    }
  }
  return best;
}

std::optional<wire::DomainReport> ServiceLedger::TakeDomainReport(core::DomainId destination,
                                                                  const IsHome& is_home,
                                                                  std::size_t refresh_rows) {
  auto& sent = this->destinations[destination];
  const auto count = this->workspaces.size();
  sent.sums.resize(count);
  sent.offsets.resize(count);
  wire::DomainReport report;
  const auto append = [&](std::size_t index, bool with_offset) {
    const auto& workspace = this->workspaces[index];
    sent.sums[index] = workspace.domain_sum;
    sent.offsets[index] = workspace.offset;
    if (with_offset) {
      auto* row = report.add_rows();
      row->set_workspace(core::Raw(workspace.id));
      row->set_counter(workspace.domain_sum);
      row->set_offset(workspace.offset);
      return;
    }
    report.add_workspaces(core::Raw(workspace.id));
    report.add_counters(workspace.domain_sum);
  };
  // The rotation starts after the last refreshed row and skips rows of other home routers.
  std::size_t refreshed = 0;
  const auto start = sent.refresh_position;
  for (std::size_t step = 1; step <= count; ++step) {
    const auto index = (start + step) % count;
    const auto& workspace = this->workspaces[index];
    const bool empty = workspace.domain_sum <= 0.0 && workspace.offset <= 0.0;
    if (empty || !is_home(workspace.id)) {
      continue;
    }
    const bool refresh = refreshed < refresh_rows;
    if (refresh) {
      ++refreshed;
      sent.refresh_position = index;
    }
    const bool offset_changed = workspace.offset > sent.offsets[index];
    if (refresh || offset_changed || workspace.domain_sum > sent.sums[index]) {
      append(index, workspace.offset > 0.0 && (refresh || offset_changed));
    }
  }
  if (report.rows_size() == 0 && report.workspaces_size() == 0) {
    return std::nullopt;
  }
  report.set_sequence(++this->report_sequence);
  report.set_domain(core::Raw(this->own_domain));
  return report;
}

wire::DomainReport ServiceLedger::FullDomainReport() {
  wire::DomainReport report;
  report.set_sequence(++this->report_sequence);
  report.set_domain(core::Raw(this->own_domain));
  for (const auto& workspace : this->workspaces) {
    if (workspace.domain_sum > 0.0 || workspace.offset > 0.0) {
      auto* row = report.add_rows();
      row->set_workspace(core::Raw(workspace.id));
      row->set_counter(workspace.domain_sum);
      row->set_offset(workspace.offset);
    }
  }
  return report;
}

void ServiceLedger::Merge(const wire::DomainReport& report) {
  const core::DomainId domain{report.domain()};
  if (domain == this->own_domain) {
    return;
  }
  for (const auto& row : report.rows()) {
    const core::WorkspaceId workspace{row.workspace()};
    this->MergeSum(domain, workspace, row.counter());
    this->RaiseOffset(workspace, row.offset());
  }
  const auto count = std::min(report.workspaces_size(), report.counters_size());
  for (int index = 0; index < count; ++index) {
    this->MergeSum(domain, core::WorkspaceId{report.workspaces(index)}, report.counters(index));
  }
}

void ServiceLedger::AppendForeignSums(std::size_t rows_per_part,
                                      std::vector<wire::LedgerRows>& parts) const {
  for (const auto& [domain, values] : this->sums) {
    if (domain != this->own_domain) {
      this->AppendSums(
          domain,
          [&values = values.reported](std::size_t index) {
            return index < values.size() ? values[index] : 0.0;
          },
          rows_per_part, parts);
    }
  }
}

std::vector<wire::LedgerRows> ServiceLedger::SumState(std::size_t rows_per_part) const {
  std::vector<wire::LedgerRows> parts;
  this->AppendSums(
      this->own_domain, [this](std::size_t index) { return this->workspaces[index].domain_sum; },
      rows_per_part, parts);
  this->AppendForeignSums(rows_per_part, parts);
  if (parts.empty()) {
    parts.emplace_back().set_domain(core::Raw(this->own_domain));
  }
  for (std::size_t index = 0; index < parts.size(); ++index) {
    parts[index].set_part(static_cast<std::uint32_t>(index + 1));
    parts[index].set_parts(static_cast<std::uint32_t>(parts.size()));
  }
  return parts;
}

void ServiceLedger::InheritSums() {
  const auto known = this->sums.find(this->own_domain);
  if (this->base_adopted || known == this->sums.end()) {
    return;
  }
  const auto& reported = known->second.reported;
  for (std::size_t index = 0; index < reported.size(); ++index) {
    this->RaiseInherited(this->workspaces[index].id, reported[index]);
  }
}

void ServiceLedger::MergeForeignCounter(core::DomainId domain, std::uint64_t incarnation,
                                        core::WorkspaceId workspace, double counter,
                                        core::TimePoint now) {
  if (domain == this->own_domain || !(counter > 0.0)) {
    return;
  }
  auto& state = this->foreign_incarnations[incarnation];
  state.last_heard = now;
  const auto [known, first] = state.counters.try_emplace(workspace, counter);
  if (first || counter <= known->second) {
    return;
  }
  const auto growth = counter - std::exchange(known->second, counter);
  const auto index = this->IndexOf(workspace);
  this->RaiseEstimate(domain, index, this->SumsOf(domain).estimated[index] + growth);
}

ServiceLedger::DomainSums& ServiceLedger::SumsOf(core::DomainId domain) {
  auto& sums = this->sums[domain];
  sums.reported.resize(this->workspaces.size());
  sums.estimated.resize(this->workspaces.size());
  return sums;
}

void ServiceLedger::RaiseEstimate(core::DomainId domain, std::size_t index, double estimate) {
  auto& known = this->SumsOf(domain).estimated[index];
  if (estimate > known) {
    this->workspaces[index].total += estimate - known;
    known = estimate;
  }
}

void ServiceLedger::MergeSum(core::DomainId domain, core::WorkspaceId workspace, double sum) {
  const auto index = this->IndexOf(workspace);
  auto& reported = this->SumsOf(domain).reported[index];
  reported = std::max(reported, sum);
  if (domain != this->own_domain) {
    this->RaiseEstimate(domain, index, sum);
  }
}

void ServiceLedger::AppendSums(core::DomainId domain,
                               const std::function<double(std::size_t)>& sum_of,
                               std::size_t rows_per_part,
                               std::vector<wire::LedgerRows>& parts) const {
  auto rows = rows_per_part;
  for (std::size_t index = 0; index < this->workspaces.size(); ++index) {
    const auto& workspace = this->workspaces[index];
    const double sum = sum_of(index);
    if (sum <= 0.0 && workspace.offset <= 0.0) {
      continue;
    }
    if (rows >= rows_per_part) {
      parts.emplace_back().set_domain(core::Raw(domain));
      rows = 0;
    }
    auto* row = parts.back().add_rows();
    row->set_workspace(core::Raw(workspace.id));
    row->set_counter(sum);
    row->set_offset(workspace.offset);
    ++rows;
  }
}

}  // namespace pomelospar::scheduling
