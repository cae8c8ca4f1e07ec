#ifndef POMELOSPAR_LIBRARIES_WIRE_OPENER_H_
#define POMELOSPAR_LIBRARIES_WIRE_OPENER_H_

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

/// Why a datagram was not opened, in the order of the checks.
enum class RejectReason {
  kTooShort,
  kTooLarge,
  kUnknownKey,
  kBadAuthenticator,
  kMalformed,
  kWrongVersion,
  kWrongReceiverAddress,
  /// Meant for another run of this router, or zero with messages other than Ping and Ack.
  kWrongReceiverIncarnation,
  kReplayed,
};
inline constexpr std::size_t kRejectReasons = 9;

/// Name of the reason for metrics and logs, such as "bad_authenticator".
std::string_view NameOf(RejectReason reason);

using OpenResult = std::variant<Envelope, RejectReason>;

/// Verifies datagrams. Nothing but the counters changes before the authenticator is checked.
class Opener {
 public:
  Opener(core::RouterIdentity self, std::shared_ptr<const FleetKeys> keys);

  OpenResult Open(std::string_view datagram);

  std::uint64_t rejected(RejectReason reason) const {
    return this->rejections[static_cast<std::size_t>(reason)];
  }
  std::uint64_t opened() const { return this->opened_count; }
  /// Sender incarnations whose sequence numbers are kept.
  std::size_t senders() const { return this->windows.size(); }

 private:
  using Senders = std::list<std::pair<core::RouterIdentity, ReplayWindow>>;

  OpenResult Reject(RejectReason reason);
  ReplayWindow& WindowOf(const core::RouterIdentity& sender);

  core::RouterIdentity self;
  std::shared_ptr<const FleetKeys> keys;
  // Most recently heard sender first; the last one is evicted when there are too many.
  Senders recent;
  std::unordered_map<core::RouterIdentity, Senders::iterator> windows;
  std::array<std::uint64_t, kRejectReasons> rejections{};
  std::uint64_t opened_count = 0;
};

}  // namespace pomelospar::wire

#endif  // POMELOSPAR_LIBRARIES_WIRE_OPENER_H_
