#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_RESPONSE_MATCH_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_RESPONSE_MATCH_H_

#include <string_view>

#include "platform/request_headers.h"

namespace pomelospar::edge {

/// A request that was sent to a runner and awaits its response.
struct PendingSend {
  std::string_view attempt_id;
  /// Identifier of the runner that is expected to execute the request.
  std::string_view runner_id;
  /// True if the connection carried other requests before. It must not have carried one with the
  /// same attempt identifier: their responses could not be told apart.
  bool is_reused_connection = false;
};

/// Returns true if the response comes from another runner than the expected one, which does not
/// execute the request.
bool IsFromOtherRunner(const adapter::ResponseFacts& facts, unsigned status,
                       const PendingSend& send);

/// Returns true if a response with these facts belongs to the request. A faulty runner may repeat
/// an earlier response on a kept connection, so a response without an attempt identifier is
/// believed only on a connection that carried no request before. The exception is a status 421 that
/// names another runner: whichever request it answers, the runner at the other end of the
/// connection is not the expected one and executes nothing that is sent to it.
bool MayAnswer(const adapter::ResponseFacts& facts, unsigned status, const PendingSend& send);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_RESPONSE_MATCH_H_
