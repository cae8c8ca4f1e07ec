#include "services/pomelospar_edge/router_state.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "libraries/core/identifiers.h"

namespace pomelospar::edge {

void IndexRunners(RouterState& state) {
  state.runners_by_upstream.clear();
  for (const auto& [id, runner] : state.runners) {
    state.runners_by_upstream[runner->record.upstream].push_back(runner);
  }
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

bool AcceptsNewRequests(const Runner& runner) { return !runner.record.draining; }

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

WorkspaceWindow& WindowOf(RouterState& state, const std::string& workspace) {
  return state.workspaces.try_emplace(workspace, ShareWindow(state)).first->second;
}

double ShareUse(RouterState& state, const std::string& workspace, double tokens) {
  if (workspace.empty() || state.share_level <= 0.0) return 0.0;
  const auto now = state.clock.now();
  const auto peers = state.peers.UsageOf(core::HashName(workspace));
  const double served = WindowOf(state, workspace).served.Sum(now) + peers.served;
  return (served + tokens) / state.share_level;
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
  std::unordered_map<std::uint64_t, double> demand;
  double served = 0.0;
  for (const auto& [key, usage] : state.peers.usage()) {
    demand[key] += usage.asked;
    served += usage.served;
  }
  for (const auto& [name, window] : state.workspaces) {
    demand[core::HashName(name)] += window.asked.Sum(now);
    served += window.served.Sum(now);
  }
  std::vector<double> demands;
  demands.reserve(demand.size());
  for (const auto& [key, tokens] : demand) demands.push_back(tokens);
  const double seconds = std::chrono::duration<double>(ShareWindow(state)).count();
  // Engines do not read cached prompt parts again, so they may serve more tokens than the
  // operator's capacity.
  const double capacity = std::max(state.policy->tokens_per_second * seconds, served);
  state.share_capacity = capacity;
  state.share_level = dispatch::MaxMinLevel(demands, capacity);
}

}  // namespace pomelospar::edge
