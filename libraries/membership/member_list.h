#ifndef POMELOSPAR_LIBRARIES_MEMBERSHIP_MEMBER_LIST_H_
#define POMELOSPAR_LIBRARIES_MEMBERSHIP_MEMBER_LIST_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/membership/member.h"

namespace pomelospar::membership {

enum class MergeOutcome {
  kIgnored,
  /// The list changed. The update must be forwarded to other routers.
  kChanged,
  /// The update contradicts the list and was not applied. Only a message from the member itself can
  /// decide, because after a partition each side reports that the members of the other are dead.
  kContradiction,
};

/// The members other than this router itself, at most one for each address, and the rules by which
/// updates about them are merged. Has no timers.
class MemberList {
 public:
  /// Merges an update from another router. A report that a member is dead is accepted only if the
  /// member is suspect here.
  MergeOutcome Merge(const wire::MemberUpdate& update, core::TimePoint now,
                     std::vector<MemberEvent>* events);

  /// Records that a message from `router` itself arrived. If the address is listed with another
  /// incarnation, the sender's incarnation replaces it, unless it is a past incarnation. With
  /// `answers_probe`, a past incarnation replaces it too, because the answer to a recent probe
  /// shows which incarnation is running. Returns true if the incarnation was replaced.
  bool RecordMessage(const core::RouterIdentity& router, bool answers_probe, core::TimePoint now,
                     std::vector<MemberEvent>* events);

  /// Records that another router relayed an Ack of this incarnation.
  void RecordRelayedAck(const core::RouterIdentity& router, core::TimePoint now);

  /// Marks a member as suspect after probes of this router failed. Returns false if the member is
  /// not live or already suspect.
  bool MarkSuspect(const std::string& address, core::TimePoint now);
  /// Marks a member as dead. Returns false if it is not live.
  bool MarkDead(const std::string& address, core::TimePoint now, std::vector<MemberEvent>* events);

  /// Removes the members that died before `before`, except those whose addresses are in `keep`,
  /// which must be sorted.
  void RemoveDead(core::TimePoint before, const std::vector<std::string>& keep);

  /// Returns the member at this address, or null.
  Member* Find(const std::string& address);
  const Member* Find(const std::string& address) const;
  /// Returns the member with this identity, or null.
  const Member* Find(const core::RouterIdentity& router) const;

  const std::map<std::string, Member>& members() const { return this->by_address; }
  std::map<std::string, Member>& members() { return this->by_address; }
  /// Number of suspects.
  std::size_t suspects() const { return this->suspect_count; }
  /// Number of live members, suspects included.
  std::size_t live() const { return this->live_count; }
  /// Digest of the identities of the live members and whether they are leaving. Suspicions do not
  /// change it.
  std::uint64_t digest() const { return this->live_digest; }

 private:
  void SetStatus(Member* member, MemberStatus status, core::TimePoint now);
  void SetLeaving(Member* member, std::vector<MemberEvent>* events);
  void Add(const wire::MemberUpdate& update, core::TimePoint now, std::vector<MemberEvent>* events);
  void Replace(Member* member, std::uint64_t incarnation, core::TimePoint now,
               std::vector<MemberEvent>* events);
  MergeOutcome MergeOtherIncarnation(Member* member, const wire::MemberUpdate& update,
                                     core::TimePoint now, std::vector<MemberEvent>* events);
  MergeOutcome MergeDead(Member* member, const wire::MemberUpdate& update, core::TimePoint now,
                         std::vector<MemberEvent>* events);
  MergeOutcome MergeSuspect(Member* member, const wire::MemberUpdate& update, core::TimePoint now,
                            std::vector<MemberEvent>* events);
  MergeOutcome MergeAlive(Member* member, const wire::MemberUpdate& update, core::TimePoint now,
                          std::vector<MemberEvent>* events);

  std::map<std::string, Member> by_address;
  std::size_t suspect_count = 0;
  std::size_t live_count = 0;
  std::uint64_t live_digest = 0;
};

/// Returns the update that reports a member's state to other routers.
wire::MemberUpdate UpdateOf(const Member& member);

/// Returns the digest of one live router. The digest of a set is the XOR over its routers.
std::uint64_t DigestOf(const core::RouterIdentity& router, bool leaving);

}  // namespace pomelospar::membership

#endif  // POMELOSPAR_LIBRARIES_MEMBERSHIP_MEMBER_LIST_H_
