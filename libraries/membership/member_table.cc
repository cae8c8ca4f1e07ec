#include "libraries/membership/member_table.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace pomelospar::membership {
namespace {

// Maximum number of pings on behalf of other routers that are kept at a time. Bounds the memory
// that peers can make this router use.
constexpr std::size_t kMaximumRelays = 1024;
// Minimum time between two full exchanges of member lists that this router starts while it joins.
constexpr core::Duration kJoinExchangeWait = std::chrono::milliseconds(300);
// Number of matching digests after which a joining router considers its member list complete.
constexpr int kJoinMatches = 3;
// Minimum time between two such exchanges after joining. It doubles with each exchange until a
// digest matches.
constexpr core::Duration kInitialExchangeWait = std::chrono::seconds(1);
constexpr core::Duration kMaximumExchangeWait = std::chrono::seconds(32);

}  // namespace

MemberTable::MemberTable(MemberTableOptions options, core::TimePoint now)
    : options(std::move(options)), random(this->options.seed), exchange_wait(kInitialExchangeWait) {
  const auto phase = [this](core::Duration period) {
    return core::Duration(
        std::uniform_int_distribution<core::Duration::rep>(0, period.count())(this->random));
  };
  this->last_tick = now;
  this->next_own_domain = now + phase(this->options.own_domain_period);
  this->next_other_domain = now + phase(this->options.other_domain_period);
  this->next_dead = now + phase(this->options.dead_period);
  this->next_removal = now;
  this->next_join = now;
  this->last_match = now - this->options.mismatch_timeout;
  this->next_exchange = now;
  this->queue.Add(this->options.self.address, now);
}

void MemberTable::SetSeeds(std::vector<std::string> addresses) {
  std::erase(addresses, this->options.self.address);
  std::sort(addresses.begin(), addresses.end());
  this->seeds = std::move(addresses);
  if (!this->seeds.empty() && this->list.members().empty()) {
    this->is_synchronized = false;
    this->join_complete = false;
    this->join_matches = 0;
    this->join_started.reset();
  }
}

void MemberTable::SetLocalState(std::uint64_t configuration_generation,
                                std::uint64_t local_notice_digest) {
  this->generation = configuration_generation;
  this->notice_digest = local_notice_digest;
}

Output MemberTable::Handle(const core::RouterIdentity& from, const wire::Message& message,
                           core::TimePoint now) {
  Output output;
  if (from.address == this->options.self.address || from.incarnation == 0) {
    return output;
  }
  bool answers_probe = false;
  if (message.kind_case() == wire::Message::kAck) {
    const auto probe = this->probes.find(message.ack().probe());
    answers_probe = probe != this->probes.end() && probe->second.target.address == from.address;
  }
  if (this->list.RecordMessage(from, answers_probe, now, &output.events)) {
    this->queue.Add(from.address, now);
  }
  const Member* before = this->list.Find(from);
  const bool was_dead = before != nullptr && !before->live();
  switch (message.kind_case()) {
    case wire::Message::kPing:
      this->HandlePing(from, message.ping(), now, &output);
      break;
    case wire::Message::kAck:
      this->HandleAck(from, message.ack(), now, &output);
      break;
    case wire::Message::kPingRequest:
      this->HandlePingRequest(from, message.ping_request(), now, &output);
      break;
    default:
      break;
  }
  if (was_dead && this->IsLive(from)) {
    this->VerifyDomainPeers(*this->list.Find(from));
  }
  return output;
}

Output MemberTable::PingAll(core::TimePoint now) {
  Output output;
  this->SendPingToAll({}, now, &output);
  return output;
}

Output MemberTable::Leave(core::TimePoint now) {
  Output output;
  if (!this->self_leaving) {
    this->self_leaving = true;
    ++this->self_refutation;
    this->queue.Add(this->options.self.address, now);
  }
  this->SendPingToAll({.with_self = true}, now, &output);
  return output;
}

std::vector<core::RouterIdentity> MemberTable::LiveRouters(core::DomainId domain) const {
  std::vector<core::RouterIdentity> routers;
  if (domain == this->options.domain && !this->self_leaving) {
    routers.push_back(this->options.self);
  }
  for (const auto& [address, member] : this->list.members()) {
    if (member.domain == domain && member.live() && !member.leaving) {
      routers.push_back(member.identity);
    }
  }
  std::sort(routers.begin(), routers.end(), [](const auto& left, const auto& right) {
    return std::tie(left.address, left.incarnation) < std::tie(right.address, right.incarnation);
  });
  return routers;
}

std::vector<core::RouterIdentity> MemberTable::LiveMembers() const {
  std::vector<core::RouterIdentity> routers;
  for (const auto& [address, member] : this->list.members()) {
    if (member.live()) {
      routers.push_back(member.identity);
    }
  }
  return routers;
}

bool MemberTable::IsLive(const core::RouterIdentity& router) const {
  if (router == this->options.self) {
    return true;
  }
  const Member* member = this->list.Find(router);
  return member != nullptr && member->live();
}

