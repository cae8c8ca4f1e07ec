// The part of MemberTable that is driven by timers: probes, suspicions and joining.

#include <algorithm>
#include <utility>

#include "libraries/membership/member_table.h"

namespace pomelospar::membership {
namespace {

// How long after a probe was sent a late Ack still shows that the target is alive.
constexpr core::Duration kProbeRetention = std::chrono::seconds(3);
// How long this router waits for the Ack to a ping on behalf of another router.
constexpr core::Duration kRelayRetention = std::chrono::seconds(2);
// If there was no tick for this long, the process was paused. Acks that it waited for may have
// arrived but not been read, so their absence shows nothing.
constexpr core::Duration kPauseThreshold = std::chrono::seconds(1);
// The router that raised a suspicion decides it. Other routers probe the suspect themselves only if
// they have not received the decision after this many suspicion timeouts.
constexpr int kSuspicionTimeoutsOfOthers = 2;
// Interval at which a joining router requests the full member list from `kJoinPeers` random seeds.
constexpr core::Duration kJoinPeriod = std::chrono::milliseconds(500);
// Interval at which a joining router that has received a full list compares its digest with a peer.
constexpr core::Duration kJoinProbePeriod = std::chrono::milliseconds(200);
constexpr core::Duration kJoinTimeout = std::chrono::seconds(10);
constexpr std::size_t kJoinPeers = 3;
constexpr core::Duration kRemovalPeriod = std::chrono::seconds(10);
// Maximum number of extra probes a second that check contradictory reports. After a partition, each
// side of a fleet of 370 routers has declared hundreds of members dead; a probe with its Ack takes
// about 300 bytes.
constexpr double kVerificationsPerSecond = 40;
constexpr std::size_t kMaximumToVerify = 512;
// When a member becomes suspect or returns, this many other members of its failure domain are
// probed early, so that the loss or the return of a whole domain is noticed in seconds.
constexpr std::size_t kDomainPeersToVerify = 3;

}  // namespace

Output MemberTable::Tick(core::TimePoint now) {
  Output output;
  this->ResetAfterPause(now);
  this->AdvanceProbes(now, &output);
  this->AdvanceSuspects(now, &output);
  this->ProbePeriodically(now, &output);
  this->Join(now, &output);
  this->SendVerifications(now, &output);
  this->RemoveOldDeadMembers(now);
  this->last_tick = now;
  return output;
}

void MemberTable::ResetAfterPause(core::TimePoint now) {
  if (now - this->last_tick < kPauseThreshold) {
    return;
  }
  this->probes.clear();
  for (auto& [address, member] : this->list.members()) {
    if (member.status == MemberStatus::kSuspect) {
      member.status_changed = now;
      member.probing_since = now;
    }
  }
}

void MemberTable::AdvanceProbes(core::TimePoint now, Output* output) {
  std::vector<std::uint64_t> to_probe_indirectly;
  for (auto& [number, probe] : this->probes) {
    const core::Duration age = now - probe.sent;
    if (!probe.settled && !probe.indirect && age >= this->options.ack_timeout) {
      probe.indirect = true;
      to_probe_indirectly.push_back(number);
    } else if (!probe.settled && age >= 2 * this->options.ack_timeout) {
      probe.settled = true;
      this->FailProbe(probe, now);
    }
  }
  for (const std::uint64_t number : to_probe_indirectly) {
    const core::RouterIdentity target = this->probes.at(number).target;
    if (target.incarnation != 0) {
      this->RequestIndirectProbes(number, target, now, output);
    }
  }
  std::erase_if(this->probes,
                [&](const auto& entry) { return now - entry.second.sent > kProbeRetention; });
  std::erase_if(this->relays,
                [&](const auto& entry) { return now - entry.second.sent > kRelayRetention; });
}

void MemberTable::AdvanceSuspects(core::TimePoint now, Output* output) {
  if (this->list.suspects() == 0) {
    return;
  }
  std::vector<std::string> dead_addresses;
  for (auto& [address, member] : this->list.members()) {
    if (member.status != MemberStatus::kSuspect) {
      continue;
    }
    if (!member.probed_here) {
      // The random delay spreads the probes of routers that learned of the suspicion at the same
      // time.
      if (now - member.status_changed >=
              kSuspicionTimeoutsOfOthers * this->options.suspicion_timeout &&
          this->random() % 4 == 0) {
        this->StartSuspicion(&member, now);
      }
      continue;
    }
    if (member.last_contact >= member.probing_since) {
      member.probing_since = now;
    } else if (now - member.probing_since >= this->options.suspicion_timeout) {
      dead_addresses.push_back(address);
      continue;
    }
    if (now >= member.next_suspect_probe) {
      member.next_suspect_probe = now + this->options.ack_timeout;
      this->ProbeSuspect(member.identity, now, output);
    }
  }
  for (const auto& address : dead_addresses) {
    this->list.MarkDead(address, now, &output->events);
    this->queue.Add(address, now);
  }
}

void MemberTable::ProbePeriodically(core::TimePoint now, Output* output) {
  const auto due = [now](core::TimePoint* next, core::Duration period) {
    if (now < *next) {
      return false;
    }
    // Probes missed during a pause are not sent later.
    *next = std::max(*next + period, now);
    return true;
  };
  if (due(&this->next_own_domain, this->options.own_domain_period)) {
    const Member* target = this->NextInCycle(&this->own_domain_cycle, [this](const Member& member) {
      return member.live() && member.domain == this->options.domain;
    });
    if (target != nullptr) {
      this->StartProbe(target->identity, now, output);
    }
  }
  if (due(&this->next_other_domain, this->options.other_domain_period)) {
    const Member* target =
        this->NextInCycle(&this->other_domain_cycle, [this](const Member& member) {
          return member.live() && member.domain != this->options.domain;
        });
    if (target != nullptr) {
      this->StartProbe(target->identity, now, output);
    }
  }
  if (due(&this->next_dead, this->options.dead_period)) {
    const auto addresses = this->AddressesWithoutLiveMember();
    if (!addresses.empty()) {
      this->StartProbe({addresses[this->random() % addresses.size()], 0}, now, output);
    }
  }
}

// If many routers start together, the first full lists are incomplete. A router therefore continues
// to compare digests with random peers until several of them match.
void MemberTable::Join(core::TimePoint now, Output* output) {
  if (this->join_complete || now < this->next_join) {
    return;
  }
  if (!this->join_started) {
    this->join_started = now;
  }
  if (this->seeds.empty() || now - *this->join_started > kJoinTimeout) {
    this->is_synchronized = true;
    this->join_complete = true;
    return;
  }
  if (this->is_synchronized) {
    this->next_join = now + kJoinProbePeriod;
    const auto known = this->LiveMembers();
    if (!known.empty()) {
      this->StartProbe(known[this->random() % known.size()], now, output);
    }
    return;
  }
  this->next_join = now + kJoinPeriod;
  std::vector<std::string> peers;
  std::sample(this->seeds.begin(), this->seeds.end(), std::back_inserter(peers), kJoinPeers,
              this->random);
  for (const auto& address : peers) {
    this->SendPing({address, 0}, 0, {.full = true}, now, output);
  }
}

void MemberTable::SendVerifications(core::TimePoint now, Output* output) {
  const double seconds = std::chrono::duration<double>(now - this->last_tick).count();
  this->verification_tokens = std::min(
      kVerificationsPerSecond, this->verification_tokens + seconds * kVerificationsPerSecond);
  if (this->to_verify.empty() || this->verification_tokens < 1) {
    return;
  }
  std::vector<std::string> chosen;
  std::sample(this->to_verify.begin(), this->to_verify.end(), std::back_inserter(chosen),
              static_cast<std::size_t>(this->verification_tokens), this->random);
  this->verification_tokens -= static_cast<double>(chosen.size());
  for (const auto& address : chosen) {
    this->to_verify.erase(address);
    const Member* member = this->list.Find(address);
    const bool suspect = member != nullptr && member->status == MemberStatus::kSuspect;
    if (!suspect) {
      const bool live = member != nullptr && member->live();
      this->StartProbe({address, live ? member->identity.incarnation : 0}, now, output);
    }
  }
}

void MemberTable::RemoveOldDeadMembers(core::TimePoint now) {
  if (now < this->next_removal) {
    return;
  }
  this->next_removal = now + kRemovalPeriod;
  this->list.RemoveDead(now - this->options.dead_retention, this->seeds);
}

void MemberTable::StartProbe(const core::RouterIdentity& target, core::TimePoint now,
                             Output* output) {
  const std::uint64_t number = this->next_probe++;
  this->probes[number] = Probe{.target = target, .sent = now};
  this->SendPing(target, number, {}, now, output);
}

// Pings a suspect directly and through other routers at the same time.
void MemberTable::ProbeSuspect(const core::RouterIdentity& target, core::TimePoint now,
                               Output* output) {
  const std::uint64_t number = this->next_probe++;
  this->probes[number] = Probe{.target = target, .sent = now, .indirect = true, .settled = true};
  this->SendPing(target, number, {}, now, output);
  this->RequestIndirectProbes(number, target, now, output);
}

void MemberTable::RequestIndirectProbes(std::uint64_t number, const core::RouterIdentity& target,
                                        core::TimePoint now, Output* output) {
  // A ping without an incarnation is also accepted by a process that was restarted in the meantime.
  this->SendPing({target.address, 0}, number, {}, now, output);
  std::vector<core::RouterIdentity> candidates;
  for (const auto& [address, member] : this->list.members()) {
    if (member.live() && member.status != MemberStatus::kSuspect && address != target.address) {
      candidates.push_back(member.identity);
    }
  }
  std::vector<core::RouterIdentity> chosen;
  std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen),
              this->options.indirect_probe_peers, this->random);
  for (const auto& intermediary : chosen) {
    OutgoingMessage outgoing{.receiver = intermediary};
    wire::PingRequest* request = outgoing.message.mutable_ping_request();
    request->set_probe(number);
    request->mutable_target()->set_address(target.address);
    request->mutable_target()->set_incarnation(target.incarnation);
    this->FillPiggyback(request->mutable_piggyback(), intermediary, {}, now);
    if (const Member* member = this->list.Find(target)) {
      *request->mutable_piggyback()->add_members() = UpdateOf(*member);
    }
    output->messages.push_back(std::move(outgoing));
  }
}

