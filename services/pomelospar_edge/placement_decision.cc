#include "services/pomelospar_edge/placement_decision.h"

#include <algorithm>
#include <utility>

#include "libraries/core/identifiers.h"
#include "libraries/core/milliseconds.h"
#include "services/pomelospar_edge/request_admission.h"

namespace pomelospar::edge {
namespace {

using core::ToMilliseconds;

// A runner that has at least this share of the shared prompt parts in its cache saves most of the
// prefill.
constexpr double kCachedShare = 0.9;
// Share of the slots and the queue that this router uses at a runner of another failure domain,
// whose load was reported up to half a second ago. The routers of that failure domain use the rest.
constexpr double kStaleLoadUsableShare = 0.85;
// Mean of the estimated unreported work. In a large fleet the work of other routers is reported
// 0.13 to 0.25 s late on average, and an engine under load prefills during a part of that time.
constexpr double kMeanUnreportedWorkMs = 50.0;

// A request to which so many starts at cold runners were refused uses warm runners only, if there
// are any: each refused start costs a round trip.
constexpr unsigned kMaxWithheldColdStarts = 3;

// Returns an estimate, in milliseconds, of the work that other routers sent to the runner and have
// not reported yet. Not 0 in a large fleet only.
double EstimateUnreportedWorkMs(const RouterState& state, const PlacementQuery& query,
                                const Runner& runner) {
  if (!state.is_large_fleet) return 0.0;
  const double draw = core::UnitFraction(core::CombineHashes(runner.key, query.attempt_hash));
  return dispatch::UnreportedWorkMs(kMeanUnreportedWorkMs, 1.0 - draw);
}

// If no runner has the prompt's shared parts in its cache, prefers the runner that all routers
// choose for these parts by rendezvous hashing. Prompts that arrive at several routers at the same
// time are then sent to the same runner.
void PreferRendezvousEngine(const RouterState& state, const dispatch::Prompt& prompt,
                            std::span<Runner* const> candidates,
                            std::span<dispatch::EngineOption> options) {
  const auto key = dispatch::SharedPrefixKey(prompt.parts);
  if (key == 0) return;
  const double shared = prompt.input_tokens - prompt.parts.back().tokens;
  const bool cached_somewhere =
      std::any_of(options.begin(), options.end(), [&](const dispatch::EngineOption& option) {
        return option.cached_tokens >= shared * kCachedShare;
      });
  if (cached_somewhere) return;
  // By the home-first rule each failure domain keeps its own copy, because all prompts with these
  // parts would otherwise leave all domains but one.
  const auto& own_domain = state.settings.domain;
  const bool home_first = state.settings.cross_domain_ms_per_mib.has_value();
  const auto preference = [&](const Runner* runner) {
    return std::pair(home_first && runner->record.domain == own_domain,
                     core::CombineHashes(key, runner->key));
  };
  const auto common = std::max_element(candidates.begin(), candidates.end(),
                                       [&](const Runner* left, const Runner* right) {
                                         return preference(left) < preference(right);
                                       });
  options[static_cast<std::size_t>(common - candidates.begin())].expected_cached_tokens = shared;
}

// Returns the conditions for sending the request to another failure domain. Without a price in the
// settings it goes where its cost is lowest.
dispatch::LeavingTerms DescribeLeaving(const RouterState& state, const PlacementQuery& query,
                                       const PlacementRecords& records) {
  const auto& price = state.settings.cross_domain_ms_per_mib;
  if (!price) return {};
  const auto now = state.clock.now();
  dispatch::LeavingTerms terms;
  terms.price_ms = dispatch::LeavingPriceMs(price, static_cast<double>(query.body_bytes));
  // Engines are compared by their first event, other services by their whole response.
  if (query.route->streaming || !query.upstream->engine) {
    terms.objective_ms =
        std::max(ToMilliseconds(query.route->objective - (now - query.received)), 0.0);
  }
  // The same draw at each call, so that waiting longer does not make the request leave by chance.
  terms.may_leave =
      DrawFor(query.attempt_hash, core::HashName("leave")) < records.leaving_share->At(now);
  return terms;
}

}  // namespace

Exclusion ExclusionOf(const RouterState& state, const Runner& runner,
                      std::span<const std::string> tried, core::TimePoint now) {
  if (!AcceptsNewRequests(state, runner)) {
    if (IsEvacuated(state, runner)) return Exclusion::kEvacuated;
    return runner.record.draining ? Exclusion::kDraining : Exclusion::kLeaving;
  }
  if (!dispatch::MaySend(runner.notices, now, runner.own.active)) {
    return runner.notices.misdirected ? Exclusion::kMisdirected : Exclusion::kResting;
  }
  if (!runner.health.IsUsable(now)) return Exclusion::kUnhealthy;
  if (std::find(tried.begin(), tried.end(), runner.record.id) != tried.end()) {
    return Exclusion::kTried;
  }
  const bool is_paused = now < runner.cold.next_request_at && IsCold(state, runner);
  return is_paused ? Exclusion::kColdPause : Exclusion::kNone;
}

std::span<const std::shared_ptr<Runner>> RunnersOf(const RouterState& state,
                                                   const dispatch::UpstreamPolicy& upstream) {
  const auto found = state.runners_by_upstream.find(upstream.name);
  if (found == state.runners_by_upstream.end()) return {};
  return found->second;
}

std::vector<Runner*> FindCandidates(const RouterState& state, const PlacementQuery& query) {
  const auto runners = RunnersOf(state, *query.upstream);
  const auto now = state.clock.now();
  std::vector<Runner*> candidates;
  candidates.reserve(runners.size());
  std::vector<Runner*> cold;
  for (const auto& runner : runners) {
    if (ExclusionOf(state, *runner, query.tried, now) != Exclusion::kNone) continue;
    (IsCold(state, *runner) ? cold : candidates).push_back(runner.get());
  }
  if (query.withheld_cold_starts < kMaxWithheldColdStarts || candidates.empty()) {
    candidates.insert(candidates.end(), cold.begin(), cold.end());
  }
  return candidates;
}

core::Duration TimeUntilRested(const RouterState& state, const dispatch::UpstreamPolicy& upstream) {
  const auto now = state.clock.now();
  std::optional<core::TimePoint> earliest;
  for (const auto& runner : RunnersOf(state, upstream)) {
    if (!AcceptsNewRequests(state, *runner)) continue;
    if (!dispatch::IsResting(runner->notices, now)) return core::Duration::zero();
    earliest = std::min(earliest.value_or(core::TimePoint::max()), runner->notices.rest_until);
  }
  return earliest ? *earliest - now : core::Duration::zero();
}

bool AllRunnersEvacuated(const RouterState& state, const dispatch::UpstreamPolicy& upstream) {
  if (state.evacuations.domains.empty() && state.kept_evacuations.domains.empty()) return false;
  const auto runners = RunnersOf(state, upstream);
  return !runners.empty() && std::all_of(runners.begin(), runners.end(), [&](const auto& runner) {
    return IsEvacuated(state, *runner);
  });
}

std::vector<dispatch::EngineOption> DescribeEngines(const RouterState& state,
                                                    const PlacementQuery& query,
                                                    std::span<Runner* const> candidates) {
  const auto now = state.clock.now();
  const double slot_share = dispatch::MaxSlotFraction(query.admission);
  std::vector<dispatch::EngineOption> options;
  options.reserve(candidates.size());
  const auto cached_tokens = state.prefix_index->CachedTokens(query.prefix_hashes);
  for (const auto* runner : candidates) {
    const bool other_domain = runner->record.domain != state.settings.domain;
    options.push_back(
        {.load = FleetLoad(state, *runner, now),
         .slowdown = runner->health.slowdown(now),
         .failure_rate = runner->health.failure_rate(now),
         .cached_tokens = cached_tokens[runner->prefixes.cache()],
         .memory_capacity = query.upstream->engine->memory_tokens,
         .slots = static_cast<double>(runner->record.slots) * slot_share,
         .usable_fraction = other_domain && state.is_large_fleet ? kStaleLoadUsableShare : 1.0,
         .unreported_work_ms = EstimateUnreportedWorkMs(state, query, *runner),
         .other_domain = other_domain});
  }
  return options;
}

dispatch::EngineRequest DescribeEngineRequest(const RouterState& state, const PlacementQuery& query,
                                              std::span<const dispatch::EngineOption> options,
                                              const PlacementRecords& records) {
  const auto& prompt = *query.prompt;
  const auto& speed = state.engine_speed;
  const double uncached_tokens = dispatch::FewestUncachedTokens(options, prompt.input_tokens);
  const double prefill_ms = dispatch::PrefillMs(speed, uncached_tokens, prompt.input_tokens, 0.0);
  auto& recent_work = *records.recent_work;
  if (!query.is_work_recorded) recent_work.AddPrompt(query.route->objective, prefill_ms);
  return {.prompt_tokens = prompt.input_tokens,
          .output_tokens = dispatch::ExpectedOutputTokens(prompt),
          .queue_limit_ms = dispatch::QueueWaitLimitMs(
              speed, ToMilliseconds(recent_work.LimitingObjective()), prefill_ms,
              recent_work.TypicalPrefillMs(), query.admission),
          .leaving = DescribeLeaving(state, query, records)};
}

EngineChoice ChooseEngine(const RouterState& state, const PlacementQuery& query,
                          std::span<Runner* const> candidates, const PlacementRecords& records) {
  const auto& speed = state.engine_speed;
  EngineChoice choice;
  if (candidates.empty()) return choice;
  choice.options = DescribeEngines(state, query, candidates);
  PreferRendezvousEngine(state, *query.prompt, candidates, choice.options);
  choice.request = DescribeEngineRequest(state, query, choice.options, records);
  choice.placement = dispatch::PlaceAtEngine(speed, choice.options, choice.request);
  if (!choice.placement) return choice;
  auto& placement = *choice.placement;
  choice.copy =
      dispatch::PlanCacheCopy(speed, choice.options, placement.option, choice.request.prompt_tokens,
                              query.upstream->engine->cache_copy_tokens_per_ms);
  if (choice.copy) {
    placement.prefill_tokens = std::max(placement.prefill_tokens - choice.copy->tokens, 1.0);
    placement.first_event_ms -= choice.copy->saved_ms;
  }
  return choice;
}

ServiceChoice ChooseService(const RouterState& state, const PlacementQuery& query,
                            std::span<Runner* const> candidates, const PlacementRecords& records) {
  const auto now = state.clock.now();
  ServiceChoice choice;
  choice.options.reserve(candidates.size());
  for (const auto* runner : candidates) {
    choice.options.push_back({.active = FleetLoad(state, *runner, now).active,
                              .slots = static_cast<double>(runner->record.slots),
                              .latency_ms = std::max(runner->health.latency_ms(), 1.0),
                              .failure_rate = runner->health.failure_rate(now),
                              .other_domain = runner->record.domain != state.settings.domain});
  }
  choice.leaving = DescribeLeaving(state, query, records);
  choice.chosen = dispatch::PlaceAtService(choice.options, kServiceQueueFactor, choice.leaving);
  return choice;
}

WaitTerms DescribeWait(const RouterState& state, const PlacementQuery& query,
                       core::Duration until_within_share, core::Duration time_left) {
  const auto objective = query.tried.empty() ? query.route->objective : query.route->objective * 2;
  const auto limit = dispatch::HoldLimit(objective, time_left, query.admission);
  const auto until_rested = TimeUntilRested(state, *query.upstream);
  return {.until = state.clock.now() + limit,
          .until_within_share = until_within_share,
          .until_rested = until_rested,
          .is_beyond_share = until_within_share > limit,
          .all_rest = until_rested > limit};
}

bool MayFindRunner(const RouterState& state, const PlacementQuery& query, const WaitTerms& wait) {
  return !wait.is_beyond_share && !wait.all_rest && !AllRunnersEvacuated(state, *query.upstream);
}

Refusal NoCapacityRefusal(const RouterState& state, const PlacementQuery& query,
                          core::Duration time_left) {
  return {
      503, "no runner has room",
      dispatch::RetryAfter(query.route->objective, time_left, ShareWindow(state), query.admission,
                           DrawFor(query.attempt_hash, core::HashName("back")))};
}

Refusal RefusalAfterWait(const RouterState& state, const PlacementQuery& query,
                         const WaitTerms& wait, core::Duration time_left) {
  auto refusal = NoCapacityRefusal(state, query, time_left);
  if (wait.is_beyond_share) refusal.reason = "the workspace is beyond its share";
  if (AllRunnersEvacuated(state, *query.upstream)) {
    refusal.reason = "all runners are in evacuated failure domains";
  }
  if (wait.all_rest) {
    refusal.reason = "all runners asked for rest";
    refusal.retry_after = std::max(refusal.retry_after, wait.until_rested);
  }
  return refusal;
}

}  // namespace pomelospar::edge
