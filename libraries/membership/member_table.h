#ifndef POMELOSPAR_LIBRARIES_MEMBERSHIP_MEMBER_TABLE_H_
#define POMELOSPAR_LIBRARIES_MEMBERSHIP_MEMBER_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libraries/membership/gossip_queue.h"
#include "libraries/membership/member.h"
#include "libraries/membership/member_list.h"

namespace pomelospar::membership {

struct MemberTableOptions {
  core::RouterIdentity self;
  core::DomainId domain{};
  /// Seed of the random number generator.
  std::uint64_t seed = 0;

  /// Interval between probes of members of this router's failure domain, and of members of other
  /// domains.
  core::Duration own_domain_period = std::chrono::seconds(1);
  core::Duration other_domain_period = std::chrono::seconds(2);
  /// Interval between probes of a randomly chosen address that has a dead member, or is a seed at
  /// which no member is known.
  core::Duration dead_period = std::chrono::seconds(5);
  /// Time to wait for an Ack before other routers are asked to probe the member. After twice this
  /// time the member becomes suspect. Also the interval at which a suspect is probed.
  core::Duration ack_timeout = std::chrono::milliseconds(500);
  /// A suspect that this router probes is declared dead if no message from it, nor an Ack of it
  /// that another router relayed, arrives for this long.
  core::Duration suspicion_timeout = std::chrono::seconds(2);
  /// How long a dead member is remembered. Members at seed addresses are never removed.
  core::Duration dead_retention = std::chrono::minutes(10);
  /// Full member lists are exchanged if no received digest has matched this router's for this long.
  /// It exceeds the time in which an update reaches all of 370 routers, up to about 6 s.
  core::Duration mismatch_timeout = std::chrono::seconds(8);
  /// Number of routers that are asked to probe a member that does not answer.
  std::size_t indirect_probe_peers = 3;
  /// Maximum number of queued updates in one Ping, Ack or PingRequest. An update takes about 45
  /// bytes.
  std::size_t updates_per_message = 6;
};

/// Membership and failure detection in the style of SWIM: random probes, indirect probes through
/// other routers, suspicions that the suspect can refute, and membership updates attached to
/// probes. Does no I/O: the caller sends the messages and passes in those that arrive. A router
/// that knows no others counts itself as live from the start.
///
/// A member is declared dead only if this router's own probes failed for the whole suspicion
/// timeout, or if another router reports it as dead while it is suspect here. A report alone never
/// makes a member dead that is not suspect.
class MemberTable {
 public:
  MemberTable(MemberTableOptions options, core::TimePoint now);

  /// Replaces the list of addresses at which routers may run, which comes from the instance list.
  void SetSeeds(std::vector<std::string> addresses);

  /// Sets the state of this router that its probes report.
  void SetLocalState(std::uint64_t configuration_generation, std::uint64_t notice_digest);

  /// Runs all timers. The caller must call it about every 50 to 100 ms.
  Output Tick(core::TimePoint now);

  /// Handles Ping, Ack and PingRequest. Other messages only show that the sender is alive.
  Output Handle(const core::RouterIdentity& from, const wire::Message& message,
                core::TimePoint now);

  /// Pings all live members at once, for instance after a configuration was committed.
  Output PingAll(core::TimePoint now);

  /// Announces to all live members at once that this router is leaving.
  Output Leave(core::TimePoint now);

  /// Returns the routers of a failure domain that can be assigned work, sorted by identity: those
  /// that are live and not leaving, this router included.
  std::vector<core::RouterIdentity> LiveRouters(core::DomainId domain) const;
  /// Returns all live members except this router, including those that are leaving.
  std::vector<core::RouterIdentity> LiveMembers() const;
  bool IsLive(const core::RouterIdentity& router) const;
  /// Returns the member with this identity, or null.
  const Member* Find(const core::RouterIdentity& router) const { return this->list.Find(router); }
  const std::map<std::string, Member>& members() const { return this->list.members(); }

  const core::RouterIdentity& self() const { return this->options.self; }
  core::DomainId domain() const { return this->options.domain; }
  bool leaving() const { return this->self_leaving; }
  /// True once a peer has sent its full member list, or if there are no seeds, or if no seed has
  /// answered within 10 s.
  bool synchronized() const { return this->is_synchronized; }
  /// Digest of the live members, this router included.
  std::uint64_t digest() const;

