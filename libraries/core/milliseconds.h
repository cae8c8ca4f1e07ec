#ifndef POMELOSPAR_LIBRARIES_CORE_MILLISECONDS_H_
#define POMELOSPAR_LIBRARIES_CORE_MILLISECONDS_H_

#include "libraries/core/clock.h"

namespace pomelospar::core {

constexpr double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Rounds towards zero. `milliseconds` must be finite and in the range of `Duration`.
constexpr Duration FromMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace pomelospar::core

#endif  // POMELOSPAR_LIBRARIES_CORE_MILLISECONDS_H_
