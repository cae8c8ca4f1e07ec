#ifndef POMELOSPAR_SERVICES_POMELOSPAR_EDGE_PEER_MESSAGE_H_
#define POMELOSPAR_SERVICES_POMELOSPAR_EDGE_PEER_MESSAGE_H_

#include <string>
#include <string_view>

#include "libraries/core/result.h"
#include "libraries/dispatch/peer_view.h"
#include "libraries/wire/fleet_keys.h"

namespace pomelospar::edge {

/// Encodes a report as a datagram: an HMAC-SHA-256 truncated to 128 bits, made with `key`, the key
/// of the fleet, then the Protocol Buffers message of peer_report.proto. The content is
/// authenticated but not encrypted.
std::string EncodeSignedReport(const dispatch::PeerReport& report, const wire::FleetKey& key);

/// Verifies and decodes a datagram of `EncodeSignedReport`. Errors: `kUnauthorized` if its HMAC was
/// not made with `key`; `kMalformed` if it is too short or its content is not a report.
core::Result<dispatch::PeerReport> DecodeSignedReport(std::string_view datagram,
                                                      const wire::FleetKey& key);

}  // namespace pomelospar::edge

#endif  // POMELOSPAR_SERVICES_POMELOSPAR_EDGE_PEER_MESSAGE_H_
