#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_RESPONSE_MATCH_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_RESPONSE_MATCH_H_

#include <string_view>

#include "platform/request_headers.h"

namespace pomelospar::edge {

/// Returns true if a response may belong to the request with this identifier. A faulty runner may
/// repeat an earlier response on a kept connection. A statement that the request was not executed
/// is therefore believed without an identifier only on a connection that carried no request before.
bool MayAnswer(const adapter::ResponseFacts& facts, std::string_view attempt_id,
               bool is_reused_connection);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_RESPONSE_MATCH_H_
