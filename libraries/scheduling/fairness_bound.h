#ifndef POMELOSPAR_LIBRARIES_SCHEDULING_FAIRNESS_BOUND_H_
#define POMELOSPAR_LIBRARIES_SCHEDULING_FAIRNESS_BOUND_H_

#include <cstdint>

#include "libraries/core/clock.h"

namespace pomelospar::scheduling {

/// Properties of a deployment that bound the difference in service between two backlogged
/// workspaces.
struct FairnessInputs {
  /// Cost of the largest request, in cost units.
  double largest_request_cost = 0.0;
  /// Highest service rate of one workspace, in cost units per second.
  double highest_service_rate = 0.0;
  /// Maximum age of the service counters that a decision uses: the report period plus the delay of
  /// a report, plus the round trip during which a demand row is not eligible because its grants are
  /// not confirmed yet.
  core::Duration staleness{};
  /// Number of slots that both workspaces can use.
  std::uint32_t slots = 0;
  /// Largest cost, true or estimated, of a running request that the counters do not include yet; at
  /// most the larger of the largest true cost and the largest estimate.
  double largest_uncharged_cost = 0.0;
  /// Smallest share of any workspace; greater than zero.
  double smallest_share = 1.0;
};

/// Returns the upper bound of the difference in normalised charged service (cost units per share)
/// between two workspaces that are continuously backlogged and can use the same slots. It is B in
/// section 7 of the design:
///
///     B = (L + R * T + 2 * S * U) / share_min
///
/// L is `largest_request_cost`, R `highest_service_rate`, T `staleness`, S `slots`, U
/// `largest_uncharged_cost` and share_min `smallest_share`.
///
/// Derivation: let workspace i be ahead of workspace j, and let t0 be the last time at which an
/// allocator preferred i to j. After t0, i receives the new request (L) and those costs of its
/// running requests that were not charged at t0, at most U per slot. At t0 the allocator may lack
/// charges to i: up to R * T for work done within the last T, and up to U per slot for earlier work
/// that was charged late. For each slot that j uses, it may count an estimate that is not charged,
/// at most U. The error of the estimates cannot replace U, because allocators do not know each
/// other's running grants until these are charged.
double FairnessBound(const FairnessInputs& inputs);

/// Returns the maximum credit (cost units per share) that a workspace keeps when it has demand
/// again after it was idle: twice `FairnessBound`.
double CreditLimit(const FairnessInputs& inputs);

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_LIBRARIES_SCHEDULING_FAIRNESS_BOUND_H_
