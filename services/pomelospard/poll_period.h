#ifndef POMELOSPAR_SERVICES_POMELOSPARD_POLL_PERIOD_H_
#define POMELOSPAR_SERVICES_POMELOSPARD_POLL_PERIOD_H_

#include <random>

#include "libraries/core/clock.h"

namespace pomelospar::daemon {

/// Returns the period changed randomly by up to 20 %, so that the polls of the routers do not
/// coincide.
inline core::Duration WithJitter(std::mt19937_64& random, core::Duration period) {
  std::uniform_real_distribution<double> factor(0.8, 1.2);
  return std::chrono::duration_cast<core::Duration>(period * factor(random));
}

}  // namespace pomelospar::daemon

#endif  // POMELOSPAR_SERVICES_POMELOSPARD_POLL_PERIOD_H_
