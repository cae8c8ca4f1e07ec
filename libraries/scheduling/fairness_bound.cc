#include "libraries/scheduling/fairness_bound.h"

#include <chrono>

namespace pomelospar::scheduling {

double FairnessBound(const FairnessInputs& inputs) {
  const double staleness = std::chrono::duration<double>(inputs.staleness).count();
  const double unreported = inputs.highest_service_rate * staleness;
  const double uncharged = 2.0 * inputs.slots * inputs.largest_uncharged_cost;
  return (inputs.largest_request_cost + unreported + uncharged) / inputs.smallest_share;
}

double CreditLimit(const FairnessInputs& inputs) { return 2.0 * FairnessBound(inputs); }

}  // namespace pomelospar::scheduling
