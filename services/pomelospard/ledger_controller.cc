#include "services/pomelospard/ledger_controller.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace pomelospar::daemon {
namespace {

// One-way delay between failure domains that the fairness bound allows for.
constexpr core::Duration kNetworkDelay = std::chrono::milliseconds(50);

// Encoded size of a service report with three rows, which is what a router changes in a report
// period at the target, and of a domain report with two.
constexpr std::size_t kTypicalReportBytes = 100;
constexpr std::size_t kTypicalDomainReportBytes = 50;

// A router that has peers allocates without their state after this time, so that the loss of a
// request for it does not stop the domain. Membership has settled by then as well.
constexpr core::Duration kLedgerWait = std::chrono::seconds(3);
constexpr core::Duration kLedgerRequestPeriod = std::chrono::milliseconds(500);

std::map<core::DomainId, std::vector<core::RouterIdentity>> MembersByDomain(
    const Blackboard& board) {
  std::map<core::DomainId, std::vector<core::RouterIdentity>> domains;
  for (auto& router : board.members->LiveMembers()) {
    const auto* member = board.members->Find(router);
    if (member != nullptr) {
      domains[member->domain].push_back(std::move(router));
    }
  }
  return domains;
}

void SendServiceReport(Blackboard& board, const std::vector<core::RouterIdentity>& peers) {
  auto report = board.ledger->TakeReport();
  const auto bytes = report ? report->ByteSizeLong() : 0;
  board.report_period = scheduling::MemberReportPeriod(peers.size(), bytes);
  board.next_report = board.clock.now() + board.report_period;
  if (!report) {
    return;
  }
  for (const auto& peer : peers) {
    board.outbox->Add(peer, *report, &wire::Message::mutable_service_report);
  }
}

void SendDomainReports(Blackboard& board,
                       const std::map<core::DomainId, std::vector<core::RouterIdentity>>& domains) {
  const auto own = board.members->LiveRouters(board.domain);
  std::size_t round_bytes = 0;
  for (const auto& [domain, receivers] : domains) {
    if (domain == board.domain) {
      continue;
    }
    const auto report = board.ledger->TakeDomainReport(
        domain, [&board, &own, domain = domain](core::WorkspaceId workspace) {
          const auto* home = scheduling::HomeRouter(board.domain, domain, workspace, own);
          return home != nullptr && *home == board.self;
        });
    if (!report) {
      continue;
    }
    round_bytes += receivers.size() * report->ByteSizeLong();
    for (const auto& receiver : receivers) {
      board.outbox->Add(receiver, *report, &wire::Message::mutable_domain_report);
    }
  }
  board.domain_report_period = scheduling::DomainReportPeriod(round_bytes);
  board.next_domain_report = board.clock.now() + board.domain_report_period;
}

void RequestLedger(Blackboard& board, const core::RouterIdentity& router) {
  board.outbox->Add(router, wire::LedgerRequest(), &wire::Message::mutable_ledger_request);
}

const core::RouterIdentity& AnyOf(Blackboard& board,
                                  const std::vector<core::RouterIdentity>& routers) {
  std::uniform_int_distribution<std::size_t> index(0, routers.size() - 1);
  return routers[index(board.random)];
}

// Asks one router of the own domain for the ledger until one with state has answered. As long as
// none has, the domain may have restarted as a whole, so that a router of another one is asked for
// the sums.
void RequestMissingState(
    Blackboard& board, const std::map<core::DomainId, std::vector<core::RouterIdentity>>& domains) {
  const auto now = board.clock.now();
  if (board.ledger_wait_ended || board.ledger->has_domain_state() ||
      now < board.next_ledger_request) {
    return;
  }
  board.next_ledger_request = now + kLedgerRequestPeriod;
  if (now - board.started >= kLedgerWait) {
    board.ledger_wait_ended = true;
    board.ledger->InheritSums();
    return;
  }
  std::vector<core::RouterIdentity> others;
  for (const auto& [domain, routers] : domains) {
    if (domain == board.domain) {
      RequestLedger(board, AnyOf(board, routers));
    } else {
      others.insert(others.end(), routers.begin(), routers.end());
    }
  }
  if (!others.empty()) {
    RequestLedger(board, AnyOf(board, others));
  }
}

}  // namespace

