#ifndef POMELOSPAR_LIBRARIES_WIRE_ENVELOPE_SIGNER_H_
#define POMELOSPAR_LIBRARIES_WIRE_ENVELOPE_SIGNER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/core/identifiers.h"
#include "libraries/core/result.h"
#include "libraries/wire/control.pb.h"
#include "libraries/wire/fleet_keys.h"

namespace pomelospar::wire {

inline constexpr std::uint32_t kProtocolVersion = 1;
/// Maximum size of a datagram. A full member list of 370 routers takes about 20 KiB; ledgers and
/// configurations are split into parts that stay below the maximum.
inline constexpr std::size_t kMaximumDatagramBytes = 256UL * 1024;
inline constexpr std::size_t kHeaderBytes = kKeyIdentifierBytes + kAuthenticatorBytes;

/// Creates datagrams authenticated with a keyed MAC. A datagram consists of the key identifier, a
/// truncated HMAC-SHA-256 of the identifier and the envelope, and the serialized envelope.
class EnvelopeSigner {
 public:
  EnvelopeSigner(core::RouterIdentity self, std::shared_ptr<const FleetKeys> keys);

  /// Returns a datagram with the messages and the next sequence number for this receiver. An
  /// incarnation of zero means that the receiver's incarnation is unknown. Errors: `kTooLarge` if
  /// the datagram would exceed `kMaximumDatagramBytes`.
  core::Result<std::string> Sign(const core::RouterIdentity& receiver,
                                 std::vector<Message> messages);

 private:
  std::uint64_t NextSequence(const std::string& address);

  core::RouterIdentity self;
  std::shared_ptr<const FleetKeys> keys;
  std::unordered_map<std::string, std::uint64_t> sequences;
  // The sequence numbers for receivers that are not in the map start above this.
  std::uint64_t sequence_floor = 0;
};

}  // namespace pomelospar::wire

#endif  // POMELOSPAR_LIBRARIES_WIRE_ENVELOPE_SIGNER_H_
