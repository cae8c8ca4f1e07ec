#include "libraries/notices/notice_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "libraries/core/identifiers.h"

namespace pomelospar::notices {
namespace {

constexpr std::size_t kMaximumSubjectBytes = 256;
// A router that still observes a fact after this time publishes it again.
constexpr core::Duration kMaximumLifetime = std::chrono::hours(24);
// Versions increase by one, so only a faulty router sends a larger version. Accepting the largest
// possible one would leave no version for a notice that replaces it.
constexpr std::uint64_t kMaximumVersion = 1ULL << 62U;
constexpr std::array kRunnerKinds = {wire::NOTICE_RUNNER_DOWN, wire::NOTICE_RUNNER_LEAVING,
                                     wire::NOTICE_RUNNER_DRAINED};

// Returns a hash of all fields except the remaining lifetime.
std::uint64_t HashOf(const wire::Notice& notice) {
  std::uint64_t hash = core::HashName(notice.subject());
  hash = core::CombineHashes(hash, core::HashName(notice.subject_incarnation()));
  hash = core::CombineHashes(hash, static_cast<std::uint64_t>(notice.kind()));
  hash = core::CombineHashes(hash, notice.version());
  hash = core::CombineHashes(hash, notice.origin());
  return core::CombineHashes(
      hash, (static_cast<std::uint64_t>(notice.value()) << 1U) | (notice.withdrawn() ? 1U : 0U));
}

bool IsNewer(const wire::Notice& left, const wire::Notice& right) {
  return left.version() != right.version() ? left.version() > right.version()
                                           : left.origin() > right.origin();
}

// Protocol Buffers reject a whole datagram if one string in it is not UTF-8, for example a hash in
// binary form.
bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char character) { return character >= ' ' && character <= '~'; });
}

bool IsWellFormed(const wire::Notice& notice) {
  return !notice.subject().empty() && notice.subject().size() <= kMaximumSubjectBytes &&
         notice.subject_incarnation().size() <= kMaximumSubjectBytes &&
         IsPrintable(notice.subject()) && IsPrintable(notice.subject_incarnation()) &&
         notice.version() != 0 && notice.version() <= kMaximumVersion;
}

// Rounds down, so that two routers cannot keep a notice alive by sending it back and forth.
std::uint32_t RemainingSeconds(core::TimePoint expiry, core::TimePoint now) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(expiry - now).count());
}

}  // namespace

NoticeTable::NoticeTable(NoticeTableOptions options) : options(options) {}

core::Result<std::optional<wire::Notice>> NoticeTable::Publish(const Fact& fact,
                                                               core::Duration lifetime,
                                                               core::TimePoint now) {
  this->Expire(now);
  lifetime = std::min(lifetime, kMaximumLifetime);
  wire::Notice notice = this->MakeNotice(fact);
  if (!IsWellFormed(notice)) {
    return core::MakeError(core::ErrorKind::kInvalidArgument,
                           fmt::format("the subject or incarnation of a notice is invalid; use 1 "
                                       "to {} printable ASCII characters",
                                       kMaximumSubjectBytes));
  }
  const Entry* known = this->FindEntry({fact.kind, fact.subject, fact.subject_incarnation}, now);
  if (known != nullptr && !known->notice.withdrawn() && known->notice.value() == fact.value &&
      known->expiry - now >= lifetime / 2) {
    return std::optional<wire::Notice>();
  }
  if (!this->Accept(notice, now + lifetime)) {
    return core::MakeError(core::ErrorKind::kExhausted,
                           fmt::format("the maximum of {} notices is stored and none expires "
                                       "earlier; withdraw drains or quarantines that are no longer "
                                       "needed",
                                       this->entries.size()));
  }
  notice.set_remaining_seconds(RemainingSeconds(now + lifetime, now));
  return std::optional<wire::Notice>(std::move(notice));
}

std::optional<wire::Notice> NoticeTable::Withdraw(const Fact& fact, core::Duration lifetime,
                                                  core::TimePoint now) {
  this->Expire(now);
  lifetime = std::min(lifetime, kMaximumLifetime);
  const Entry* known = this->FindEntry({fact.kind, fact.subject, fact.subject_incarnation}, now);
  if (known == nullptr || known->notice.withdrawn()) {
    return std::nullopt;
  }
  // The withdrawal must not expire before any copy of the fact.
  const core::TimePoint expiry = std::max(now + lifetime, known->expiry);
  wire::Notice notice = this->MakeNotice(fact);
  notice.set_withdrawn(true);
  this->Accept(notice, expiry);
  notice.set_remaining_seconds(RemainingSeconds(expiry, now));
  return notice;
}

std::vector<wire::Notice> NoticeTable::Merge(const wire::NoticeBatch& batch, core::TimePoint now) {
  this->Expire(now);
  std::vector<wire::Notice> accepted;
  for (const auto& notice : batch.notices()) {
    if (!IsWellFormed(notice)) {
      ++this->refused_count;
      continue;
    }
    if (notice.remaining_seconds() == 0) {
      continue;
    }
    const core::Duration remaining = std::chrono::seconds(notice.remaining_seconds());
    if (this->Accept(notice, now + std::min(remaining, kMaximumLifetime))) {
      accepted.push_back(notice);
    }
  }
  return accepted;
}

