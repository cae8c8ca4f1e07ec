#ifndef POMELOSPAR_LIBRARIES_WIRE_ENVELOPE_VERIFIER_H_
#define POMELOSPAR_LIBRARIES_WIRE_ENVELOPE_VERIFIER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>

#include "libraries/core/identifiers.h"
#include "libraries/wire/control.pb.h"
#include "libraries/wire/fleet_keys.h"
#include "libraries/wire/replay_window.h"

namespace pomelospar::wire {

/// Why a datagram was rejected, in the order of the checks.
enum class RejectReason {
  kTooShort,
  kTooLarge,
  kUnknownKey,
  kBadAuthenticator,
  kMalformed,
  kWrongVersion,
  kWrongReceiverAddress,
  /// The receiver incarnation is another one than this router's, or zero in an envelope with
  /// messages other than Ping and Ack.
  kWrongReceiverIncarnation,
  /// The sequence number was received before, or is too old to tell.
  kReplayed,
};
inline constexpr std::size_t kRejectReasons = 9;

/// Returns the name of the reason for metrics and logs, such as "bad_authenticator".
std::string_view NameOf(RejectReason reason);

using VerifyResult = std::variant<Envelope, RejectReason>;

/// Verifies and parses datagrams. A datagram changes nothing but the rejection counters unless it
/// passes all checks that precede the replay check.
class EnvelopeVerifier {
 public:
  EnvelopeVerifier(core::RouterIdentity self, std::shared_ptr<const FleetKeys> keys);

  /// Returns the envelope of the datagram, or the reason why it is rejected.
  VerifyResult Verify(std::string_view datagram);

  /// Number of datagrams rejected for this reason since the start.
  std::uint64_t rejected(RejectReason reason) const {
    return this->rejections[static_cast<std::size_t>(reason)];
  }
  /// Number of datagrams that passed all checks since the start.
  std::uint64_t verified() const { return this->verified_count; }
  /// Number of sender incarnations for which a replay window is kept.
  std::size_t senders() const { return this->windows.size(); }

 private:
  using Senders = std::list<std::pair<core::RouterIdentity, ReplayWindow>>;

  VerifyResult Reject(RejectReason reason);
  ReplayWindow& WindowOf(const core::RouterIdentity& sender);

  core::RouterIdentity self;
  std::shared_ptr<const FleetKeys> keys;
  // The sender of the most recent datagram comes first; the last one is evicted when there are too
  // many.
  Senders recent;
  std::unordered_map<core::RouterIdentity, Senders::iterator> windows;
  std::array<std::uint64_t, kRejectReasons> rejections{};
  std::uint64_t verified_count = 0;
};

}  // namespace pomelospar::wire

#endif  // POMELOSPAR_LIBRARIES_WIRE_ENVELOPE_VERIFIER_H_
