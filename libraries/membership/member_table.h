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
  /// Seed of the random choices.
  std::uint64_t seed = 0;

  core::Duration own_domain_period = std::chrono::seconds(1);
  core::Duration other_domain_period = std::chrono::seconds(2);
  /// Period of probes of a dead member, or of a listed address where no live member is known.
  core::Duration dead_period = std::chrono::seconds(5);
  /// Without an Ack after this, other routers are asked to probe; after twice this the member is
  /// suspect. Also the period at which a suspect is probed.
  core::Duration ack_timeout = std::chrono::milliseconds(500);
  core::Duration suspicion = std::chrono::seconds(2);
  core::Duration forget_dead = std::chrono::minutes(10);
  /// Member lists are exchanged in full when digests have differed for this long. News take up to
  /// about 6 s to reach all of 370 routers.
  core::Duration mismatch_patience = std::chrono::seconds(8);
  std::size_t helpers = 3;
  /// Members that one probe carries. An update takes about 45 bytes.
  std::size_t updates_per_message = 6;
};

/// Failure detection in the style of SWIM: random probes, indirect probes through others, suspicion
/// that the suspect can refute, news carried by probes. Does no I/O; the caller sends the messages
/// and passes in those that arrive. A router that is alone is live from the start.
///
/// A member dies in this table only if own probes failed all through the suspicion, or if another
/// router says so of a member that is suspect here too. News alone never make a live member dead.
class MemberTable {
 public:
  MemberTable(MemberTableOptions options, core::TimePoint now);

  /// Addresses at which routers may be found, from the instance list. Replaces the earlier list.
  void SetSeeds(std::vector<std::string> addresses);

  /// What probes tell about this router.
  void SetLocalState(std::uint64_t configuration_generation, std::uint64_t notice_digest);

  /// To be called about every 50 to 100 ms.
  Output Tick(core::TimePoint now);

  /// Handles Ping, Ack and PingRequest; of other messages it notes that the sender is alive.
  Output Handle(const core::RouterIdentity& from, const wire::Message& message,
                core::TimePoint now);

  /// Pings all live members at once, for instance after a configuration was committed.
  Output PingAll(core::TimePoint now);

  /// Announces to all live members at once that this router is leaving.
  Output Leave(core::TimePoint now);

  /// Routers of a domain that may take duties: live and not leaving, this one included, in order of
  /// identity.
  std::vector<core::RouterIdentity> LiveRouters(core::DomainId domain) const;
  /// All live members but this router, leaving ones included.
  std::vector<core::RouterIdentity> LiveMembers() const;
  bool IsLive(const core::RouterIdentity& router) const;
  /// The member with this identity, or null.
  const Member* Find(const core::RouterIdentity& router) const { return this->list.Find(router); }
  const std::map<std::string, Member>& members() const { return this->list.members(); }

  const core::RouterIdentity& self() const { return this->options.self; }
  core::DomainId domain() const { return this->options.domain; }
  bool leaving() const { return this->self_leaving; }
  /// True once a peer has sent its full list, no seeds are known, or none answered for 10 s.
  bool synchronized() const { return this->is_synchronized; }
  std::uint64_t digest() const;

 private:
  struct Probe {
    core::RouterIdentity target;
    core::TimePoint sent;
    bool indirect = false;
    // Failed, or one round of a suspicion; kept for a while because a late Ack still counts.
    bool settled = false;
  };
  struct Relay {
    core::RouterIdentity requester;
    core::RouterIdentity target;
    std::uint64_t probe = 0;
    core::TimePoint sent;
  };
  struct Cycle {
    std::vector<std::string> order;
    std::size_t next = 0;
  };
  struct PiggybackOptions {
    bool full = false;
    bool with_self = false;
  };

  // member_table.cc: messages and their contents.
  void HandlePing(const core::RouterIdentity& from, const wire::Ping& ping, core::TimePoint now,
                  Output* output);
  void HandleAck(const core::RouterIdentity& from, const wire::Ack& ack, core::TimePoint now,
                 Output* output);
  void HandlePingRequest(const core::RouterIdentity& from, const wire::PingRequest& request,
                         core::TimePoint now, Output* output);
  bool Apply(const core::RouterIdentity& from, const wire::Piggyback& piggyback,
             core::TimePoint now, Output* output);
  bool ApplyAboutSelf(const wire::MemberUpdate& update, core::TimePoint now);
  void ReportPeerState(const core::RouterIdentity& from, const wire::Piggyback& piggyback,
                       Output* output) const;
  void VerifyNeighbours(const Member& member);
  void CompareDigests(const core::RouterIdentity& from, const wire::Piggyback& piggyback,
                      core::TimePoint now, Output* output);
  void FillPiggyback(wire::Piggyback* piggyback, const core::RouterIdentity& receiver,
                     PiggybackOptions content, core::TimePoint now);
  std::optional<wire::MemberUpdate> ClaimAbout(const core::RouterIdentity& receiver) const;
  wire::MemberUpdate SelfUpdate() const;
  void SendPing(const core::RouterIdentity& receiver, std::uint64_t probe, PiggybackOptions content,
                core::TimePoint now, Output* output);
  void SendPingToAll(PiggybackOptions content, core::TimePoint now, Output* output);

  // member_probes.cc: what happens with time.
  void NotePause(core::TimePoint now);
  void AdvanceProbes(core::TimePoint now, Output* output);
  void AdvanceSuspects(core::TimePoint now, Output* output);
  void ProbePeriodically(core::TimePoint now, Output* output);
  void Join(core::TimePoint now, Output* output);
  void SendVerifications(core::TimePoint now, Output* output);
  void ForgetOld(core::TimePoint now);
  void StartProbe(const core::RouterIdentity& target, core::TimePoint now, Output* output);
  void StartRound(const core::RouterIdentity& target, core::TimePoint now, Output* output);
  void AskHelpers(std::uint64_t number, const core::RouterIdentity& target, core::TimePoint now,
                  Output* output);
  void FailProbe(const Probe& probe, core::TimePoint now);
  void StartSuspicion(Member* member, core::TimePoint now);
  void Verify(const std::string& address);
  const Member* NextInCycle(Cycle* cycle, const std::function<bool(const Member&)>& eligible);
  std::vector<std::string> AddressesWithoutLiveMember() const;

  MemberTableOptions options;
  std::mt19937_64 random;
  MemberList list;
  GossipQueue queue;
  std::vector<std::string> seeds;

  // Starts at 1: whoever knows this incarnation without its domain claims refutation 0.
  std::uint32_t self_refutation = 1;
  bool self_leaving = false;
  std::uint64_t generation = 0;
  std::uint64_t notice_digest = 0;

  // Probe number 0 is for pings whose Ack does not matter.
  std::uint64_t next_probe = 1;
  std::map<std::uint64_t, Probe> probes;
  std::map<std::uint64_t, Relay> relays;
  std::set<std::string> to_verify;
  double verification_tokens = 0;
  Cycle own_domain_cycle;
  Cycle other_domain_cycle;

  core::TimePoint last_tick;
  core::TimePoint next_own_domain;
  core::TimePoint next_other_domain;
  core::TimePoint next_dead;
  core::TimePoint next_forget;

  bool is_synchronized = false;
  bool join_complete = false;
  int join_matches = 0;
  std::optional<core::TimePoint> join_started;
  core::TimePoint next_join;
  core::TimePoint last_match;
  core::TimePoint next_exchange;
  core::Duration exchange_wait;
};

}  // namespace pomelospar::membership

#endif  // POMELOSPAR_LIBRARIES_MEMBERSHIP_MEMBER_TABLE_H_
