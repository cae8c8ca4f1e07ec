#ifndef POMELOSPAR_LIBRARIES_DISPATCH_PLACEMENT_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_PLACEMENT_H_

#include <cstddef>
#include <optional>
#include <span>

#include "libraries/dispatch/engine_model.h"

namespace pomelospar::dispatch {

/// A model engine as seen by one router at the time of a decision.
struct EngineOption {
  EngineLoad load;
  /// Observed over predicted time to the first event; 1 for an engine as modelled.
  double slowdown = 1.0;
  /// Share of recent requests that failed.
  double failure_share = 0.0;
  /// Tokens of this prompt that the engine need not read.
  double cached_tokens = 0.0;
  /// Tokens of this prompt that other routers may be about to send there.
  double expected_tokens = 0.0;
  double memory_capacity = 0.0;
  double slots = 0.0;
  /// Share of the slots and of the accepted queue that may be used. Less than 1 for an engine whose
  /// load is known late; the routers near it use the rest.
  double usable_share = 1.0;
  /// Drawn guess of the work that other routers sent there and that is not known here yet.
  double unseen_ms = 0.0;
  bool other_domain = false;
};

struct EngineRequest {
  double prompt_tokens = 0.0;
  double output_tokens = 0.0;
  /// The longest wait for earlier prompts that is accepted, in milliseconds.
  double queue_limit_ms = 0.0;
};

struct EnginePlacement {
  std::size_t option = 0;
  double unread_tokens = 0.0;
  double queue_ms = 0.0;
  /// Predicted time to the first event, without the slowdown.
  double first_event_ms = 0.0;
};

/// A guess, for `draw` uniform in (0, 1], of work with this mean. Answers a fleet of many routers
/// that see the same loads a report's period late: without it all of them choose the same engine
/// until the next report.
double UnseenWorkMs(double mean_ms, double draw);

/// Answers a load in which prompts, about half of each shared with others, arrive faster than the
/// engines read them: the engine that begins soonest is taken, with the reading counted several
/// times because it delays all others there. Engines whose queue, slots or memory would go beyond
/// the limits are not offered; nothing is returned if no engine is left.
std::optional<EnginePlacement> PlaceAtEngine(const EngineSpeed& speed,
                                             std::span<const EngineOption> options,
                                             const EngineRequest& request);

/// Why engines were not offered for a request, as numbers of engines.
struct EngineObstacles {
  std::size_t slots = 0;
  std::size_t memory = 0;
  std::size_t queue = 0;
  /// Engines whose queue is short enough, though not for reading again what another engine keeps.
  std::size_t repeated_reading = 0;
};

EngineObstacles CountObstacles(const EngineSpeed& speed, std::span<const EngineOption> options,
                               const EngineRequest& request);

/// A plain service as seen by one router.
struct ServiceOption {
  double active = 0.0;
  double slots = 0.0;
  /// Recent mean time of a response in milliseconds.
  double latency_ms = 0.0;
  double failure_share = 0.0;
  bool other_domain = false;
};

/// Answers a few slow or failing instances among sound ones. Nothing is returned if all slots of
/// every instance are taken, up to `queue_factor` times the slots.
std::optional<std::size_t> PlaceAtService(std::span<const ServiceOption> options,
                                          double queue_factor);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_PLACEMENT_H_