std::uint64_t MemberTable::digest() const {
  return this->list.digest() ^ DigestOf(this->options.self, this->self_leaving);
}

void MemberTable::HandlePing(const core::RouterIdentity& from, const wire::Ping& ping,
                             core::TimePoint now, Output* output) {
  const bool correction_due = this->ApplyPiggyback(from, ping.piggyback(), now, output);
  OutgoingMessage reply{.receiver = from};
  wire::Ack* ack = reply.message.mutable_ack();
  ack->set_probe(ping.probe());
  this->FillPiggyback(ack->mutable_piggyback(), from,
                      {.full = ping.piggyback().full(), .with_self = correction_due}, now);
  output->messages.push_back(std::move(reply));
}

void MemberTable::HandleAck(const core::RouterIdentity& from, const wire::Ack& ack,
                            core::TimePoint now, Output* output) {
  const bool correction_due = this->ApplyPiggyback(from, ack.piggyback(), now, output);
  if (const auto relay = this->relays.find(ack.probe()); relay != this->relays.end()) {
    OutgoingMessage relayed{.receiver = relay->second.requester};
    wire::Ack* answer = relayed.message.mutable_ack();
    answer->set_probe(relay->second.probe);
    this->FillPiggyback(answer->mutable_piggyback(), relayed.receiver, {}, now);
    if (const Member* target = this->list.Find(relay->second.target)) {
      *answer->mutable_piggyback()->add_members() = UpdateOf(*target);
    }
    output->messages.push_back(std::move(relayed));
    this->relays.erase(relay);
    return;
  }
  const auto probe = this->probes.find(ack.probe());
  if (probe == this->probes.end()) {
    return;
  }
  if (probe->second.target.address != from.address) {
    this->list.RecordRelayedAck(probe->second.target, now);
  }
  this->probes.erase(probe);
  // Only an expected Ack may cause another Ping. Otherwise two routers could ping each other
  // without end.
  const Member* member = this->list.Find(from);
  if (correction_due || member == nullptr || !member->live()) {
    this->SendPing(from, 0, {.with_self = correction_due}, now, output);
  }
}

void MemberTable::HandlePingRequest(const core::RouterIdentity& from,
                                    const wire::PingRequest& request, core::TimePoint now,
                                    Output* output) {
  this->ApplyPiggyback(from, request.piggyback(), now, output);
  const core::RouterIdentity target{request.target().address(), request.target().incarnation()};
  if (target.address == this->options.self.address || target.address.empty() ||
      this->relays.size() >= kMaximumRelays) {
    return;
  }
  const std::uint64_t number = this->next_probe++;
  this->relays[number] =
      Relay{.requester = from, .target = target, .probe = request.probe(), .sent = now};
  this->SendPing(target, number, {}, now, output);
}

bool MemberTable::ApplyPiggyback(const core::RouterIdentity& from, const wire::Piggyback& piggyback,
                                 core::TimePoint now, Output* output) {
  bool correction_due = false;
  for (const auto& update : piggyback.members()) {
    const std::string& address = update.router().address();
    if (address == this->options.self.address) {
      correction_due = this->ApplyClaimAboutSelf(update, now) || correction_due;
      continue;
    }
    switch (this->list.Merge(update, now, &output->events)) {
      case MergeOutcome::kIgnored:
        break;
      case MergeOutcome::kChanged:
        this->queue.Add(address, now);
        break;
      case MergeOutcome::kContradiction:
        this->ScheduleVerification(address);
        break;
    }
  }
  if (piggyback.full() && !this->is_synchronized) {
    this->is_synchronized = true;
    this->SendPingToAll({.with_self = true}, now, output);
  }
  this->ReportPeerState(from, piggyback, output);
  this->CompareDigests(from, piggyback, now, output);
  return correction_due;
}

// Returns true if the update is wrong about this router, so that the sender has to be sent this
// router's state.
bool MemberTable::ApplyClaimAboutSelf(const wire::MemberUpdate& update, core::TimePoint now) {
  const bool says_live =
      update.status() == wire::MEMBER_ALIVE || update.status() == wire::MEMBER_LEAVING;
  if (update.router().incarnation() != this->options.self.incarnation) {
    return update.status() != wire::MEMBER_DEAD;
  }
  if (update.refutation() > this->self_refutation ||
      (!says_live && update.refutation() == this->self_refutation)) {
    this->self_refutation = update.refutation() + 1;
    this->queue.Add(this->options.self.address, now);
  }
  const bool says_leaving = update.status() == wire::MEMBER_LEAVING;
  return !says_live || says_leaving != this->self_leaving;
}

