#ifndef POMELOSPAR_LIBRARIES_MEMBERSHIP_MEMBER_H_
#define POMELOSPAR_LIBRARIES_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <vector>

#include "libraries/core/clock.h"
#include "libraries/core/identifiers.h"
#include "libraries/wire/control.pb.h"

namespace pomelospar::membership {

enum class MemberStatus { kAlive, kSuspect, kLeaving, kDead };

/// What this router knows of the router at one address.
struct Member {
  core::RouterIdentity identity;
  core::DomainId domain{};
  /// A suspect is still taken for live. `leaving` is kept while a leaving member is suspect.
  MemberStatus status = MemberStatus::kAlive;
  bool leaving = false;
  std::uint32_t refutation = 0;
  /// When the status became what it is.
  core::TimePoint changed;
  /// Last message from this incarnation itself, or relayed answer to a probe of this router.
  core::TimePoint heard;
  /// Earlier incarnations at this address, oldest first.
  std::vector<std::uint64_t> past;

  /// Probing of a suspect by this router.
  bool probed_here = false;
  core::TimePoint probing_since;
  core::TimePoint next_round;

  /// Alive or suspect, leaving or not.
  bool live() const { return this->status != MemberStatus::kDead; }
};

enum class EventKind {
  /// A member is new, or came back after it was dead.
  kJoined,
  kDied,
  kLeaving,
  /// An address shows a new incarnation while the old one was live; the old one is dead.
  kRestarted,
  /// `value` is a configuration generation above the own one.
  kGenerationSeen,
  /// `value` is a notice digest that differs from the own one.
  kNoticeDigestSeen,
};

struct MemberEvent {
  EventKind kind = EventKind::kJoined;
  core::RouterIdentity router;
  core::DomainId domain{};
  /// For `kRestarted` the incarnation that was replaced.
  std::uint64_t previous_incarnation = 0;
  std::uint64_t value = 0;
};

/// A message to send. An incarnation of zero means that it is not known.
struct OutgoingMessage {
  core::RouterIdentity receiver;
  wire::Message message;
};

struct Output {
  std::vector<OutgoingMessage> messages;
  std::vector<MemberEvent> events;
};

}  // namespace pomelospar::membership

#endif  // POMELOSPAR_LIBRARIES_MEMBERSHIP_MEMBER_H_
