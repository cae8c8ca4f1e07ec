#include "services/pomelospard/ledger_controller.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace pomelospar::daemon {
namespace {

// One-way delay between failure domains that the fairness bound allows for.
constexpr core::Duration kNetworkDelay = std::chrono::milliseconds(50);

// Encoded size of a service report with three rows, the number that a router changes per report
// period at the target load, and of a domain report with two rows.
constexpr std::size_t kTypicalReportBytes = 100;
constexpr std::size_t kTypicalDomainReportBytes = 50;

// After this time a router that has peers allocates without their ledgers, so that the loss of a
// ledger request does not stop the domain. Membership has settled by then as well.
constexpr core::Duration kLedgerWait = std::chrono::seconds(3);
constexpr core::Duration kLedgerRequestPeriod = std::chrono::milliseconds(500);

std::map<core::DomainId, std::vector<core::RouterIdentity>> MembersByDomain(
    const RouterState& state) {
  std::map<core::DomainId, std::vector<core::RouterIdentity>> domains;
  for (auto& router : state.members->LiveMembers()) {
    const auto* member = state.members->Find(router);
    if (member != nullptr) {
      domains[member->domain].push_back(std::move(router));
    }
  }
  return domains;
}

void SendServiceReport(RouterState& state, const std::vector<core::RouterIdentity>& peers) {
  auto report = state.ledger->TakeReport();
  const auto bytes = report ? report->ByteSizeLong() : 0;
  state.report_period = scheduling::MemberReportPeriod(peers.size(), bytes);
  state.next_report = state.clock.now() + state.report_period;
  if (!report) {
    return;
  }
  for (const auto& peer : peers) {
    state.outbox->Add(peer, *report, &wire::Message::mutable_service_report);
  }
}

void SendDomainReports(RouterState& state,
                       const std::map<core::DomainId, std::vector<core::RouterIdentity>>& domains) {
  const auto own = state.members->LiveRouters(state.domain);
  std::size_t round_bytes = 0;
  for (const auto& [domain, receivers] : domains) {
    if (domain == state.domain) {
      continue;
    }
    const auto report = state.ledger->TakeDomainReport(
        domain, [&state, &own, domain = domain](core::WorkspaceId workspace) {
          const auto* home = scheduling::HomeRouter(state.domain, domain, workspace, own);
          return home != nullptr && *home == state.self;
        });
    if (!report) {
      continue;
    }
    round_bytes += receivers.size() * report->ByteSizeLong();
    for (const auto& receiver : receivers) {
      state.outbox->Add(receiver, *report, &wire::Message::mutable_domain_report);
    }
  }
  state.domain_report_period = scheduling::DomainReportPeriod(round_bytes);
  state.next_domain_report = state.clock.now() + state.domain_report_period;
}

void RequestLedger(RouterState& state, const core::RouterIdentity& router) {
  state.outbox->Add(router, wire::LedgerRequest(), &wire::Message::mutable_ledger_request);
}

const core::RouterIdentity& PickRandom(RouterState& state,
                                       const std::vector<core::RouterIdentity>& routers) {
  std::uniform_int_distribution<std::size_t> index(0, routers.size() - 1);
  return routers[index(state.random)];
}

// Periodically asks a router of this failure domain for its ledger until one that has state
// answers. Until then all routers of the domain may have restarted together, so a router of another
// domain is also asked for its sums.
void RequestMissingState(
    RouterState& state,
    const std::map<core::DomainId, std::vector<core::RouterIdentity>>& domains) {
  const auto now = state.clock.now();
  if (state.ledger_wait_timed_out || state.ledger->has_domain_state() ||
      now < state.next_ledger_request) {
    return;
  }
  state.next_ledger_request = now + kLedgerRequestPeriod;
  if (now - state.started >= kLedgerWait) {
    state.ledger_wait_timed_out = true;
    state.ledger->InheritSums();
    return;
  }
  std::vector<core::RouterIdentity> others;
  for (const auto& [domain, routers] : domains) {
    if (domain == state.domain) {
      RequestLedger(state, PickRandom(state, routers));
    } else {
      others.insert(others.end(), routers.begin(), routers.end());
    }
  }
  if (!others.empty()) {
    RequestLedger(state, PickRandom(state, others));
  }
}

}  // namespace

