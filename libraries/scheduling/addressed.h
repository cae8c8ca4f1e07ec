#ifndef POMELOSPAR_LIBRARIES_SCHEDULING_ADDRESSED_H_
#define POMELOSPAR_LIBRARIES_SCHEDULING_ADDRESSED_H_

#include "libraries/core/identifiers.h"

namespace pomelospar::scheduling {

/// A control message together with the router that it must be sent to.
template <typename T>
struct Addressed {
  core::RouterIdentity receiver;
  T message;
};

}  // namespace pomelospar::scheduling

#endif  // POMELOSPAR_LIBRARIES_SCHEDULING_ADDRESSED_H_
