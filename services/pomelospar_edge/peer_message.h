#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_PEER_MESSAGE_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_PEER_MESSAGE_H_

#include <string>
#include <string_view>

#include "libraries/core/result.h"
#include "libraries/dispatch/peer_view.h"

namespace pomelospar::edge {

/// A datagram of the report (see peer_report.proto) with a keyed authenticator in front.
std::string SealReport(const dispatch::PeerReport& report, std::string_view key);

/// Errors: `kUnauthorized` if the authenticator does not match the key, `kMalformed`.
core::Result<dispatch::PeerReport> OpenReport(std::string_view datagram, std::string_view key);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_PEER_MESSAGE_H_
