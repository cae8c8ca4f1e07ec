#include "libraries/dispatch/placement.h"

#include <algorithm>
#include <cmath>

namespace pomelospar::dispatch {
namespace {

// An engine that uses more than this fraction of its memory preempts running requests, whose
// prompts are then prefilled again.
constexpr double kMaxMemoryFraction = 0.92;
// Cost of a failed request to its caller, expressed as a wait: the time of a typical second
// attempt.
constexpr double kFailureCostMs = 1500.0;
// An engine that fails a larger fraction of its requests gets a request only if no other engine can
// take it.
constexpr double kMaxFailureRate = 0.6;
// The prefill time counts this many times, because prefill delays all other requests of the engine
// and evicts other parts from its cache. A cached prefix is thus worth a wait of this many times
// its prefill time.
constexpr double kPrefillWeight = 4.0;
// The queue limit of an engine is reduced by this many times the prefill time of the parts that
// another engine has cached. When all engines are busy, prefilling them again takes capacity from
// other requests.
constexpr double kRepeatedPrefillWeight = 3.0;
// Time to prepare a copy between the prefix caches of two engines.
constexpr double kCacheCopySetupMs = 5.0;

struct ScoredPlacement {
  EnginePlacement placement;
  double cost = 0.0;
  /// Forecast time to the first event in milliseconds.
  double forecast_ms = 0.0;
};

bool HasSlot(const EngineOption& option) {
  return option.load.active < option.slots * option.usable_fraction;
}

bool HasMemory(const EngineOption& option, const EngineRequest& request) {
  const double memory = option.load.memory_tokens + request.prompt_tokens + request.output_tokens;
  return memory <= option.memory_capacity * kMaxMemoryFraction;
}

bool FailsMostRequests(const EngineOption& option) { return option.failure_rate > kMaxFailureRate; }

double MostCachedTokens(std::span<const EngineOption> options) {
  double most = 0.0;
  for (const auto& option : options) most = std::max(most, option.cached_tokens);
  return most;
}

double QueueLimitMs(const EngineOption& option, const EngineRequest& request) {
  return request.queue_limit_ms * option.usable_fraction;
}

// Returns the queue limit of an engine that would prefill again what another engine has cached.
double RepeatedPrefillQueueLimitMs(const EngineSpeed& speed, const EngineOption& option,
                                   const EngineRequest& request, double most_cached) {
  const double repeated = PrefillMs(speed, most_cached - option.cached_tokens,
                                    request.prompt_tokens, option.load.active);
  return QueueLimitMs(option, request) - kRepeatedPrefillWeight * repeated;
}

Rejection RejectionOf(const EngineSpeed& speed, const EngineOption& option,
                      const EngineRequest& request, double most_cached) {
  if (!HasSlot(option)) return Rejection::kSlots;
  if (!HasMemory(option, request)) return Rejection::kMemory;
  const double queue = QueueMs(speed, option.load) * option.slowdown;
  if (queue > QueueLimitMs(option, request)) return Rejection::kQueue;
  const double limit = RepeatedPrefillQueueLimitMs(speed, option, request, most_cached);
  return queue > limit ? Rejection::kRepeatedPrefill : Rejection::kNone;
}

ScoredPlacement Score(const EngineSpeed& speed, const EngineOption& option,
                      const EngineRequest& request, std::size_t index) {
  const double uncached_tokens = std::max(request.prompt_tokens - option.cached_tokens, 1.0);
  const double prefill =
      PrefillMs(speed, uncached_tokens, request.prompt_tokens, option.load.active);
  const double queue = QueueMs(speed, option.load);
  const double expected_cached_prefill =
      PrefillMs(speed, option.expected_cached_tokens, request.prompt_tokens, option.load.active);
  ScoredPlacement scored;
  scored.placement = {index, uncached_tokens, queue * option.slowdown,
                      queue + prefill + speed.first_event_ms};
  scored.cost = (scored.placement.first_event_ms + option.unreported_work_ms +
                 (kPrefillWeight - 1.0) * prefill - kPrefillWeight * expected_cached_prefill) *
                    option.slowdown +
                kFailureCostMs * option.failure_rate +
                DomainCostMs(request.leaving, option.other_domain);
  scored.forecast_ms =
      (scored.placement.first_event_ms + option.unreported_work_ms) * option.slowdown;
  return scored;
}

}  // namespace

double FewestUncachedTokens(std::span<const EngineOption> options, double prompt_tokens) {
  return std::max(prompt_tokens - MostCachedTokens(options), 1.0);
}

double UnreportedWorkMs(double mean_ms, double draw) { return -mean_ms * std::log(draw); }

std::vector<Assessment> AssessEngines(const EngineSpeed& speed,
                                      std::span<const EngineOption> options,
                                      const EngineRequest& request) {
  const double most_cached = MostCachedTokens(options);
  std::vector<Assessment> assessments;
  assessments.reserve(options.size());
  for (std::size_t index = 0; index < options.size(); ++index) {
    const auto scored = Score(speed, options[index], request, index);
    assessments.push_back({.rejection = RejectionOf(speed, options[index], request, most_cached),
                           .cost = scored.cost,
                           .forecast_ms = scored.forecast_ms,
                           .fails_most_requests = FailsMostRequests(options[index])});
  }
  return assessments;
}

std::optional<EnginePlacement> PlaceAtEngine(const EngineSpeed& speed,
                                             std::span<const EngineOption> options,
                                             const EngineRequest& request) {
  const double most_cached = MostCachedTokens(options);
  DomainCandidates sound;
  DomainCandidates failing;
  for (std::size_t index = 0; index < options.size(); ++index) {
    const auto& option = options[index];
    if (RejectionOf(speed, option, request, most_cached) != Rejection::kNone) continue;
    const auto scored = Score(speed, option, request, index);
    auto& candidates = FailsMostRequests(option) ? failing : sound;
    candidates.Add(index, option.other_domain, scored.cost, scored.forecast_ms);
  }
  const auto choice = ChooseDomain(sound.empty() ? failing : sound, request.leaving);
  if (!choice) return std::nullopt;
  auto placement = Score(speed, options[choice->option], request, choice->option).placement;
  placement.domain = *choice;
  return placement;
}

std::optional<CacheCopy> PlanCacheCopy(const EngineSpeed& speed,
                                       std::span<const EngineOption> options, std::size_t chosen,
                                       double prompt_tokens, double tokens_per_ms) {
  if (tokens_per_ms <= 0.0) return std::nullopt;
  CacheCopy copy = {.source = chosen};
  for (std::size_t index = 0; index < options.size(); ++index) {
    if (FailsMostRequests(options[index])) continue;
    if (options[index].cached_tokens > options[copy.source].cached_tokens) copy.source = index;
  }
  copy.tokens = options[copy.source].cached_tokens - options[chosen].cached_tokens;
  copy.saved_ms = PrefillMs(speed, copy.tokens, prompt_tokens, options[chosen].load.active) -
                  copy.tokens / tokens_per_ms - kCacheCopySetupMs;
  if (copy.saved_ms <= 0.0) return std::nullopt;
  return copy;
}

EngineRejections CountEngineRejections(const EngineSpeed& speed,
                                       std::span<const EngineOption> options,
                                       const EngineRequest& request) {
  const double most_cached = MostCachedTokens(options);
  EngineRejections rejections;
  for (const auto& option : options) {
    switch (RejectionOf(speed, option, request, most_cached)) {
      case Rejection::kSlots:
        ++rejections.slots;
        break;
      case Rejection::kMemory:
        ++rejections.memory;
        break;
      case Rejection::kQueue:
        ++rejections.queue;
        break;
      case Rejection::kRepeatedPrefill:
        ++rejections.repeated_prefill;
        break;
      case Rejection::kNone:
        break;
    }
  }
  return rejections;
}

Assessment AssessService(const ServiceOption& option, double queue_factor,
                         const LeavingTerms& leaving) {
  const double rounds = 1.0 + option.active / std::max(option.slots, 1.0);
  const double forecast = rounds * option.latency_ms;
  const bool has_room = option.active < option.slots * queue_factor;
  return {.rejection = has_room ? Rejection::kNone : Rejection::kSlots,
          .cost = forecast + kFailureCostMs * option.failure_rate +
                  DomainCostMs(leaving, option.other_domain),
          .forecast_ms = forecast};
}

std::optional<DomainChoice> PlaceAtService(std::span<const ServiceOption> options,
                                           double queue_factor, const LeavingTerms& leaving) {
  DomainCandidates candidates;
  for (std::size_t index = 0; index < options.size(); ++index) {
    const auto assessed = AssessService(options[index], queue_factor, leaving);
    if (assessed.rejection != Rejection::kNone) continue;
    candidates.Add(index, options[index].other_domain, assessed.cost, assessed.forecast_ms);
  }
  return ChooseDomain(candidates, leaving);
}

}  // namespace pomelospar::dispatch
