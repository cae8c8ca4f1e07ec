#include "libraries/membership/member_list.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pomelospar::membership {
namespace {

// Ten times the routers of the target fleet. Bounds the memory that faulty peers can make this
// router use.
constexpr std::size_t kMaximumMembers = 4096;
// More than the restarts expected at one address while a dead member is remembered.
constexpr std::size_t kMaximumPastIncarnations = 16;
// If `last_contact` of a member is more recent than this, an update that names another incarnation
// at its address is not applied but checked by a probe.
constexpr core::Duration kRecentContactPeriod = std::chrono::seconds(5);

bool IsPastIncarnation(const Member& member, std::uint64_t incarnation) {
  return std::find(member.past_incarnations.begin(), member.past_incarnations.end(), incarnation) !=
         member.past_incarnations.end();
}

void AddPastIncarnation(Member* member, std::uint64_t incarnation) {
  if (IsPastIncarnation(*member, incarnation)) {
    return;
  }
  if (member->past_incarnations.size() >= kMaximumPastIncarnations) {
    member->past_incarnations.erase(member->past_incarnations.begin());
  }
  member->past_incarnations.push_back(incarnation);
}

MemberEvent EventOf(EventKind kind, const Member& member) {
  return MemberEvent{.kind = kind, .router = member.identity, .domain = member.domain};
}

}  // namespace

wire::MemberUpdate UpdateOf(const Member& member) {
  wire::MemberUpdate update;
  update.mutable_router()->set_address(member.identity.address);
  update.mutable_router()->set_incarnation(member.identity.incarnation);
  update.set_domain(core::Raw(member.domain));
  update.set_refutation(member.refutation);
  switch (member.status) {
    case MemberStatus::kAlive:
    case MemberStatus::kLeaving:
      update.set_status(member.leaving ? wire::MEMBER_LEAVING : wire::MEMBER_ALIVE);
      break;
    case MemberStatus::kSuspect:
      update.set_status(wire::MEMBER_SUSPECT);
      break;
    case MemberStatus::kDead:
      update.set_status(wire::MEMBER_DEAD);
      break;
  }
  return update;
}

std::uint64_t DigestOf(const core::RouterIdentity& router, bool leaving) {
  return core::CombineHashes(core::HashOf(router), leaving ? 1 : 0);
}

MergeOutcome MemberList::Merge(const wire::MemberUpdate& update, core::TimePoint now,
                               std::vector<MemberEvent>* events) {
  if (update.router().address().empty() || update.router().incarnation() == 0) {
    return MergeOutcome::kIgnored;
  }
  Member* member = this->Find(update.router().address());
  if (member == nullptr) {
    if (update.status() == wire::MEMBER_DEAD || update.domain() == 0 ||
        this->by_address.size() >= kMaximumMembers) {
      return MergeOutcome::kIgnored;
    }
    this->Add(update, now, events);
    return MergeOutcome::kChanged;
  }
  if (member->identity.incarnation != update.router().incarnation()) {
    return this->MergeOtherIncarnation(member, update, now, events);
  }
  if (update.refutation() < member->refutation) {
    return MergeOutcome::kIgnored;
  }
  switch (update.status()) {
    case wire::MEMBER_DEAD:
      return this->MergeDead(member, update, now, events);
    case wire::MEMBER_SUSPECT:
      return this->MergeSuspect(member, update, now, events);
    case wire::MEMBER_ALIVE:
    case wire::MEMBER_LEAVING:
      return this->MergeAlive(member, update, now, events);
    default:
      return MergeOutcome::kIgnored;
  }
}

bool MemberList::RecordMessage(const core::RouterIdentity& router, bool answers_probe,
                               core::TimePoint now, std::vector<MemberEvent>* events) {
  Member* member = this->Find(router.address);
  if (member == nullptr) {
    return false;
  }
  if (member->identity.incarnation == router.incarnation) {
    member->last_contact = now;
    return false;
  }
  if (IsPastIncarnation(*member, router.incarnation) && !answers_probe) {
    return false;
  }
  this->Replace(member, router.incarnation, now, events);
  member->last_contact = now;
  return true;
}

