#ifndef POMELOSPAR_LIBRARIES_DISPATCH_ENGINE_COORDINATION_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_ENGINE_COORDINATION_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "libraries/dispatch/engine_model.h"
#include "libraries/dispatch/placement.h"

namespace pomelospar::dispatch {

// In a large fleet an engine receives several prompts between two reports, and all routers that
// see it idle choose it. One live router of the engine's failure domain therefore coordinates it: a
// router proposes each placement to the coordinator, which knows the engine's load to within a few
// milliseconds, and chooses again if the load is not what it assumed.

/// A placement that a router proposes to the coordinator of the engine.
struct PlacementProposal {
  /// Chosen by the proposing router; the reply repeats it.
  std::uint64_t id = 0;
  std::uint64_t engine = 0;
  /// Prompt tokens of the request that the engine has to prefill.
  double prefill_tokens = 0.0;
  /// Largest load of the engine, without the request, for which the router has chosen it.
  double max_prefill_tokens = 0.0;
  double max_active = 0.0;
  /// The engine is cold; see `ColdStarts`.
  bool is_cold_start = false;
  /// `engine` is the subject of a quarantine, of which the coordinator grants a trial; see
  /// `CrashSuspects::TryGrantTrial`.
  bool is_crash_trial = false;
};

struct PlacementReply {
  std::uint64_t id = 0;
  bool is_accepted = false;
  /// Load that all routers but the proposing one put on the engine.
  EngineLoad others;
};

/// Returns the router that coordinates the engine, by rendezvous hashing, or nothing if the span is
/// empty. When a router dies, only the engines that it coordinated get another coordinator. Routers
/// that see different live routers may use two coordinators for a moment; each of them then knows a
/// part of the load from reports only.
std::optional<std::string_view> ChooseCoordinator(std::uint64_t engine,
                                                  std::span<const std::string_view> live_routers);

/// Returns the proposal to prefill `prefill_tokens` at an engine that was chosen in this state.
PlacementProposal ProposePlacement(const EngineOption& option, double prefill_tokens);

/// Returns true if the engine is not busier than the proposing router assumed. `load` is the load
/// of all routers without the request.
bool IsAcceptable(const PlacementProposal& proposal, const EngineLoad& load);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_ENGINE_COORDINATION_H_
