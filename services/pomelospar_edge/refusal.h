#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_REFUSAL_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_REFUSAL_H_

#include <string_view>

#include "libraries/core/clock.h"

namespace pomelospar::edge {

/// Why a request is not sent to a runner, as its caller is told.
struct Refusal {
  unsigned status = 503;
  std::string_view reason;
  /// Value of Retry-After; zero if the header is not sent.
  core::Duration retry_after{};
};

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_REFUSAL_H_
