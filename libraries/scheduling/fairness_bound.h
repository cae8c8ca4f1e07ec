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
  /// Age of the oldest counter that a decision uses: report period plus network delay.
  core::Duration staleness{};
  /// Slots of the pools that both workspaces reach.
  std::uint32_t slots = 0;
  /// Largest difference between the cost of a running request and what the allocator assumes.
  double largest_estimate_error = 0.0;
  /// Smallest share of a workspace, greater than zero.
  double smallest_share = 1.0;
};

/// The largest gap of normalised service (cost units per share) between two workspaces that are
/// continuously backlogged and reach the same pools; B of section 7 of the design.
double FairnessBound(const FairnessInputs& inputs);

/// The credit (cost units per share) that a workspace keeps at most when it returns from idle.
double CreditLimit(const FairnessInputs& inputs);

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_LIBRARIES_SCHEDULING_FAIRNESS_BOUND_H_