void MemberTable::FailProbe(const Probe& probe, core::TimePoint now) {
  Member* member = this->list.Find(probe.target.address);
  if (member == nullptr || member->identity != probe.target || !member->live() ||
      member->last_contact >= probe.sent) {
    return;
  }
  if (this->list.MarkSuspect(probe.target.address, now)) {
    this->queue.Add(probe.target.address, now);
    this->VerifyDomainPeers(*member);
  }
  if (!member->probed_here) {
    this->StartSuspicion(member, now);
  }
}

void MemberTable::VerifyDomainPeers(const Member& member) {
  const bool expect_live = member.status == MemberStatus::kSuspect;
  std::vector<std::string> domain_peers;
  for (const auto& [address, other] : this->list.members()) {
    if (other.domain == member.domain && other.live() == expect_live &&
        other.status != MemberStatus::kSuspect) {
      domain_peers.push_back(address);
    }
  }
  std::vector<std::string> chosen;
  std::sample(domain_peers.begin(), domain_peers.end(), std::back_inserter(chosen),
              kDomainPeersToVerify, this->random);
  for (const auto& address : chosen) {
    this->ScheduleVerification(address);
  }
}

void MemberTable::StartSuspicion(Member* member, core::TimePoint now) {
  member->probed_here = true;
  member->probing_since = now;
  member->next_suspect_probe = now;
}