void MemberList::RecordRelayedAck(const core::RouterIdentity& router, core::TimePoint now) {
  Member* member = this->Find(router.address);
  if (member != nullptr && member->identity.incarnation == router.incarnation) {
    member->last_contact = now;
  }
}

bool MemberList::MarkSuspect(const std::string& address, core::TimePoint now) {
  Member* member = this->Find(address);
  if (member == nullptr || !member->live() || member->status == MemberStatus::kSuspect) {
    return false;
  }
  this->SetStatus(member, MemberStatus::kSuspect, now);
  return true;
}

bool MemberList::MarkDead(const std::string& address, core::TimePoint now,
                          std::vector<MemberEvent>* events) {
  Member* member = this->Find(address);
  if (member == nullptr || !member->live()) {
    return false;
  }
  this->SetStatus(member, MemberStatus::kDead, now);
  events->push_back(EventOf(EventKind::kDied, *member));
  return true;
}

void MemberList::RemoveDead(core::TimePoint before, const std::vector<std::string>& keep) {
  std::erase_if(this->by_address, [&](const auto& entry) {
    return !entry.second.live() && entry.second.status_changed < before &&
           !std::binary_search(keep.begin(), keep.end(), entry.first);
  });
}

Member* MemberList::Find(const std::string& address) {
  const auto found = this->by_address.find(address);
  return found == this->by_address.end() ? nullptr : &found->second;
}

const Member* MemberList::Find(const std::string& address) const {
  const auto found = this->by_address.find(address);
  return found == this->by_address.end() ? nullptr : &found->second;
}

const Member* MemberList::Find(const core::RouterIdentity& router) const {
  const Member* member = this->Find(router.address);
  return member != nullptr && member->identity == router ? member : nullptr;
}

void MemberList::SetStatus(Member* member, MemberStatus status, core::TimePoint now) {
  if (member->live()) {
    this->live_digest ^= DigestOf(member->identity, member->leaving);
    --this->live_count;
  }
  if (member->status == MemberStatus::kSuspect) {
    --this->suspect_count;
  }
  member->status = status;
  member->status_changed = now;
  member->probed_here = false;
  if (member->live()) {
    this->live_digest ^= DigestOf(member->identity, member->leaving);
    ++this->live_count;
  }
  if (status == MemberStatus::kSuspect) {
    ++this->suspect_count;
  }
}

void MemberList::SetLeaving(Member* member, std::vector<MemberEvent>* events) {
  if (member->leaving) {
    return;
  }
  if (member->live()) {
    this->live_digest ^= DigestOf(member->identity, false) ^ DigestOf(member->identity, true);
    events->push_back(EventOf(EventKind::kLeaving, *member));
  }
  member->leaving = true;
  if (member->status == MemberStatus::kAlive) {
    member->status = MemberStatus::kLeaving;
  }
}

void MemberList::Add(const wire::MemberUpdate& update, core::TimePoint now,
                     std::vector<MemberEvent>* events) {
  Member& member = this->by_address[update.router().address()];
  member.identity = {update.router().address(), update.router().incarnation()};
  member.domain = static_cast<core::DomainId>(update.domain());
  member.refutation = update.refutation();
  // Starts as dead, because a dead member is part of no digest and no count.
  member.status = MemberStatus::kDead;
  this->SetStatus(&member, MemberStatus::kAlive, now);
  events->push_back(EventOf(EventKind::kJoined, member));
  if (update.status() == wire::MEMBER_LEAVING) {
    this->SetLeaving(&member, events);
  } else if (update.status() == wire::MEMBER_SUSPECT) {
    this->SetStatus(&member, MemberStatus::kSuspect, now);
  }
}

