#ifndef POMELOSPAR_LIBRARIES_MEMBERSHIP_MEMBER_H_
#define POMELOSPAR_LIBRARIES_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <vector>

#include "libraries/core/clock.h"
#include "libraries/core/identifiers.h"
#include "libraries/wire/control.pb.h"

namespace pomelospar::membership {

enum class MemberStatus { kAlive, kSuspect, kLeaving, kDead };

/// State of the router at one address, as this router knows it.
struct Member {
  core::RouterIdentity identity;
  core::DomainId domain{};
  /// A suspect still counts as live.
  MemberStatus status = MemberStatus::kAlive;
  /// True if the member announced that it is leaving, also while it is suspect or dead.
  bool leaving = false;
  /// The highest refutation number known of this incarnation; see `wire::MemberUpdate`.
  std::uint32_t refutation = 0;
  /// When the current status began.
  core::TimePoint status_changed;
  /// When the last message from this incarnation arrived, or the last Ack of it that another router
  /// relayed.
  core::TimePoint last_contact;
  /// Incarnations at this address that have ended, in the order in which this router learned of it.
  std::vector<std::uint64_t> past_incarnations;

  /// True if this router itself probes the suspect and decides whether it is dead.
  bool probed_here = false;
  /// Start of the current suspicion timeout. The timeout restarts after each contact.
  core::TimePoint probing_since;
  core::TimePoint next_suspect_probe;

  /// True unless the member is dead.
  bool live() const { return this->status != MemberStatus::kDead; }
};

enum class EventKind {
  /// A member is new, or is live again after it was dead.
  kJoined,
  kDied,
  kLeaving,
  /// The live member at an address was replaced by a new incarnation; the old one is dead.
  kRestarted,
  /// A peer reported the configuration generation `value`, which is higher than this router's.
  kGenerationSeen,
  /// A peer reported the notice digest `value`, which differs from this router's.
  kNoticeDigestSeen,
};

/// A change in the membership, or in what a peer reported with its probes.
struct MemberEvent {
  EventKind kind = EventKind::kJoined;
  core::RouterIdentity router;
  core::DomainId domain{};
  /// The incarnation that was replaced. Set if a new incarnation caused the event.
  std::uint64_t previous_incarnation = 0;
  std::uint64_t value = 0;
};

/// A message to send. A receiver incarnation of zero means that it is unknown.
struct OutgoingMessage {
  core::RouterIdentity receiver;
  wire::Message message;
};

/// What the caller has to send and to handle after a call of `MemberTable`.
struct Output {
  std::vector<OutgoingMessage> messages;
  std::vector<MemberEvent> events;
};

}  // namespace pomelospar::membership

#endif  // POMELOSPAR_LIBRARIES_MEMBERSHIP_MEMBER_H_