void HandleServiceReport(RouterState& state, const core::RouterIdentity& sender,
                         const wire::ServiceReport& report) {
  if (IsOfOwnDomain(state, sender)) {
    state.ledger->Merge(sender.incarnation, report, state.clock.now());
  }
}

void HandleDomainReport(RouterState& state, const core::RouterIdentity& sender,
                        const wire::DomainReport& report) {
  const auto* member = state.members->Find(sender);
  if (member != nullptr && core::Raw(member->domain) == report.domain()) {
    state.ledger->Merge(report);
  }
}

void HandleLedgerRequest(RouterState& state, const core::RouterIdentity& sender) {
  const bool fresh = !state.ledger_wait_timed_out && !state.ledger->has_domain_state();
  auto parts = IsOfOwnDomain(state, sender) ? state.ledger->State() : state.ledger->SumState();
  for (auto& part : parts) {
    part.set_fresh(fresh);
    state.outbox->Add(sender, std::move(part), &wire::Message::mutable_ledger_rows);
  }
}

void HandleLedgerRows(RouterState& state, const core::RouterIdentity& sender,
                      const wire::LedgerRows& rows) {
  if (rows.domain() != 0 || IsOfOwnDomain(state, sender)) {
    state.ledger->MergeState(sender.incarnation, rows, state.clock.now());
  }
}

void SendLedgerTo(RouterState& state, const core::RouterIdentity& router) {
  if (IsOfOwnDomain(state, router)) {
    state.outbox->Add(router, state.ledger->FullReport(), &wire::Message::mutable_service_report);
  } else {
    state.outbox->Add(router, state.ledger->FullDomainReport(),
                      &wire::Message::mutable_domain_report);
  }
  // The first router that joins and the first one of the same failure domain are asked at once.
  if (!state.ledger->has_state() ||
      (!state.ledger->has_domain_state() && IsOfOwnDomain(state, router))) {
    RequestLedger(state, router);
  }
}

void TickLedger(RouterState& state) {
  const auto now = state.clock.now();
  const bool waits = !state.ledger_wait_timed_out && !state.ledger->has_domain_state();
  if (!waits && now < state.next_report && now < state.next_domain_report) {
    return;
  }
  const auto domains = MembersByDomain(state);
  RequestMissingState(state, domains);
  if (now >= state.next_report) {
    const auto own = domains.find(state.domain);
    SendServiceReport(state,
                      own == domains.end() ? std::vector<core::RouterIdentity>() : own->second);
    state.ledger->Fold(now);
  }
  if (now >= state.next_domain_report) {
    SendDomainReports(state, domains);
  }
}

bool IsOfOwnDomain(const RouterState& state, const core::RouterIdentity& router) {
  if (router == state.self) {
    return true;
  }
  const auto* member = state.members->Find(router);
  return member != nullptr && member->domain == state.domain;
}

bool MayAllocate(const RouterState& state) {
  return state.ledger->has_state() || state.clock.now() - state.started >= kLedgerWait ||
         state.members->LiveMembers().empty();
}

scheduling::FairnessInputs FairnessInputsOf(const RouterState& state) {
  const auto& configuration = *state.configuration;
  scheduling::FairnessInputs inputs;
  inputs.largest_request_cost = configuration.limits.largest_request_cost;
  inputs.largest_uncharged_cost = configuration.limits.largest_request_cost;
  for (const auto& [id, runner] : state.runners.entries()) {
    inputs.slots += runner.slots;
  }
  inputs.highest_service_rate = inputs.slots * configuration.limits.slot_service_rate;
  const auto peers = state.members->LiveMembers().size();
  const auto routers = state.members->LiveRouters(state.domain).size();
  const auto members = routers > 0 ? routers - 1 : 0;
  const auto others = peers > members ? peers - members : 0;
  // A counter reaches another domain with a service report to the home and then a domain report.
  inputs.staleness =
      std::max(state.report_period, scheduling::MemberReportPeriod(members, kTypicalReportBytes)) +
      std::max(state.domain_report_period,
               scheduling::DomainReportPeriod(others * kTypicalDomainReportBytes)) +
      2 * kNetworkDelay;
  for (const auto& workspace : configuration.workspaces) {
    inputs.smallest_share = std::min(inputs.smallest_share, workspace.share);
  }
  return inputs;
}

}  // namespace pomelospar::daemon
