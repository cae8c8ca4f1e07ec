#ifndef POMELOSPAR_LIBRARIES_SCHEDULING_FAIRNESS_BOUND_H_
#define POMELOSPAR_LIBRARIES_SCHEDULING_FAIRNESS_BOUND_H_

#include <cstdint>

#include "libraries/core/clock.h"

namespace pomelospar::scheduling {

/// Properties of a deployment that limit the gap between two backlogged workspaces.
struct FairnessInputs {
  /// Cost of the largest request, cost units.
  double largest_request_cost = 0.0;
  /// Highest service rate of one workspace, cost units a second.
  double highest_service_rate = 0.0;
  /// Age of the oldest counter that a decision uses: report period plus the delay of a report, and
  /// the round trip in which a demand row is not eligible while its grants are on the way.
  core::Duration staleness{};
  /// Slots of the pools that both workspaces reach.
  std::uint32_t slots = 0;
  /// Largest cost, true or estimated, of a running request that the counters do not hold yet; at
  /// most the larger of the largest cost and the largest estimate.
  double largest_uncharged_cost = 0.0;
  /// Smallest share of a workspace, greater than zero.
  double smallest_share = 1.0;
};

/// The largest gap of normalised charged service (cost units per share) between two workspaces that
/// are continuously backlogged and reach the same pools; B of section 7 of the design:
///
///     B = (L + R * T + 2 * S * U) / share_min
///
/// Let i be ahead of j, and t0 the last time at which an allocator preferred i to j. After t0, i
/// receives the new request (L) and what its running requests had not been charged at t0, at most U
/// for each slot. Before t0, the allocator missed charges to i of up to R * T for work done within
/// T and U for each slot for work done earlier and charged late. For each slot of j it may count an
/// estimate that is not charged, at most U. The error E of the estimates is not enough in place of
/// U, because allocators do not know each other's running grants until these are charged.
double FairnessBound(const FairnessInputs& inputs);

/// The credit (cost units per share) that a workspace keeps at most when it returns from idle.
double CreditLimit(const FairnessInputs& inputs);

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_LIBRARIES_SCHEDULING_FAIRNESS_BOUND_H_
