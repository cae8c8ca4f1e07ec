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
  /// The list changed; the update is to be passed on.
  kChanged,
  /// The update contradicts what this router holds. A message from the member itself must decide,
  /// because after a partition each side spreads that the other side is dead.
  kContradiction,
};

/// The members other than this router itself, at most one for each address, and the rules by which
/// news about them are merged. Holds no timers.
class MemberList {
 public:
  /// Merges an update from another router. A dead update is believed only about a suspect.
  MergeOutcome Merge(const wire::MemberUpdate& update, core::TimePoint now,
                     std::vector<MemberEvent>* events);

  /// Notes a message from this router itself. An incarnation that was not known before replaces the
  /// one that is known for the address. With `fresh`, which means that the message answers a probe,
  /// this also holds for an earlier incarnation. Returns true if the list changed.
  bool Hear(const core::RouterIdentity& router, bool fresh, core::TimePoint now,
            std::vector<MemberEvent>* events);

  /// Notes an answer of this incarnation that another router relayed.
  void HearRelayed(const core::RouterIdentity& router, core::TimePoint now);

  /// Own probes decided. Both return false if the member is not live or already suspect.
  bool Suspect(const std::string& address, core::TimePoint now);
  bool Bury(const std::string& address, core::TimePoint now, std::vector<MemberEvent>* events);

  /// Removes dead members, but for those that `keep` holds, if they changed before `before`.
  void Forget(core::TimePoint before, const std::vector<std::string>& keep);

  /// The member at this address, or null.
  Member* Find(const std::string& address);
  const Member* Find(const std::string& address) const;
  /// The member of this identity, or null.
  const Member* Find(const core::RouterIdentity& router) const;

  const std::map<std::string, Member>& members() const { return this->by_address; }
  std::map<std::string, Member>& members() { return this->by_address; }
  std::size_t suspects() const { return this->suspect_count; }
  std::size_t live() const { return this->live_count; }
  /// Digest of the live members; it does not depend on suspicions.
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

/// The update that tells others what is known of a member.
wire::MemberUpdate UpdateOf(const Member& member);

/// The part of one live router in the digest.
std::uint64_t DigestOf(const core::RouterIdentity& router, bool leaving);

}  // namespace pomelospar::membership

#endif  // POMELOSPAR_LIBRARIES_MEMBERSHIP_MEMBER_LIST_H_
