#ifndef POMELOSPAR_LIBRARIES_SCHEDULING_ADDRESSED_H_
#define POMELOSPAR_LIBRARIES_SCHEDULING_ADDRESSED_H_

#include "libraries/core/identifiers.h"

namespace pomelospar::scheduling {

/// A message and the router that it has to be sent to.
template <typename T>
struct Addressed {
  core::RouterIdentity receiver;
  T message;
};

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_LIBRARIES_SCHEDULING_ADDRESSED_H_