void MemberList::Replace(Member* member, std::uint64_t incarnation, core::TimePoint now,
                         std::vector<MemberEvent>* events) {
  const bool was_live = member->live();
  const std::uint64_t previous = member->identity.incarnation;
  this->SetStatus(member, MemberStatus::kDead, now);
  std::erase(member->past_incarnations, incarnation);
  AddPastIncarnation(member, previous);
  member->identity.incarnation = incarnation;
  member->refutation = 0;
  member->leaving = false;
  member->last_contact = {};
  this->SetStatus(member, MemberStatus::kAlive, now);
  MemberEvent event = EventOf(was_live ? EventKind::kRestarted : EventKind::kJoined, *member);
  event.previous_incarnation = previous;
  events->push_back(std::move(event));
}

MergeOutcome MemberList::MergeOtherIncarnation(Member* member, const wire::MemberUpdate& update,
                                               core::TimePoint now,
                                               std::vector<MemberEvent>* events) {
  const std::uint64_t incarnation = update.router().incarnation();
  if (IsPastIncarnation(*member, incarnation) || update.domain() == 0) {
    return MergeOutcome::kIgnored;
  }
  if (update.status() == wire::MEMBER_DEAD) {
    AddPastIncarnation(member, incarnation);
    return MergeOutcome::kIgnored;
  }
  if (member->live() && now - member->last_contact < kRecentContactPeriod) {
    return MergeOutcome::kContradiction;
  }
  this->Replace(member, incarnation, now, events);
  member->domain = static_cast<core::DomainId>(update.domain());
  this->Merge(update, now, events);
  return MergeOutcome::kChanged;
}

MergeOutcome MemberList::MergeDead(Member* member, const wire::MemberUpdate& update,
                                   core::TimePoint now, std::vector<MemberEvent>* events) {
  if (!member->live()) {
    member->refutation = update.refutation();
    return MergeOutcome::kIgnored;
  }
  if (member->status != MemberStatus::kSuspect) {
    return MergeOutcome::kContradiction;
  }
  member->refutation = update.refutation();
  this->MarkDead(member->identity.address, now, events);
  return MergeOutcome::kChanged;
}

MergeOutcome MemberList::MergeSuspect(Member* member, const wire::MemberUpdate& update,
                                      core::TimePoint now, std::vector<MemberEvent>* events) {
  const bool newer = update.refutation() > member->refutation;
  if (member->status == MemberStatus::kSuspect) {
    member->refutation = update.refutation();
    return newer ? MergeOutcome::kChanged : MergeOutcome::kIgnored;
  }
  if (!member->live() && !newer) {
    return MergeOutcome::kIgnored;
  }
  const bool was_dead = !member->live();
  member->refutation = update.refutation();
  this->SetStatus(member, MemberStatus::kSuspect, now);
  if (was_dead) {
    events->push_back(EventOf(EventKind::kJoined, *member));
  }
  return MergeOutcome::kChanged;
}

MergeOutcome MemberList::MergeAlive(Member* member, const wire::MemberUpdate& update,
                                    core::TimePoint now, std::vector<MemberEvent>* events) {
  const bool newer = update.refutation() > member->refutation;
  const bool starts_leaving = update.status() == wire::MEMBER_LEAVING && !member->leaving;
  const bool was_dead = !member->live();
  if (was_dead && !newer) {
    return MergeOutcome::kContradiction;
  }
  member->refutation = update.refutation();
  if (newer && (was_dead || member->status == MemberStatus::kSuspect)) {
    this->SetStatus(member, member->leaving ? MemberStatus::kLeaving : MemberStatus::kAlive, now);
  }
  if (newer && update.domain() != 0) {
    member->domain = static_cast<core::DomainId>(update.domain());
  }
  if (was_dead) {
    events->push_back(EventOf(EventKind::kJoined, *member));
  }
  if (starts_leaving) {
    this->SetLeaving(member, events);
  }
  return newer || starts_leaving ? MergeOutcome::kChanged : MergeOutcome::kIgnored;
}

}  // namespace pomelospar::membership
