#ifndef POMELOSPAR_LIBRARIES_CORE_MILLISECONDS_H_
#define POMELOSPAR_LIBRARIES_CORE_MILLISECONDS_H_

#include "libraries/core/clock.h"

namespace pomelospar::core {

inline double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace pomelospar::core

#endif  // POMELOSPAR_LIBRARIES_CORE_MILLISECONDS_H_
