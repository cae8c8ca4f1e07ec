#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_DOMAIN_TRAFFIC_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_DOMAIN_TRAFFIC_H_

#include <cstddef>
#include <string>

#include "libraries/dispatch/domain_choice.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

/// Counts a placed request of the upstream, once, in the share of requests that may leave this
/// router's failure domain. Does nothing unless the settings have a price for leaving.
void CountDomainChoice(RouterState& state, const std::string& upstream,
                       const dispatch::DomainChoice& choice);

/// Logs the end of the regime in which requests leave this failure domain. Call it regularly.
void UpdateDomainRegimes(RouterState& state);

/// Counts a request that was sent to a runner of `domain`, with the bytes of its body and of the
/// response's body as far as it was received.
void CountDomainTraffic(RouterState& state, const std::string& domain, std::size_t bytes);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_DOMAIN_TRAFFIC_H_
