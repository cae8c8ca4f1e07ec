#ifndef POMELOSPAR_LIBRARIES_CORE_MILLISECONDS_H_
#define POMELOSPAR_LIBRARIES_CORE_MILLISECONDS_H_

#include <algorithm>
#include <cstdint>

#include "libraries/core/clock.h"

namespace pomelospar::core {

constexpr double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Rounds down; 0 for a negative duration.
constexpr std::uint64_t WholeMilliseconds(Duration duration) {
  const auto whole = std::chrono::floor<std::chrono::milliseconds>(duration).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(whole, 0));
}

/// Rounds towards zero. `milliseconds` must be finite and in the range of `Duration`.
constexpr Duration FromMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace pomelospar::core

#endif  // POMELOSPAR_LIBRARIES_CORE_MILLISECONDS_H_
