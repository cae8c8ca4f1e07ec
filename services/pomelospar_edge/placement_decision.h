#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_PLACEMENT_DECISION_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_PLACEMENT_DECISION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "libraries/dispatch/admission.h"
#include "libraries/dispatch/placement.h"
#include "libraries/dispatch/policy.h"
#include "libraries/dispatch/prompt.h"
#include "services/pomelospar_edge/refusal.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

// The choice of a runner. These functions serve real requests and explanations: they read the state
// and change nothing but the records that are passed to them.

/// What the choice of a runner considers of a request. The pointers and views are valid as long as
/// the request and its configuration.
struct PlacementQuery {
  const dispatch::Route* route = nullptr;
  const dispatch::UpstreamPolicy* upstream = nullptr;
  const dispatch::Prompt* prompt = nullptr;
  /// See `dispatch::PrefixHashes`.
  std::span<const std::uint64_t> prefix_hashes;
  std::uint64_t attempt_hash = 0;
  std::size_t body_bytes = 0;
  core::TimePoint received;
  dispatch::AdmissionContext admission;
  /// Identifiers of the runners that were tried; they are not chosen again.
  std::span<const std::string> tried;
  /// Starts at cold runners that were asked for and not granted.
  unsigned withheld_cold_starts = 0;
  /// True after the prompt has been recorded in the upstream's recent work.
  bool is_work_recorded = false;
};

/// Records that the choice of a runner may change: those of the router's state for a real request,
/// copies for an explanation.
struct PlacementRecords {
  /// Work of the upstream's recent prompts. Needed for engines only.
  dispatch::RecentWork* recent_work = nullptr;
  /// Share of the upstream's requests that may leave the failure domain; null if the settings have
  /// no price for leaving.
  dispatch::LeavingShare* leaving_share = nullptr;
};

/// Why a runner gets no request, in the order in which the reasons are checked.
enum class Exclusion {
  kNone,
  kEvacuated,
  kDraining,
  /// It said in a response that it shuts down.
  kLeaving,
  /// Another runner answered at its address.
  kMisdirected,
  /// It asked for a rest, or has not answered its first request after one.
  kResting,
  /// No connection could be opened a moment ago, or it was full.
  kUnhealthy,
  /// It was tried for this request.
  kTried,
  /// It is cold and its coordinator withheld a start a moment ago.
  kColdPause,
};

/// Returns why the runner is no candidate for the request at `now`.
Exclusion ExclusionOf(const RouterState& state, const Runner& runner,
                      std::span<const std::string> tried, core::TimePoint now);

/// Returns the runners of the upstream; none if it has none.
std::span<const std::shared_ptr<Runner>> RunnersOf(const RouterState& state,
                                                   const dispatch::UpstreamPolicy& upstream);

/// Returns the runners to which the request may be sent, warm ones first.
std::vector<Runner*> FindCandidates(const RouterState& state, const PlacementQuery& query);

/// Returns the time until the first runner wants requests again; zero if one does now, or if there
/// is none.
core::Duration TimeUntilRested(const RouterState& state, const dispatch::UpstreamPolicy& upstream);

/// True if the upstream has runners and the operator has evacuated all of them.
bool AllRunnersEvacuated(const RouterState& state, const dispatch::UpstreamPolicy& upstream);

/// Describes the engines of the candidates, in the same order.
std::vector<dispatch::EngineOption> DescribeEngines(const RouterState& state,
                                                    const PlacementQuery& query,
                                                    std::span<Runner* const> candidates);

/// Describes the prompt and its queue limit. Records its work unless that was done before.
dispatch::EngineRequest DescribeEngineRequest(const RouterState& state, const PlacementQuery& query,
                                              std::span<const dispatch::EngineOption> options,
                                              const PlacementRecords& records);

/// The choice of an engine and what it was chosen from.
struct EngineChoice {
  /// In the order of the candidates.
  std::vector<dispatch::EngineOption> options;
  dispatch::EngineRequest request;
  /// Absent if no engine has room. It takes the copy into account.
  std::optional<dispatch::EnginePlacement> placement;
  /// What the chosen engine should copy from another one.
  std::optional<dispatch::CacheCopy> copy;
};

/// Chooses an engine for a request of an upstream with engines.
EngineChoice ChooseEngine(const RouterState& state, const PlacementQuery& query,
                          std::span<Runner* const> candidates, const PlacementRecords& records);

/// A service without an engine may get this many times as many requests as it has slots; it queues
/// those beyond its slots.
inline constexpr double kServiceQueueFactor = 2.0;

/// The choice of a service instance and what it was chosen from.
struct ServiceChoice {
  /// In the order of the candidates.
  std::vector<dispatch::ServiceOption> options;
  dispatch::LeavingTerms leaving;
  /// Absent if no instance has room.
  std::optional<dispatch::DomainChoice> chosen;
};

/// Chooses an instance for a request of an upstream without engines.
ServiceChoice ChooseService(const RouterState& state, const PlacementQuery& query,
                            std::span<Runner* const> candidates, const PlacementRecords& records);

/// How long a request may wait for a runner, and whether waiting is useless.
struct WaitTerms {
  core::TimePoint until;
  core::Duration until_within_share{};
  core::Duration until_rested{};
  /// The workspace is beyond its share until after `until`.
  bool is_beyond_share = false;
  /// All runners asked for rest until after `until`.
  bool all_rest = false;
};

/// `time_left` is the time to the deadline of the request.
WaitTerms DescribeWait(const RouterState& state, const PlacementQuery& query,
                       core::Duration until_within_share, core::Duration time_left);

/// Returns false if waiting for a runner is useless, so that the request is refused at once.
bool MayFindRunner(const RouterState& state, const PlacementQuery& query, const WaitTerms& wait);

/// Refuses a request that found no runner.
Refusal NoCapacityRefusal(const RouterState& state, const PlacementQuery& query,
                          core::Duration time_left);
/// The same with the most specific reason, after a wait by `wait`.
Refusal RefusalAfterWait(const RouterState& state, const PlacementQuery& query,
                         const WaitTerms& wait, core::Duration time_left);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_PLACEMENT_DECISION_H_
