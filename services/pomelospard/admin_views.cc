#include "services/pomelospard/admin_views.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "libraries/scheduling/fairness_bound.h"
#include "services/pomelospard/ledger_controller.h"
#include "services/pomelospard/runner_controller.h"

namespace pomelospar::daemon {
namespace {

using Json = nlohmann::ordered_json;

std::string_view LifecycleName(Lifecycle lifecycle) {
  switch (lifecycle) {
    case Lifecycle::kStarting:
      return "starting";
    case Lifecycle::kServing:
      return "serving";
    case Lifecycle::kDraining:
      return "draining";
  }
  return "unknown";
}

std::string_view MemberStatusName(const membership::Member& member) {
  if (!member.live()) {
    return "dead";
  }
  if (member.leaving) {
    return "leaving";
  }
  return member.status == membership::MemberStatus::kSuspect ? "suspect" : "alive";
}

template <typename Id>
std::string NameOf(const std::unordered_map<Id, std::string>& names, Id id) {
  const auto found = names.find(id);
  return found != names.end() ? found->second : std::to_string(core::Raw(id));
}

std::string RunnerState(const Blackboard& board, const runners::RunnerEntry& runner) {
  const auto reason =
      board.notices->UnusableReason(runner.address, runner.incarnation, board.clock.now());
  if (!reason) {
    return "live";
  }
  switch (*reason) {
    case wire::NOTICE_RUNNER_LEAVING:
      return "leaving";
    case wire::NOTICE_RUNNER_DRAINED:
      return "drained";
    default:
      return "down";
  }
}

std::size_t QueuedRequests(const Blackboard& board) {
  std::size_t queued = 0;
  for (const auto& workspace : board.configuration->workspaces) {
    queued += board.queues.QueuedRequests(workspace.id);
  }
  return queued;
}

}  // namespace

Json StatusView(const Blackboard& board) {
  Json view;
  view["address"] = board.self.address;
  view["incarnation"] = board.self.incarnation;
  view["failure_domain"] = board.settings.failure_domain;
  view["region"] = board.settings.region;
  view["lifecycle"] = LifecycleName(board.lifecycle);
  view["ready"] = board.lifecycle == Lifecycle::kServing;
  view["leaving"] = board.lifecycle == Lifecycle::kDraining;
  view["platform_reachable"] = board.platform_reachable;
  view["uptime_seconds"] = std::chrono::duration<double>(board.clock.now() - board.started).count();
  view["generation"] = board.configuration != nullptr ? board.configuration->generation : 0;
  view["members"] = board.members->LiveMembers().size() + 1;
  view["running_requests"] = board.running.size();
  view["held_grants"] = board.planner->held_grants();
  view["allocated_shards"] = board.first_of.size();
  view["notices"] = board.notices->size();
  view["ledger_incarnations"] = board.ledger->incarnations();
  if (board.configuration != nullptr) {
    const auto inputs = FairnessInputsOf(board);
    view["queued_requests"] = QueuedRequests(board);
    view["fairness_bound"] = scheduling::FairnessBound(inputs);
    view["credit_limit"] = scheduling::CreditLimit(inputs);
  }
  return view;
}

Json WorkspacesView(const Blackboard& board) {
  std::unordered_map<core::WorkspaceId, std::size_t> running;
  for (const auto& [id, request] : board.running) {
    ++running[request.workspace];
  }
  double highest = 0.0;
  for (const auto& workspace : board.configuration->workspaces) {
    if (board.queues.QueuedRequests(workspace.id) > 0) {
      highest = std::max(highest, board.ledger->NormalisedService(workspace.id));
    }
  }
  Json rows = Json::array();
  for (const auto& workspace : board.configuration->workspaces) {
    const auto normalised = board.ledger->NormalisedService(workspace.id);
    rows.push_back({{"name", workspace.name},
                    {"share", workspace.share},
                    {"service", board.ledger->Total(workspace.id)},
                    {"normalised_service", normalised},
                    {"queued", board.queues.QueuedRequests(workspace.id)},
                    {"queued_bytes", board.queues.QueuedBytes(workspace.id)},
                    {"running", running[workspace.id]},
                    {"gap", std::max(0.0, highest - normalised)}});
  }
  return {{"generation", board.configuration->generation},
          {"bound", scheduling::FairnessBound(FairnessInputsOf(board))},
          {"workspaces", std::move(rows)}};
}

Json UpstreamsView(const Blackboard& board) {
  std::unordered_map<core::RunnerId, std::size_t> running;
  for (const auto& [id, request] : board.running) {
    ++running[request.runner];
  }
  Json rows = Json::array();
  for (const auto& upstream : board.configuration->upstreams) {
    Json runners = Json::array();
    for (const auto domain : board.runners.DomainsOf(upstream.id)) {
      for (const auto* runner : board.runners.OfPool(upstream.id, domain)) {
        runners.push_back({{"address", runner->address},
                           {"domain", NameOf(board.names.domains, domain)},
                           {"slots", runner->slots},
                           {"running", running[runner->id]},
                           {"incarnation", runner->incarnation},
                           {"state", RunnerState(board, *runner)}});
      }
    }
    const bool engine = upstream.kind == configuration::UpstreamKind::kModelEngine;
    rows.push_back({{"name", upstream.name},
                    {"kind", engine ? "model_engine" : "plain_service"},
                    {"model", upstream.model},
                    {"checks_fencing", upstream.checks_fencing},
                    {"runners", std::move(runners)}});
  }
  return {{"generation", board.configuration->generation}, {"upstreams", std::move(rows)}};
}

Json MembersView(const Blackboard& board) {
  Json rows = Json::array();
  rows.push_back({{"address", board.self.address},
                  {"incarnation", board.self.incarnation},
                  {"domain", board.settings.failure_domain},
                  {"status", board.members->leaving() ? "leaving" : "self"}});
  for (const auto& [address, member] : board.members->members()) {
    rows.push_back({{"address", address},
                    {"incarnation", member.identity.incarnation},
                    {"domain", NameOf(board.names.domains, member.domain)},
                    {"status", MemberStatusName(member)}});
  }
  return {{"members", std::move(rows)}};
}

Json QuarantineView(const Blackboard& board) {
  Json rows = Json::array();
  for (const auto& fingerprint : board.crashes->Quarantined()) {
    const auto remaining = board.notices->QuarantineOf(fingerprint, board.clock.now());
    Json row = {{"fingerprint", fingerprint}};
    if (remaining) {
      row["remaining_seconds"] = std::chrono::duration<double>(*remaining).count();
    }
    rows.push_back(std::move(row));
  }
  return {{"quarantine", std::move(rows)}, {"suspects", board.crashes->suspects()}};
}

Json RequestView(const RequestRecord& record) {
  Json events = Json::array();
  for (const auto& step : record.steps) {
    const auto elapsed = std::chrono::duration<double, std::milli>(step.elapsed).count();
    events.push_back({{"at_milliseconds", elapsed}, {"event", step.text}});
  }
  return {{"id", record.id},
          {"workspace", record.workspace},
          {"class", record.request_class},
          {"upstream", record.upstream},
          {"generation", record.generation},
          {"state", record.outcome.empty() ? "running" : record.outcome},
          {"status", record.status},
          {"events", std::move(events)}};
}

}  // namespace pomelospar::daemon
