#ifndef POMELOSPAR_LIBRARIES_DISPATCH_PLACEMENT_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_PLACEMENT_H_

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "libraries/dispatch/domain_choice.h"
#include "libraries/dispatch/engine_model.h"

namespace pomelospar::dispatch {

/// State of a model engine as one router knows it when it places a request.
struct EngineOption {
  EngineLoad load;
  /// Observed time to the first event divided by the predicted time; 1 for an engine that matches
  /// the model.
  double slowdown = 1.0;
  /// Fraction of recent requests that failed.
  double failure_rate = 0.0;
  /// Tokens of this prompt that are in the engine's prefix cache.
  double cached_tokens = 0.0;
  /// Tokens of this prompt that other routers may be about to send to this engine.
  double expected_cached_tokens = 0.0;
  double memory_capacity = 0.0;
  double slots = 0.0;
  /// Fraction of the slots and of the queue limit that this router may use. It is below 1 for an
  /// engine whose load is known with a delay; the routers near the engine use the rest.
  double usable_fraction = 1.0;
  /// Random estimate of the work, in milliseconds, that other routers sent to the engine and that
  /// is not known here yet.
  double unreported_work_ms = 0.0;
  bool other_domain = false;
};

struct EngineRequest {
  double prompt_tokens = 0.0;
  double output_tokens = 0.0;
  /// Longest accepted wait for earlier prompts, in milliseconds.
  double queue_limit_ms = 0.0;
  LeavingTerms leaving = {};
};

struct EnginePlacement {
  std::size_t option = 0;
  double prefill_tokens = 0.0;
  double queue_ms = 0.0;
  /// Predicted time to the first event in milliseconds, not multiplied by the slowdown.
  double first_event_ms = 0.0;
  /// Whether the request leaves its failure domain, and why that pays.
  DomainChoice domain = {};
};

/// Returns the tokens that the engine with the most cached tokens of the prompt has to prefill; at
/// least 1.
double FewestUncachedTokens(std::span<const EngineOption> options, double prompt_tokens);

/// Returns a random estimate of unreported work in milliseconds, exponentially distributed with the
/// mean `mean_ms`. `draw` is a uniform random number in (0, 1]. In a large fleet many routers see
/// the same loads, one report period late; without the random part all of them would choose the
/// same engine until the next report.
double UnreportedWorkMs(double mean_ms, double draw);

/// The first limit that closes an engine or a service instance to a request.
enum class Rejection {
  kNone,
  kSlots,
  kMemory,
  kQueue,
  /// The queue is short enough in general, but not for prefilling again what another engine has
  /// cached.
  kRepeatedPrefill,
};

/// How one option compares with the others for one request.
struct Assessment {
  Rejection rejection = Rejection::kNone;
  /// In milliseconds of waiting, by which the options are compared.
  double cost = 0.0;
  /// Forecast time to the first event of an engine or to the response of a service, in
  /// milliseconds.
  double forecast_ms = 0.0;
  /// The engine fails most requests and is used only if no other one has room.
  bool fails_most_requests = false;
};

/// Assesses each engine by the rules of `PlaceAtEngine`.
std::vector<Assessment> AssessEngines(const EngineSpeed& speed,
                                      std::span<const EngineOption> options,
                                      const EngineRequest& request);

/// Chooses the engine with the lowest predicted cost for a request. The cost is mainly the time to
/// the first event, corrected by the slowdown. Prefill time counts several times, because prefill
/// delays all other requests of that engine, and failures and another failure domain add to the
/// cost. It suits a load of prompts that arrive faster than the engines prefill them and share
/// about half of their content with others. `request.leaving` limits which requests go to another
/// failure domain. Engines whose queue, slots or memory would exceed the
/// limits are skipped, and engines that fail most requests are used only if no other is left.
/// Returns nothing if all are skipped.
std::optional<EnginePlacement> PlaceAtEngine(const EngineSpeed& speed,
                                             std::span<const EngineOption> options,
                                             const EngineRequest& request);

/// Cached parts of a prompt that one engine copies from the prefix cache of another.
struct CacheCopy {
  /// Position of the engine that has the parts.
  std::size_t source = 0;
  double tokens = 0.0;
  /// Time that the copy saves compared with prefilling the parts, in milliseconds.
  double saved_ms = 0.0;
};

/// Returns what the engine at position `chosen` should copy instead of prefilling it, or nothing if
/// no sound engine has more of the prompt in its cache or a copy takes longer. `tokens_per_ms` is
/// the speed of a copy; 0 if the engines do not copy. It answers a load whose hot prompts are sent
/// to further engines while the ones that have them cached are busy. The choice of the engine does
/// not depend on it: each copy takes memory from other cached parts.
std::optional<CacheCopy> PlanCacheCopy(const EngineSpeed& speed,
                                       std::span<const EngineOption> options, std::size_t chosen,
                                       double prompt_tokens, double tokens_per_ms);

/// Numbers of engines that were skipped for a request, each counted under the first limit that it
/// exceeds.
struct EngineRejections {
  std::size_t slots = 0;
  std::size_t memory = 0;
  std::size_t queue = 0;
  /// Engines whose queue is short enough in general, but not for prefilling again what another
  /// engine has cached.
  std::size_t repeated_prefill = 0;
};

EngineRejections CountEngineRejections(const EngineSpeed& speed,
                                       std::span<const EngineOption> options,
                                       const EngineRequest& request);

/// State of an instance of a plain service (one without a model engine) as one router knows it.
struct ServiceOption {
  double active = 0.0;
  double slots = 0.0;
  /// Mean time of recent responses in milliseconds.
  double latency_ms = 0.0;
  double failure_rate = 0.0;
  bool other_domain = false;
};

/// Assesses an instance by the rules of `PlaceAtService`.
Assessment AssessService(const ServiceOption& option, double queue_factor,
                         const LeavingTerms& leaving);

/// Chooses the instance with the lowest predicted response time and failure cost, so that a few
/// slow or failing instances are avoided. Returns nothing if each instance has at least
/// `queue_factor` times its slots in use. `leaving` limits which requests go to another failure
/// domain.
std::optional<DomainChoice> PlaceAtService(std::span<const ServiceOption> options,
                                           double queue_factor, const LeavingTerms& leaving = {});

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_PLACEMENT_H_