std::vector<wire::NoticeBatch> NoticeTable::All(std::size_t batch_bytes, core::TimePoint now) {
  this->Expire(now);
  // Upper bound of the tag and length that precede each notice, in bytes.
  constexpr std::size_t kFieldOverhead = 4;
  std::vector<wire::NoticeBatch> batches;
  std::size_t bytes = 0;
  for (const auto& [key, entry] : this->entries) {
    wire::Notice notice = entry.notice;
    notice.set_remaining_seconds(RemainingSeconds(entry.expiry, now));
    const std::size_t size = notice.ByteSizeLong() + kFieldOverhead;
    if (batches.empty() || bytes + size > batch_bytes) {
      batches.emplace_back();
      bytes = 0;
    }
    bytes += size;
    *batches.back().add_notices() = std::move(notice);
  }
  return batches;
}

std::uint64_t NoticeTable::Digest(core::TimePoint now) {
  this->Expire(now);
  return this->digest;
}

std::optional<wire::NoticeKind> NoticeTable::UnusableReason(std::string_view address,
                                                            std::string_view incarnation,
                                                            core::TimePoint now) const {
  for (const auto kind : kRunnerKinds) {
    for (auto entry = this->entries.lower_bound(KeyView{kind, address, ""});
         entry != this->entries.end() && entry->first.kind == kind &&
         entry->first.subject == address;
         ++entry) {
      const std::string& about = entry->first.incarnation;
      const bool applies = about.empty() || incarnation.empty() || about == incarnation;
      if (applies && !entry->second.notice.withdrawn() && entry->second.expiry > now) {
        return kind;
      }
    }
  }
  return std::nullopt;
}

std::optional<core::Duration> NoticeTable::QuarantineOf(std::string_view fingerprint,
                                                        core::TimePoint now) const {
  const Entry* entry = this->FindEntry({wire::NOTICE_QUARANTINE, fingerprint, ""}, now);
  if (entry == nullptr || entry->notice.withdrawn()) {
    return std::nullopt;
  }
  return entry->expiry - now;
}

std::optional<wire::Notice> NoticeTable::Find(wire::NoticeKind kind, std::string_view subject,
                                              std::string_view incarnation,
                                              core::TimePoint now) const {
  const Entry* entry = this->FindEntry({kind, subject, incarnation}, now);
  if (entry == nullptr || entry->notice.withdrawn()) {
    return std::nullopt;
  }
  wire::Notice notice = entry->notice;
  notice.set_remaining_seconds(RemainingSeconds(entry->expiry, now));
  return notice;
}

// Stores the notice if it is newer than the stored one with its key. An equal notice does not
// extend the lifetime, or copies that routers send to each other would never expire.
bool NoticeTable::Accept(wire::Notice notice, core::TimePoint expiry) {
  this->highest_version = std::max<std::uint64_t>(this->highest_version, notice.version());
  const KeyView view{notice.kind(), notice.subject(), notice.subject_incarnation()};
  auto known = this->entries.find(view);
  if (known != this->entries.end()) {
    if (!IsNewer(notice, known->second.notice)) {
      return false;
    }
    this->Erase(known);
  } else if (!this->EnsureCapacity(expiry)) {
    ++this->refused_count;
    return false;
  }
  notice.set_remaining_seconds(0);
  this->digest ^= HashOf(notice);
  Key key{notice.kind(), notice.subject(), notice.subject_incarnation()};
  const auto added = this->entries.emplace(std::move(key), Entry{std::move(notice), expiry}).first;
  this->by_expiry.emplace(expiry, &added->first);
  return true;
}

// Makes space for a notice that expires at `expiry`. If the maximum is reached, evicts the notice
// that expires first; returns false if that one does not expire before `expiry`.
bool NoticeTable::EnsureCapacity(core::TimePoint expiry) {
  if (this->entries.size() < this->options.maximum_notices) {
    return true;
  }
  const auto soonest = this->by_expiry.begin();
  if (soonest == this->by_expiry.end() || soonest->first >= expiry) {
    return false;
  }
  this->Erase(this->entries.find(*soonest->second));
  ++this->evicted_count;
  return true;
}

void NoticeTable::Erase(Entries::iterator entry) {
  this->digest ^= HashOf(entry->second.notice);
  this->by_expiry.erase({entry->second.expiry, &entry->first});
  this->entries.erase(entry);
}

void NoticeTable::Expire(core::TimePoint now) {
  while (!this->by_expiry.empty() && this->by_expiry.begin()->first <= now) {
    this->Erase(this->entries.find(*this->by_expiry.begin()->second));
  }
}

const NoticeTable::Entry* NoticeTable::FindEntry(const KeyView& key, core::TimePoint now) const {
  const auto found = this->entries.find(key);
  return found == this->entries.end() || found->second.expiry <= now ? nullptr : &found->second;
}

wire::Notice NoticeTable::MakeNotice(const Fact& fact) const {
  wire::Notice notice;
  notice.set_kind(fact.kind);
  notice.set_subject(fact.subject);
  notice.set_subject_incarnation(fact.subject_incarnation);
  notice.set_value(fact.value);
  notice.set_version(this->highest_version + 1);
  notice.set_origin(this->options.origin);
  return notice;
}

}  // namespace pomelospar::notices