void MemberTable::ScheduleVerification(const std::string& address) {
  if (this->to_verify.size() < kMaximumToVerify) {
    this->to_verify.insert(address);
  }
}

// Returns the next eligible member in a random order without repetition, which bounds the time
// until every member is probed. Returns null if no member is eligible.
const Member* MemberTable::NextInCycle(Cycle* cycle,
                                       const std::function<bool(const Member&)>& eligible) {
  for (int round = 0; round < 2; ++round) {
    while (cycle->next < cycle->order.size()) {
      const Member* member = this->list.Find(cycle->order[cycle->next++]);
      if (member != nullptr && eligible(*member)) {
        return member;
      }
    }
    cycle->order.clear();
    cycle->next = 0;
    for (const auto& [address, member] : this->list.members()) {
      if (eligible(member)) {
        cycle->order.push_back(address);
      }
    }
    std::shuffle(cycle->order.begin(), cycle->order.end(), this->random);
  }
  return nullptr;
}

std::vector<std::string> MemberTable::AddressesWithoutLiveMember() const {
  std::vector<std::string> addresses;
  for (const auto& [address, member] : this->list.members()) {
    if (!member.live()) {
      addresses.push_back(address);
    }
  }
  for (const auto& address : this->seeds) {
    if (this->list.Find(address) == nullptr) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

}  // namespace pomelospar::membership
