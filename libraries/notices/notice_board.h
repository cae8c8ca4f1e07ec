#ifndef POMELOSPAR_LIBRARIES_NOTICES_NOTICE_BOARD_H_
#define POMELOSPAR_LIBRARIES_NOTICES_NOTICE_BOARD_H_

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

struct NoticeBoardOptions {
  /// Incarnation of this router; breaks ties between routers that publish at the same time.
  std::uint64_t origin = 0;
  /// Twice the runners of the target.
  std::size_t maximum_notices = 4096;
};

/// What a router states about a runner or a fingerprint.
struct Fact {
  wire::NoticeKind kind = wire::NOTICE_RUNNER_LEAVING;
  /// Address of a runner, or a fingerprint in hexadecimal digits.
  std::string subject;
  /// Empty: any incarnation.
  std::string subject_incarnation;
  std::uint32_t value = 0;
};

/// Facts with a limited lifetime that every router holds. A router that publishes sends the notice
/// to all live routers; whoever missed it notices by the digest that probes carry and asks a peer
/// for all notices. Merging is commutative and idempotent.
class NoticeBoard {
 public:
  explicit NoticeBoard(NoticeBoardOptions options);

  /// States a fact. Returns the notice to send to all live routers, or nothing if the same fact
  /// still holds for at least half of the lifetime. Errors: `kInvalidArgument` for a subject
  /// that is empty, longer than 256 bytes or not printable ASCII, `kExhausted` if the board is full
  /// of facts that hold longer.
  core::Result<std::optional<wire::Notice>> Publish(const Fact& fact, core::Duration lifetime,
                                                    core::TimePoint now);

  /// Ends a fact. The withdrawal itself is kept for the lifetime, which should be as long as the
  /// fact's was. Returns nothing if there is no such fact.
  std::optional<wire::Notice> Withdraw(const Fact& fact, core::Duration lifetime,
                                       core::TimePoint now);

  /// Takes over what is newer than the own state and returns it. The caller relays nothing.
  std::vector<wire::Notice> Merge(const wire::NoticeBatch& batch, core::TimePoint now);

  /// All notices, withdrawals included, in batches of at most `batch_bytes` (and at least one
  /// notice).
  std::vector<wire::NoticeBatch> All(std::size_t batch_bytes, core::TimePoint now);

  /// Equal on routers that hold the same notices. Does not depend on the remaining lifetimes.
  std::uint64_t Digest(core::TimePoint now);

  /// Why no new work may go to this runner: it is down, leaving or drained. An empty incarnation
  /// means that it is not known; notices about any incarnation then apply.
  std::optional<wire::NoticeKind> UnusableReason(std::string_view address,
                                                 std::string_view incarnation,
                                                 core::TimePoint now) const;
  bool IsRunnerUsable(std::string_view address, std::string_view incarnation,
                      core::TimePoint now) const {
    return !this->UnusableReason(address, incarnation, now).has_value();
  }

  /// Remaining time of the quarantine of this fingerprint.
  std::optional<core::Duration> QuarantineOf(std::string_view fingerprint,
                                             core::TimePoint now) const;

  /// The notice with exactly this kind, subject and incarnation, unless it is withdrawn or expired.
  std::optional<wire::Notice> Find(wire::NoticeKind kind, std::string_view subject,
                                   std::string_view incarnation, core::TimePoint now) const;

  std::size_t size() const { return this->entries.size(); }
  /// Notices refused because the board was full, or malformed.
  std::uint64_t refused() const { return this->refused_count; }
  /// Notices removed before their time to make room for longer ones.
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
  // The notice without its remaining lifetime.
  struct Entry {
    wire::Notice notice;
    core::TimePoint expiry;
  };
  using Entries = std::map<Key, Entry, KeyLess>;

  bool Accept(wire::Notice notice, core::TimePoint expiry);
  bool MakeRoom(core::TimePoint expiry);
  void Erase(Entries::iterator entry);
  void Expire(core::TimePoint now);
  const Entry* FindEntry(const KeyView& key, core::TimePoint now) const;
  wire::Notice MakeNotice(const Fact& fact) const;

  NoticeBoardOptions options;
  Entries entries;
  // Entries in order of their expiry.
  std::set<std::pair<core::TimePoint, const Key*>> by_expiry;
  std::uint64_t digest = 0;
  // The highest version seen. A new notice is above it, also if the board has forgotten the one it
  // replaces while others still hold that.
  std::uint64_t highest_version = 0;
  std::uint64_t refused_count = 0;
  std::uint64_t evicted_count = 0;
};

}  // namespace pomelospar::notices

#endif  // POMELOSPAR_LIBRARIES_NOTICES_NOTICE_BOARD_H_
