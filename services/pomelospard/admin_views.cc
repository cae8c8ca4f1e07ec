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

std::string RunnerState(const RouterState& state, const runners::RunnerEntry& runner) {
  const auto reason =
      state.notices->UnusableReason(runner.address, runner.incarnation, state.clock.now());
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

std::size_t QueuedRequests(const RouterState& state) {
  std::size_t queued = 0;
  for (const auto& workspace : state.configuration->workspaces) {
    queued += state.queues.QueuedRequests(workspace.id);
  }
  return queued;
}

}  // namespace

Json StatusView(const RouterState& state) {
  Json view;
  view["address"] = state.self.address;
  view["incarnation"] = state.self.incarnation;
  view["failure_domain"] = state.settings.failure_domain;
  view["region"] = state.settings.region;
  view["lifecycle"] = LifecycleName(state.lifecycle);
  view["ready"] = state.lifecycle == Lifecycle::kServing;
  view["leaving"] = state.lifecycle == Lifecycle::kDraining;
  view["platform_reachable"] = state.platform_reachable;
  view["uptime_seconds"] = std::chrono::duration<double>(state.clock.now() - state.started).count();
  view["generation"] = state.configuration != nullptr ? state.configuration->generation : 0;
  view["members"] = state.members->LiveMembers().size() + 1;
  view["running_requests"] = state.running.size();
  view["held_grants"] = state.planner->held_grants();
  view["allocated_shards"] = state.allocated_shards.size();
  view["notices"] = state.notices->size();
  view["ledger_incarnations"] = state.ledger->incarnations();
  if (state.configuration != nullptr) {
    const auto inputs = FairnessInputsOf(state);
    view["queued_requests"] = QueuedRequests(state);
    view["fairness_bound"] = scheduling::FairnessBound(inputs);
    view["credit_limit"] = scheduling::CreditLimit(inputs);
  }
  return view;
}

Json WorkspacesView(const RouterState& state) {
  std::unordered_map<core::WorkspaceId, std::size_t> running;
  for (const auto& [id, request] : state.running) {
    ++running[request.workspace];
  }
  double highest = 0.0;
  for (const auto& workspace : state.configuration->workspaces) {
    if (state.queues.QueuedRequests(workspace.id) > 0) {
      highest = std::max(highest, state.ledger->NormalisedService(workspace.id));
    }
  }
  Json rows = Json::array();
  for (const auto& workspace : state.configuration->workspaces) {
    const auto normalised = state.ledger->NormalisedService(workspace.id);
    rows.push_back({{"name", workspace.name},
                    {"share", workspace.share},
                    {"service", state.ledger->Total(workspace.id)},
                    {"normalised_service", normalised},
                    {"queued", state.queues.QueuedRequests(workspace.id)},
                    {"queued_bytes", state.queues.QueuedBytes(workspace.id)},
                    {"running", running[workspace.id]},
                    {"gap", std::max(0.0, highest - normalised)}});
  }
  return {{"generation", state.configuration->generation},
          {"bound", scheduling::FairnessBound(FairnessInputsOf(state))},
          {"workspaces", std::move(rows)}};
}

Json UpstreamsView(const RouterState& state) {
  std::unordered_map<core::RunnerId, std::size_t> running;
  for (const auto& [id, request] : state.running) {
    ++running[request.runner];
  }
  Json rows = Json::array();
  for (const auto& upstream : state.configuration->upstreams) {
    Json runners = Json::array();
    for (const auto domain : state.runners.DomainsOf(upstream.id)) {
      for (const auto* runner : state.runners.OfPool(upstream.id, domain)) {
        runners.push_back({{"address", runner->address},
                           {"domain", NameOf(state.names.domains, domain)},
                           {"slots", runner->slots},
                           {"running", running[runner->id]},
                           {"incarnation", runner->incarnation},
                           {"state", RunnerState(state, *runner)}});
      }
    }
    const bool engine = upstream.kind == configuration::UpstreamKind::kModelEngine;
    rows.push_back({{"name", upstream.name},
                    {"kind", engine ? "model_engine" : "plain_service"},
                    {"model", upstream.model},
                    {"checks_fencing", upstream.checks_fencing},
                    {"runners", std::move(runners)}});
  }
  return {{"generation", state.configuration->generation}, {"upstreams", std::move(rows)}};
}

Json MembersView(const RouterState& state) {
  Json rows = Json::array();
  rows.push_back({{"address", state.self.address},
                  {"incarnation", state.self.incarnation},
                  {"domain", state.settings.failure_domain},
                  {"status", state.members->leaving() ? "leaving" : "self"}});
  for (const auto& [address, member] : state.members->members()) {
    rows.push_back({{"address", address},
                    {"incarnation", member.identity.incarnation},
                    {"domain", NameOf(state.names.domains, member.domain)},
                    {"status", MemberStatusName(member)}});
  }
  return {{"members", std::move(rows)}};
}

Json QuarantineView(const RouterState& state) {
  Json rows = Json::array();
  for (const auto& fingerprint : state.crashes->Quarantined()) {
    const auto remaining = state.notices->QuarantineOf(fingerprint, state.clock.now());
    Json row = {{"fingerprint", fingerprint}};
    if (remaining) {
      row["remaining_seconds"] = std::chrono::duration<double>(*remaining).count();
    }
    rows.push_back(std::move(row));
  }
  return {{"quarantine", std::move(rows)}, {"suspects", state.crashes->suspects()}};
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
