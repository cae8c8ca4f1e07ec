#include "services/pomelospar_edge/router_state.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "libraries/core/identifiers.h"
#include "libraries/core/milliseconds.h"
#include "libraries/dispatch/policy_knowledge.h"

namespace pomelospar::edge {

namespace {

const dispatch::UpstreamPolicy* FindUpstream(const RouterState& state, const Runner& runner) {
  if (!state.policy) return nullptr;
  const auto found = state.policy->upstreams.find(runner.record.upstream);
  return found == state.policy->upstreams.end() ? nullptr : &found->second;
}

void LogCold(RouterState& state, const Runner& runner, std::string_view reason) {
  state.log.Write(
      core::LogLevel::kInfo, "runner_cold",
      {{"runner", runner.record.id},
       {"domain", runner.record.domain},
       {"reason", reason},
       {"left_ms", core::ToMilliseconds(dispatch::ColdUntil(runner.cold) - state.clock.now())}});
}

std::uint64_t CountRequestsIn(const RouterState& state, std::string_view domain) {
  double requests = 0.0;
  for (const auto& [id, runner] : state.runners) {
    if (runner->record.domain == domain) requests += runner->own.active;
  }
  return static_cast<std::uint64_t>(requests);
}

void LogEvacuation(RouterState& state, const std::string& domain, std::string_view phase,
                   std::string_view source) {
  state.log.Write(core::LogLevel::kWarning, "evacuation",
                  {{"domain", domain},
                   {"phase", phase},
                   {"source", source},
                   {"store_version", state.evacuations.position.version},
                   {"requests", CountRequestsIn(state, domain)}});
}

void EndEvacuation(RouterState& state, const std::string& domain, std::string_view source) {
  LogEvacuation(state, domain, "ended", source);
  for (const auto& [id, runner] : state.runners) {
    if (runner->record.domain != domain) continue;
    const auto* upstream = FindUpstream(state, *runner);
    if (upstream == nullptr) continue;
    // Only what was read from the store is told to the other routers, so that a late report does
    // not extend the time.
    if (source == "store") {
      ObserveCold(state, *runner, "evacuation_ended");
    } else {
      TellCold(state, *runner, upstream->cold_start, "evacuation_ended");
    }
  }
}

void SetEvacuatedDomainsGauge(RouterState& state) {
  const auto count = state.evacuations.domains.size() + state.kept_evacuations.domains.size();
  state.metrics
      .FindGauge("pomelospar_evacuated_domains", "Failure domains that the operator has evacuated.",
                 {})
      .Set(static_cast<double>(count));
}

// False if the capacity meets all demands, or if there is no level yet.
bool IsShareLimited(const RouterState& state) {
  return state.share_level > 0.0 && !std::isinf(state.share_level);
}

}  // namespace

void IndexRunners(RouterState& state) {
  state.runners_by_upstream.clear();
  for (const auto& [id, runner] : state.runners) {
    state.runners_by_upstream[runner->record.upstream].push_back(runner);
  }
}

bool HasDiscoveredPeers(const RouterState& state) {
  return state.clock.now() - state.started_at >= dispatch::kPeerDiscovery;
}

bool PolicyIsFresh(const RouterState& state, core::Duration limit) {
  return state.policy && state.clock.since_boot() - state.policy_confirmed_at <= limit;
}

dispatch::EngineLoad FleetLoad(const RouterState& state, const Runner& runner,
                               core::TimePoint now) {
  // Older knowledge of the coordinator is replaced by the reports, which are this old on average.
  constexpr core::Duration kReportAge = std::chrono::milliseconds(200);
  const auto& known = runner.load_of_others;
  auto load = now - known.known_at < kReportAge ? known.load : state.peers.LoadOf(runner.key);
  load += runner.own;
  return load;
}

bool IsEvacuated(const RouterState& state, const Runner& runner) {
  const auto& domain = runner.record.domain;
  return state.evacuations.domains.contains(domain) ||
         state.kept_evacuations.domains.contains(domain);
}

bool AcceptsNewRequests(const RouterState& state, const Runner& runner) {
  if (runner.record.draining || runner.notices.leaving || IsEvacuated(state, runner)) return false;
  return !runner.unconfirmed_until || state.clock.now() >= *runner.unconfirmed_until;
}

bool IsCold(const RouterState& state, const Runner& runner) {
  // Called for each runner at each placement, and nearly always false: the search by name is last.
  if (!dispatch::IsCold(runner.cold, state.clock.now())) return false;
  const auto* upstream = FindUpstream(state, runner);
  return upstream != nullptr && upstream->cold_starts_per_second > 0.0;
}

void ObserveCold(RouterState& state, Runner& runner, std::string_view reason) {
  const auto* upstream = FindUpstream(state, runner);
  if (upstream != nullptr) ObserveCold(state, runner, upstream->cold_start, reason);
}

void ObserveCold(RouterState& state, Runner& runner, core::Duration left, std::string_view reason) {
  const auto* upstream = FindUpstream(state, runner);
  if (upstream == nullptr || upstream->cold_starts_per_second <= 0.0) return;
  const bool was_cold = IsCold(state, runner);
  dispatch::ObserveCold(runner.cold, state.clock.now(), left);
  if (!was_cold && IsCold(state, runner)) LogCold(state, runner, reason);
}

void TellCold(RouterState& state, Runner& runner, core::Duration left, std::string_view source) {
  if (left <= core::Duration::zero()) return;
  const bool was_cold = IsCold(state, runner);
  dispatch::TellCold(runner.cold, state.clock.now(), left);
  if (!was_cold && IsCold(state, runner)) LogCold(state, runner, source);
}

void AdoptEvacuations(RouterState& state, const dispatch::Evacuations& read,
                      std::string_view source) {
  if (!dispatch::IsNewer(read, state.evacuations)) return;
  const auto before = std::exchange(state.evacuations, read);
  auto& kept = state.kept_evacuations;
  for (const auto& domain : read.domains) {
    const bool was_kept = kept.domains.erase(domain) > 0;
    if (!before.domains.contains(domain) && !was_kept) {
      LogEvacuation(state, domain, "in_force", source);
    }
  }
  const bool is_return = before.position.epoch && read.position.epoch > before.position.epoch;
  for (const auto& domain : before.domains) {
    if (read.domains.contains(domain)) continue;
    if (is_return) {
      kept.domains.insert(domain);
      kept.until = state.clock.now() + dispatch::kOperatorRewriteTime;
      LogEvacuation(state, domain, "kept", source);
    } else {
      EndEvacuation(state, domain, source);
    }
  }
  SetEvacuatedDomainsGauge(state);
}

void EndKeptEvacuation(RouterState& state, const std::string& domain) {
  if (state.kept_evacuations.domains.erase(domain) == 0) return;
  EndEvacuation(state, domain, "store");
  SetEvacuatedDomainsGauge(state);
}

void EndLapsedEvacuations(RouterState& state) {
  auto& kept = state.kept_evacuations;
  if (kept.domains.empty() || state.clock.now() < kept.until) return;
  const auto lapsed = std::exchange(kept.domains, {});
  for (const auto& domain : lapsed) EndEvacuation(state, domain, "not_written_again");
  SetEvacuatedDomainsGauge(state);
}

void MarkLeaving(RouterState& state, Runner& runner, std::string_view source) {
  if (std::exchange(runner.notices.leaving, true)) return;
  state.log.Write(core::LogLevel::kInfo, "runner_leaves",
                  {{"runner", runner.record.id}, {"source", source}});
}

std::size_t CountWaiting(const RouterState& state) {
  std::size_t count = 0;
  for (const auto& [upstream, queue] : state.waiting) count += queue.size();
  return count;
}

void TryWaiting(RouterState& state) {
  for (auto& [upstream, queue] : state.waiting) queue.TryAll();
}

double ShareTokens(const dispatch::Prompt& prompt) {
  // The operator's capacity in tokens per second counts a generated token as two prompt tokens.
  constexpr double kGeneratedWeight = 2.0;
  return prompt.input_tokens + kGeneratedWeight * dispatch::ExpectedOutputTokens(prompt);
}

core::Duration ShareWindow(const RouterState& state) { return state.settings.share_window / 3; }

dispatch::WorkspaceUsage UsageAt(const WorkspaceWindow& window, core::TimePoint now) {
  return {.asked = window.asked.Sum(now),
          .forecast = window.asked.Forecast(now),
          .served = window.served.Sum(now)};
}

WorkspaceWindow& WindowOf(RouterState& state, const std::string& workspace) {
  return state.workspaces.try_emplace(workspace, ShareWindow(state)).first->second;
}

double ShareUse(RouterState& state, const std::string& workspace, double tokens) {
  if (workspace.empty() || state.share_level <= 0.0) return 0.0;
  return ShareUse(state, workspace, WindowOf(state, workspace), tokens);
}

double ShareUse(const RouterState& state, const std::string& workspace,
                const WorkspaceWindow& window, double tokens) {
  if (workspace.empty() || state.share_level <= 0.0) return 0.0;
  const auto peers = state.peers.UsageOf(core::HashName(workspace));
  const double served = window.served.Sum(state.clock.now()) + peers.served;
  return (served + tokens) / state.share_level;
}

core::Duration TimeUntilAllowed(RouterState& state, const std::string& workspace) {
  if (workspace.empty() || !IsShareLimited(state)) return {};
  return TimeUntilAllowed(state, workspace, WindowOf(state, workspace));
}

core::Duration TimeUntilAllowed(const RouterState& state, const std::string& workspace,
                                WorkspaceWindow& window) {
  // Above 1, so that capacity which the other workspaces leave is used: what is served beyond the
  // level raises it.
  constexpr double kMaxUse = 1.5;
  // Part of the share window whose tokens may be sent at once.
  constexpr double kBurstPart = 0.25;
  if (workspace.empty() || !IsShareLimited(state)) return {};
  const auto now = state.clock.now();
  const double own = window.asked.Sum(now);
  const double all = own + state.peers.UsageOf(core::HashName(workspace)).asked;
  const double part = all > 0.0 ? own / all : 1.0;
  const double tokens_per_window = kMaxUse * state.share_level * part;
  const double seconds = std::chrono::duration<double>(ShareWindow(state)).count();
  if (!window.allowance.is_active()) {
    window.allowance.Begin(now, tokens_per_window - window.served.Sum(now));
  }
  window.allowance.Refill(now, tokens_per_window / seconds, tokens_per_window * kBurstPart);
  return window.allowance.TimeUntilAllowed();
}

void CountServed(RouterState& state, const std::string& workspace, dispatch::RequestUse& use) {
  auto& window = WindowOf(state, workspace);
  if (IsShareLimited(state)) {
    window.allowance.Take(use.uncounted_tokens());
  } else {
    window.allowance.Suspend();
  }
  use.Count(window.served, state.clock.now());
}

void TakeBackServed(RouterState& state, const std::string& workspace, dispatch::RequestUse& use) {
  auto& window = WindowOf(state, workspace);
  window.allowance.GiveBack(use.all_tokens() - use.uncounted_tokens());
  use.TakeBack(window.served, state.clock.now());
}

void RecordPrefix(Runner& runner, const dispatch::EngineLimits& limits,
                  const dispatch::EngineLoad& load, std::span<const dispatch::PromptPart> parts) {
  // Running requests take memory from the cache; at least this share of the memory is counted as
  // left for it.
  constexpr double kMinCacheShare = 0.1;
  const double left = limits.memory_tokens - load.memory_tokens;
  runner.prefixes.Insert(parts, std::max(left, limits.memory_tokens * kMinCacheShare));
}

void UpdateShareLevel(RouterState& state) {
  if (!state.policy || state.policy->tokens_per_second <= 0.0) {
    state.share_level = 0.0;
    return;
  }
  const auto now = state.clock.now();
  std::unordered_map<std::uint64_t, dispatch::ShareDemand> demand_by_workspace;
  double served = 0.0;
  const auto add = [&](std::uint64_t workspace, const dispatch::WorkspaceUsage& usage) {
    auto& demand = demand_by_workspace[workspace];
    demand.asked += usage.asked;
    demand.forecast += usage.forecast;
    served += usage.served;
  };
  for (const auto& [key, usage] : state.peers.usage()) add(key, usage);
  for (const auto& [name, window] : state.workspaces) {
    add(core::HashName(name), UsageAt(window, now));
  }
  std::vector<dispatch::ShareDemand> demands;
  demands.reserve(demand_by_workspace.size());
  for (const auto& [key, demand] : demand_by_workspace) demands.push_back(demand);
  const double seconds = std::chrono::duration<double>(ShareWindow(state)).count();
  // Engines do not read cached prompt parts again, so they may serve more tokens than the
  // operator's capacity.
  const double capacity = std::max(state.policy->tokens_per_second * seconds, served);
  state.share_capacity = capacity;
  state.share_level =
      dispatch::MaxMinLevel(dispatch::CompetingDemands(demands, capacity), capacity);
}

}  // namespace pomelospar::edge
