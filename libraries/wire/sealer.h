#ifndef POMELOSPAR_LIBRARIES_WIRE_SEALER_H_
#define POMELOSPAR_LIBRARIES_WIRE_SEALER_H_

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
/// Largest datagram in bytes. A full member list of 370 routers takes about 20 KiB; ledger and
/// configuration parts are cut to stay below.
inline constexpr std::size_t kMaximumDatagramBytes = 256UL * 1024;
inline constexpr std::size_t kHeaderBytes = kKeyIdentifierBytes + kAuthenticatorBytes;

/// Makes authenticated datagrams: key identifier, truncated HMAC-SHA-256 over the identifier and
/// the envelope, serialized envelope.
class Sealer {
 public:
  Sealer(core::RouterIdentity self, std::shared_ptr<const FleetKeys> keys);

  /// Seals the messages with the next sequence number for this receiver. An incarnation of zero
  /// means that it is not known yet. Errors: `kTooLarge`.
  core::Result<std::string> Seal(const core::RouterIdentity& receiver,
                                 std::vector<Message> messages);

 private:
  std::uint64_t NextSequence(const std::string& address);

  core::RouterIdentity self;
  std::shared_ptr<const FleetKeys> keys;
  std::unordered_map<std::string, std::uint64_t> sequences;
  // Sequences of receivers that are not in the map start above this.
  std::uint64_t sequence_floor = 0;
};

}  // namespace pomelospar::wire

#endif  // POMELOSPAR_LIBRARIES_WIRE_SEALER_H_
