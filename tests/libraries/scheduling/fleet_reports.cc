// The part of `Fleet` that sends service reports between routers, within a domain and between
// domains.

#include <algorithm>

#include "tests/libraries/scheduling/fleet.h"
#include "tests/libraries/scheduling/fleet_identifiers.h"

namespace pomelospar::scheduling {
namespace {

/// Assumed encoded size of one row of a report.
constexpr std::size_t kReportRowBytes = 16;
/// Assumed encoded size of the rest of a report: a refreshed row with an offset, and the header.
constexpr std::size_t kReportFixedBytes = 45;

}  // namespace

core::Duration Fleet::PeriodOfReports() const {
  const auto members = (this->options.routers - 1) / this->options.domains;
  return MemberReportPeriod(members,
                            this->options.shares.size() * kReportRowBytes + kReportFixedBytes);
}

core::Duration Fleet::PeriodOfDomainReports() const {
  std::size_t most = 0;
  for (const auto& node : this->nodes) {
    std::size_t bytes = 0;
    for (const auto& receiver : this->nodes) {
      for (std::size_t workspace = 0; workspace < this->options.shares.size(); ++workspace) {
        if (receiver->domain != node->domain && this->IsHome(*node, receiver->domain, workspace)) {
          bytes += kReportRowBytes;
        }
      }
      bytes += receiver->domain != node->domain ? kReportFixedBytes : 0;
    }
    most = std::max(most, bytes);
  }
  return DomainReportPeriod(most);
}

bool Fleet::IsHome(const Node& node, std::size_t destination, std::size_t workspace) const {
  std::vector<core::RouterIdentity> live;
  for (const auto& other : this->nodes) {
    if (other->domain == node.domain) {
      live.push_back(other->identity);
    }
  }
  const auto* home =
      HomeRouter(DomainOf(node.domain), DomainOf(destination), WorkspaceOf(workspace), live);
  return home != nullptr && *home == node.identity;
}

void Fleet::SendReport(Node& node, const wire::ServiceReport& report) {
  for (const auto& other : this->nodes) {
    if (other.get() != &node && other->domain == node.domain &&
        this->options.mutations.merge_reports) {
      this->Send(node, other->identity,
                 [this, incarnation = node.identity.incarnation, report](Node& target) {
                   target.ledger->Merge(incarnation, report, this->clock.now());
                 });
    }
  }
}

void Fleet::SendDomainReport(Node& node, std::size_t domain, const wire::DomainReport& report) {
  for (const auto& other : this->nodes) {
    if (domain != node.domain && other->domain == domain && this->options.mutations.merge_reports) {
      this->Send(node, other->identity, [report](Node& target) { target.ledger->Merge(report); });
    }
  }
}

void Fleet::ReportDomainPeriodically(Node& node) {
  if (node.stopped) {
    return;
  }
  std::size_t round_bytes = 0;
  for (std::size_t domain = 0; domain < this->options.domains; ++domain) {
    const auto is_home = [&](core::WorkspaceId workspace) {
      return this->IsHome(node, domain, core::Raw(workspace) - 1);
    };
    if (domain == node.domain) {
      continue;
    }
    if (const auto report = node.ledger->TakeDomainReport(DomainOf(domain), is_home)) {
      const auto receivers = std::ranges::count_if(
          this->nodes, [domain](const auto& other) { return other->domain == domain; });
      round_bytes += static_cast<std::size_t>(receivers) * report->ByteSizeLong();
      this->SendDomainReport(node, domain, *report);
    }
  }
  this->Schedule(this->clock.now() + DomainReportPeriod(round_bytes),
                 [this, &node] { this->ReportDomainPeriodically(node); });
}

void Fleet::ReportPeriodically(Node& node) {
  if (node.stopped) {
    return;
  }
  const auto report = node.ledger->TakeReport();
  if (report.has_value()) {
    this->SendReport(node, *report);
  }
  this->Schedule(this->clock.now() + this->PeriodOfReports(),
                 [this, &node] { this->ReportPeriodically(node); });
}

}  // namespace pomelospar::scheduling