void HandleServiceReport(Blackboard& board, const core::RouterIdentity& sender,
                         const wire::ServiceReport& report) {
  if (IsOfOwnDomain(board, sender)) {
    board.ledger->Merge(sender.incarnation, report, board.clock.now());
  }
}

void HandleDomainReport(Blackboard& board, const core::RouterIdentity& sender,
                        const wire::DomainReport& report) {
  const auto* member = board.members->Find(sender);
  if (member != nullptr && core::Raw(member->domain) == report.domain()) {
    board.ledger->Merge(report);
  }
}

void HandleLedgerRequest(Blackboard& board, const core::RouterIdentity& sender) {
  const bool fresh = !board.ledger_wait_ended && !board.ledger->has_domain_state();
  auto parts = IsOfOwnDomain(board, sender) ? board.ledger->State() : board.ledger->SumState();
  for (auto& part : parts) {
    part.set_fresh(fresh);
    board.outbox->Add(sender, std::move(part), &wire::Message::mutable_ledger_rows);
  }
}

void HandleLedgerRows(Blackboard& board, const core::RouterIdentity& sender,
                      const wire::LedgerRows& rows) {
  if (rows.domain() != 0 || IsOfOwnDomain(board, sender)) {
    board.ledger->MergeState(sender.incarnation, rows, board.clock.now());
  }
}

void SendLedgerTo(Blackboard& board, const core::RouterIdentity& router) {
  if (IsOfOwnDomain(board, router)) {
    board.outbox->Add(router, board.ledger->FullReport(), &wire::Message::mutable_service_report);
  } else {
    board.outbox->Add(router, board.ledger->FullDomainReport(),
                      &wire::Message::mutable_domain_report);
  }
  // The first member that is found is asked at once, and the first one of the own domain.
  if (!board.ledger->has_state() ||
      (!board.ledger->has_domain_state() && IsOfOwnDomain(board, router))) {
    RequestLedger(board, router);
  }
}

void TickLedger(Blackboard& board) {
  const auto now = board.clock.now();
  const bool waits = !board.ledger_wait_ended && !board.ledger->has_domain_state();
  if (!waits && now < board.next_report && now < board.next_domain_report) {
    return;
  }
  const auto domains = MembersByDomain(board);
  RequestMissingState(board, domains);
  if (now >= board.next_report) {
    const auto own = domains.find(board.domain);
    SendServiceReport(board,
                      own == domains.end() ? std::vector<core::RouterIdentity>() : own->second);
    board.ledger->Fold(now);
  }
  if (now >= board.next_domain_report) {
    SendDomainReports(board, domains);
  }
}

bool IsOfOwnDomain(const Blackboard& board, const core::RouterIdentity& router) {
  if (router == board.self) {
    return true;
  }
  const auto* member = board.members->Find(router);
  return member != nullptr && member->domain == board.domain;
}

bool MayAllocate(const Blackboard& board) {
  return board.ledger->has_state() || board.clock.now() - board.started >= kLedgerWait ||
         board.members->LiveMembers().empty();
}

scheduling::FairnessInputs FairnessInputsOf(const Blackboard& board) {
  const auto& configuration = *board.configuration;
  scheduling::FairnessInputs inputs;
  inputs.largest_request_cost = configuration.limits.largest_request_cost;
  inputs.largest_uncharged_cost = configuration.limits.largest_request_cost;
  for (const auto& [id, runner] : board.runners.entries()) {
    inputs.slots += runner.slots;
  }
  inputs.highest_service_rate = inputs.slots * configuration.limits.slot_service_rate;
  const auto peers = board.members->LiveMembers().size();
  const auto routers = board.members->LiveRouters(board.domain).size();
  const auto members = routers > 0 ? routers - 1 : 0;
  const auto others = peers > members ? peers - members : 0;
  // A counter reaches another domain with a service report to the home and then a domain report.
  inputs.staleness =
      std::max(board.report_period, scheduling::MemberReportPeriod(members, kTypicalReportBytes)) +
      std::max(board.domain_report_period,
               scheduling::DomainReportPeriod(others * kTypicalDomainReportBytes)) +
      2 * kNetworkDelay;
  for (const auto& workspace : configuration.workspaces) {
    inputs.smallest_share = std::min(inputs.smallest_share, workspace.share);
  }
  return inputs;
}

}  // namespace pomelospar::daemon
