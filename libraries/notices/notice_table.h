#ifndef POMELOSPAR_LIBRARIES_NOTICES_NOTICE_TABLE_H_
#define POMELOSPAR_LIBRARIES_NOTICES_NOTICE_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libraries/core/clock.h"
#include "libraries/core/result.h"
#include "libraries/wire/control.pb.h"

namespace pomelospar::notices {

struct NoticeTableOptions {
  /// Incarnation of this router. Of two notices with the same version, the one with the higher
  /// origin wins.
  std::uint64_t origin = 0;
  /// Maximum number of notices, withdrawals included. The default is twice the runners of the
  /// target fleet.
  std::size_t maximum_notices = 4096;
};

/// A statement about a runner or a request fingerprint.
struct Fact {
  wire::NoticeKind kind = wire::NOTICE_RUNNER_LEAVING;
  /// Address of the runner, or the fingerprint in hexadecimal digits.
  std::string subject;
  /// Incarnation of the runner that the fact is about. Empty means any incarnation. For a crash
  /// suspicion, it identifies the crash and the router that reports it.
  std::string subject_incarnation;
  /// For a crash suspicion, the number of different fingerprints that the reporting router had in
  /// flight on the runner. Not used by the other kinds.
  std::uint32_t value = 0;
};

/// Facts with a limited lifetime that are replicated to every router as notices. A router that
/// publishes a fact sends the notice to all live routers. A router that missed it detects this by
/// the digest that probes report, and exchanges all notices with the sender of the probe. Merging
/// is commutative and idempotent.
class NoticeTable {
 public:
  explicit NoticeTable(NoticeTableOptions options);

  /// Stores a fact for `lifetime`, at most 24 h. Returns the notice that the caller must send to
  /// all live routers, or nothing if the same fact is already stored and remains valid for at least
  /// half of the lifetime. Errors: `kInvalidArgument` for a subject that is empty, and for a
  /// subject or incarnation that is longer than 256 bytes or not printable ASCII; `kExhausted` if
  /// the maximum number of notices is stored and none of them expires before this one would.
  core::Result<std::optional<wire::Notice>> Publish(const Fact& fact, core::Duration lifetime,
                                                    core::TimePoint now);

  /// Withdraws a fact. The withdrawal is stored in place of the fact for `lifetime`, which should
  /// be that of the fact. Returns the notice to send to all live routers, or nothing if no such
  /// fact is stored.
  std::optional<wire::Notice> Withdraw(const Fact& fact, core::Duration lifetime,
                                       core::TimePoint now);

  /// Stores the notices that are newer than those stored here and returns them. The caller must not
  /// forward them to other routers.
  std::vector<wire::Notice> Merge(const wire::NoticeBatch& batch, core::TimePoint now);

  /// Returns all notices, withdrawals included, in batches of at most `batch_bytes`. A batch has at
  /// least one notice, even if that is larger.
  std::vector<wire::NoticeBatch> All(std::size_t batch_bytes, core::TimePoint now);

  /// Returns a digest that is equal on routers with the same notices. It does not depend on the
  /// remaining lifetimes.
  std::uint64_t Digest(core::TimePoint now);

  /// Returns why no new work may be sent to this runner: it is down, leaving or drained. Returns
  /// nothing if the runner is usable. An empty incarnation means that it is unknown; notices about
  /// every incarnation of the runner then apply.
  std::optional<wire::NoticeKind> UnusableReason(std::string_view address,
                                                 std::string_view incarnation,
                                                 core::TimePoint now) const;
  bool IsRunnerUsable(std::string_view address, std::string_view incarnation,
                      core::TimePoint now) const {
    return !this->UnusableReason(address, incarnation, now).has_value();
  }

  /// Returns the remaining time of the quarantine of this fingerprint, or nothing if it is not in
  /// quarantine.
  std::optional<core::Duration> QuarantineOf(std::string_view fingerprint,
                                             core::TimePoint now) const;

  /// Returns the notice with exactly this kind, subject and incarnation, unless it is withdrawn or
  /// expired.
  std::optional<wire::Notice> Find(wire::NoticeKind kind, std::string_view subject,
                                   std::string_view incarnation, core::TimePoint now) const;

  /// Number of stored notices, withdrawals included.
  std::size_t size() const { return this->entries.size(); }
  /// Number of notices refused because they were malformed or no space was left.
  std::uint64_t refused() const { return this->refused_count; }
  /// Number of notices removed before their expiry in favour of notices that expire later.
  std::uint64_t evicted() const { return this->evicted_count; }

 private:
  struct Key {
    wire::NoticeKind kind;
    std::string subject;
    std::string incarnation;
  };
  struct KeyView {
    wire::NoticeKind kind;
    std::string_view subject;
    std::string_view incarnation;
  };
  struct KeyLess {
    using is_transparent = void;
    template <typename Left, typename Right>
    bool operator()(const Left& left, const Right& right) const {
      if (left.kind != right.kind) {
        return left.kind < right.kind;
      }
      if (const int order = std::string_view(left.subject).compare(right.subject); order != 0) {
        return order < 0;
      }
      return std::string_view(left.incarnation) < std::string_view(right.incarnation);
    }
  };
  // A stored notice. Its `remaining_seconds` is zero; `expiry` replaces it.
  struct Entry {
    wire::Notice notice;
    core::TimePoint expiry;
  };
  using Entries = std::map<Key, Entry, KeyLess>;

  bool Accept(wire::Notice notice, core::TimePoint expiry);
  bool EnsureCapacity(core::TimePoint expiry);
  void Erase(Entries::iterator entry);
  void Expire(core::TimePoint now);
  const Entry* FindEntry(const KeyView& key, core::TimePoint now) const;
  wire::Notice MakeNotice(const Fact& fact) const;

  NoticeTableOptions options;
  Entries entries;
  // Entries in order of their expiry.
  std::set<std::pair<core::TimePoint, const Key*>> by_expiry;
  std::uint64_t digest = 0;
  // The highest version received or published. A new notice gets a higher one, so that it replaces
  // an older notice at other routers even if that one has already expired here.
  std::uint64_t highest_version = 0;
  std::uint64_t refused_count = 0;
  std::uint64_t evicted_count = 0;
};

}  // namespace pomelospar::notices

#endif  // POMELOSPAR_LIBRARIES_NOTICES_NOTICE_TABLE_H_