void MemberTable::ReportPeerState(const core::RouterIdentity& from,
                                  const wire::Piggyback& piggyback, Output* output) const {
  const Member* member = this->list.Find(from);
  MemberEvent event{.router = from};
  event.domain = member != nullptr ? member->domain : core::DomainId{};
  if (piggyback.configuration_generation() > this->generation) {
    event.kind = EventKind::kGenerationSeen;
    event.value = piggyback.configuration_generation();
    output->events.push_back(event);
  }
  if (piggyback.notice_digest() != this->notice_digest) {
    event.kind = EventKind::kNoticeDigestSeen;
    event.value = piggyback.notice_digest();
    output->events.push_back(event);
  }
}

void MemberTable::CompareDigests(const core::RouterIdentity& from, const wire::Piggyback& piggyback,
                                 core::TimePoint now, Output* output) {
  if (piggyback.member_digest() == this->digest()) {
    this->last_match = now;
    this->exchange_wait = kInitialExchangeWait;
    // A match right after a full exchange proves nothing, because the two routers then agree even
    // if both lack the same members.
    if (this->is_synchronized && !piggyback.full() && ++this->join_matches >= kJoinMatches) {
      this->join_complete = true;
    }
    return;
  }
  const bool lasts =
      !this->join_complete || now - this->last_match >= this->options.mismatch_timeout;
  if (!this->is_synchronized || !lasts || now < this->next_exchange || !this->IsLive(from)) {
    return;
  }
  this->join_matches = 0;
  if (!this->join_complete) {
    this->next_exchange = now + kJoinExchangeWait;
    this->SendPing(from, 0, {.full = true}, now, output);
    return;
  }
  this->next_exchange = now + this->exchange_wait;
  this->exchange_wait = std::min<core::Duration>(2 * this->exchange_wait, kMaximumExchangeWait);
  this->SendPing(from, 0, {.full = true}, now, output);
}

void MemberTable::FillPiggyback(wire::Piggyback* piggyback, const core::RouterIdentity& receiver,
                                PiggybackOptions content, core::TimePoint now) {
  piggyback->set_configuration_generation(this->generation);
  piggyback->set_notice_digest(this->notice_digest);
  piggyback->set_member_digest(this->digest());
  if (content.full) {
    piggyback->set_full(true);
    *piggyback->add_members() = this->SelfUpdate();
    for (const auto& [address, member] : this->list.members()) {
      *piggyback->add_members() = UpdateOf(member);
    }
    return;
  }
  if (auto claim = this->ClaimToRefute(receiver)) {
    *piggyback->add_members() = std::move(*claim);
  }
  if (content.with_self) {
    *piggyback->add_members() = this->SelfUpdate();
  }
  const std::size_t transmissions = 3UL * std::bit_width(this->list.live() + 1);
  for (const auto& address :
       this->queue.Take(this->options.updates_per_message, transmissions, now)) {
    const Member* member = this->list.Find(address);
    if (address == this->options.self.address && !content.with_self) {
      *piggyback->add_members() = this->SelfUpdate();
    } else if (member != nullptr && address != receiver.address) {
      *piggyback->add_members() = UpdateOf(*member);
    }
  }
}

// Returns the update that the receiver has to refute if this router considers it suspect or dead,
// or does not know its domain.
std::optional<wire::MemberUpdate> MemberTable::ClaimToRefute(
    const core::RouterIdentity& receiver) const {
  const Member* member = this->list.Find(receiver.address);
  if (member == nullptr && receiver.incarnation != 0) {
    wire::MemberUpdate unknown;
    unknown.mutable_router()->set_address(receiver.address);
    unknown.mutable_router()->set_incarnation(receiver.incarnation);
    unknown.set_status(wire::MEMBER_SUSPECT);
    return unknown;
  }
  if (member != nullptr &&
      (!member->live() || member->status == MemberStatus::kSuspect || member->refutation == 0)) {
    wire::MemberUpdate claim = UpdateOf(*member);
    if (member->refutation == 0 && member->live()) {
      claim.set_status(wire::MEMBER_SUSPECT);
    }
    return claim;
  }
  return std::nullopt;
}

wire::MemberUpdate MemberTable::SelfUpdate() const {
  wire::MemberUpdate update;
  update.mutable_router()->set_address(this->options.self.address);
  update.mutable_router()->set_incarnation(this->options.self.incarnation);
  update.set_domain(core::Raw(this->options.domain));
  update.set_status(this->self_leaving ? wire::MEMBER_LEAVING : wire::MEMBER_ALIVE);
  update.set_refutation(this->self_refutation);
  return update;
}

void MemberTable::SendPing(const core::RouterIdentity& receiver, std::uint64_t probe,
                           PiggybackOptions content, core::TimePoint now, Output* output) {
  OutgoingMessage outgoing{.receiver = receiver};
  wire::Ping* ping = outgoing.message.mutable_ping();
  ping->set_probe(probe);
  this->FillPiggyback(ping->mutable_piggyback(), receiver, content, now);
  output->messages.push_back(std::move(outgoing));
}

void MemberTable::SendPingToAll(PiggybackOptions content, core::TimePoint now, Output* output) {
  for (const auto& router : this->LiveMembers()) {
    this->SendPing(router, 0, content, now, output);
  }
}

}  // namespace pomelospar::membership