 private:
  struct Probe {
    core::RouterIdentity target;
    core::TimePoint sent;
    bool indirect = false;
    // True if no timeout of this probe is left to handle: it has failed, or its target was suspect
    // when it was sent. It is still kept for a while, because a late Ack counts.
    bool settled = false;
  };
  // A ping that this router sent on behalf of another one.
  struct Relay {
    core::RouterIdentity requester;
    core::RouterIdentity target;
    std::uint64_t probe = 0;
    core::TimePoint sent;
  };
  // A random order in which members are probed, and the index of the next one.
  struct Cycle {
    std::vector<std::string> order;
    std::size_t next = 0;
  };
  struct PiggybackOptions {
    // List all members, as opposed to those in the gossip queue.
    bool full = false;
    // Include the state of this router.
    bool with_self = false;
  };

  // In member_table.cc: messages and their contents.
  void HandlePing(const core::RouterIdentity& from, const wire::Ping& ping, core::TimePoint now,
                  Output* output);
  void HandleAck(const core::RouterIdentity& from, const wire::Ack& ack, core::TimePoint now,
                 Output* output);
  void HandlePingRequest(const core::RouterIdentity& from, const wire::PingRequest& request,
                         core::TimePoint now, Output* output);
  bool ApplyPiggyback(const core::RouterIdentity& from, const wire::Piggyback& piggyback,
                      core::TimePoint now, Output* output);
  bool ApplyClaimAboutSelf(const wire::MemberUpdate& update, core::TimePoint now);
  void ReportPeerState(const core::RouterIdentity& from, const wire::Piggyback& piggyback,
                       Output* output) const;
  void VerifyDomainPeers(const Member& member);
  void CompareDigests(const core::RouterIdentity& from, const wire::Piggyback& piggyback,
                      core::TimePoint now, Output* output);
  void FillPiggyback(wire::Piggyback* piggyback, const core::RouterIdentity& receiver,
                     PiggybackOptions content, core::TimePoint now);
  std::optional<wire::MemberUpdate> ClaimToRefute(const core::RouterIdentity& receiver) const;
  wire::MemberUpdate SelfUpdate() const;
  void SendPing(const core::RouterIdentity& receiver, std::uint64_t probe, PiggybackOptions content,
                core::TimePoint now, Output* output);
  void SendPingToAll(PiggybackOptions content, core::TimePoint now, Output* output);

  // In member_probes.cc: actions that timers trigger.
  void ResetAfterPause(core::TimePoint now);
  void AdvanceProbes(core::TimePoint now, Output* output);
  void AdvanceSuspects(core::TimePoint now, Output* output);
  void ProbePeriodically(core::TimePoint now, Output* output);
  void Join(core::TimePoint now, Output* output);
  void SendVerifications(core::TimePoint now, Output* output);
  void RemoveOldDeadMembers(core::TimePoint now);
  void StartProbe(const core::RouterIdentity& target, core::TimePoint now, Output* output);
  void ProbeSuspect(const core::RouterIdentity& target, core::TimePoint now, Output* output);
  void RequestIndirectProbes(std::uint64_t number, const core::RouterIdentity& target,
                             core::TimePoint now, Output* output);
  void FailProbe(const Probe& probe, core::TimePoint now);
  void StartSuspicion(Member* member, core::TimePoint now);
  void ScheduleVerification(const std::string& address);
  const Member* NextInCycle(Cycle* cycle, const std::function<bool(const Member&)>& eligible);
  std::vector<std::string> AddressesWithoutLiveMember() const;

  MemberTableOptions options;
  std::mt19937_64 random;
  MemberList list;
  GossipQueue queue;
  std::vector<std::string> seeds;

  // Starts at 1, because routers that do not know the domain of this incarnation report it as
  // suspect with refutation 0, and the updates of this router have to override that.
  std::uint32_t self_refutation = 1;
  bool self_leaving = false;
  std::uint64_t generation = 0;
  std::uint64_t notice_digest = 0;

  // Probe number 0 is used for pings whose Ack is not awaited.
  std::uint64_t next_probe = 1;
  std::map<std::uint64_t, Probe> probes;
  std::map<std::uint64_t, Relay> relays;
  // Addresses to probe once, outside the cycles, because of contradictory reports about them.
  std::set<std::string> to_verify;
  double verification_tokens = 0;
  Cycle own_domain_cycle;
  Cycle other_domain_cycle;

  core::TimePoint last_tick;
  core::TimePoint next_own_domain;
  core::TimePoint next_other_domain;
  core::TimePoint next_dead;
  core::TimePoint next_removal;

  bool is_synchronized = false;
  // True once `kJoinMatches` digests have matched, or joining has timed out.
  bool join_complete = false;
  int join_matches = 0;
  std::optional<core::TimePoint> join_started;
  core::TimePoint next_join;
  // When a received digest last matched this router's.
  core::TimePoint last_match;
  core::TimePoint next_exchange;
  core::Duration exchange_wait;
};

}  // namespace pomelospar::membership

#endif  // POMELOSPAR_LIBRARIES_MEMBERSHIP_MEMBER_TABLE_H_
