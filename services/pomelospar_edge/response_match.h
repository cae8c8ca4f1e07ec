#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_RESPONSE_MATCH_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_RESPONSE_MATCH_H_

#include <string_view>

#include "platform/request_headers.h"

namespace pomelospar::edge {

/// Returns true if a response with these facts may belong to the request with this identifier. A
/// faulty runner may repeat an earlier response on a kept connection. A statement that the request
/// was not executed is therefore believed without an identifier only on a connection that carried
/// no request before. Status 421 is believed in any case: the runner is not the expected one and
/// executes nothing that is sent to it.
bool MayAnswer(const adapter::ResponseFacts& facts, unsigned status, std::string_view attempt_id,
               bool is_reused_connection);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_RESPONSE_MATCH_H_
