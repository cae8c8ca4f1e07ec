#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_EXPLANATION_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_EXPLANATION_H_

#include <cstddef>

#include "libraries/http/message.h"
#include "services/pomelospar_edge/router_state.h"

namespace pomelospar::edge {

/// Limit of the runners in an explanation; it states how many are left out.
inline constexpr std::size_t kMaxExplainedRunners = 256;

/// Answers a request `GET /explain?FIELD=VALUE&...` with JSON: where the described request would be
/// sent now, and why. docs/OPERATIONS.md lists the fields and the members of the answer. The status
/// is 200, or 400 with the member `field` if a field is unknown, given twice, missing or malformed.
/// Times are in milliseconds. Nothing is sent, and the state does not change.
http::HttpResponse ExplainPlacement(const RouterState& state, const http::HttpRequest& request);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_EXPLANATION_H_
