#ifndef POMELOSPAR_LIBRARIES_ADMISSION_CRASH_TRACKER_H_
#define POMELOSPAR_LIBRARIES_ADMISSION_CRASH_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/core/clock.h"

namespace pomelospar::admission {

/// SHA-256 over workspace, method, path and body with their lengths, 64 hexadecimal digits.
using Fingerprint = std::string;

Fingerprint FingerprintOf(std::string_view workspace, std::string_view method,
                          std::string_view path, std::string_view body);

enum class CrashVerdict {
  kAllowed,
  /// Under suspicion: dispatch it only to a runner that runs nothing else.
  kRunAlone,
  /// A decision is due within `kSettleTime`; do not dispatch it before.
  kPending,
  /// Reject it with status 422.
  kQuarantined,
};

/// One request was in flight on one runner when it crashed: the content of a
/// `NOTICE_CRASH_SUSPICION` (subject, subject_incarnation, origin, value).
struct Suspicion {
  Fingerprint fingerprint;
  /// Names the runner's address and incarnation, so that one crash has one name on all routers.
  std::string crash;
  std::uint64_t origin = 0;
  /// Different fingerprints that this origin had in flight on the runner.
  std::uint32_t in_flight = 0;
};

/// Finds requests that crash runners, by elimination; docs/decisions/crashing_requests.md has the
/// reasoning. Each crash has a set of candidates: all requests in flight on the runner, less those
/// that succeeded since. A fingerprint is quarantined once it was in flight in two crashes and is
/// the only candidate of one of them. So a request that never crashes a runner is not quarantined,
/// however often it ran beside one that does.
class CrashTracker {
 public:
  /// Crashes of the same request within this time add up; a quarantine lasts as long.
  static constexpr core::Duration kMemory = std::chrono::minutes(10);
  /// Time for the notices of other routers about the same crash to arrive. Notices are sent at once
  /// and resent on a digest mismatch, which probes detect within a few hundred milliseconds.
  static constexpr core::Duration kSettleTime = std::chrono::milliseconds(500);
  static constexpr std::size_t kMaximumSuspects = 1024;
  static constexpr std::size_t kMaximumCrashes = 256;

  /// `origin` is this router's incarnation.
  explicit CrashTracker(std::uint64_t origin);

  /// Records that the runner process died with these requests of this router in flight, and returns
  /// the suspicions to send as notices. Report only lost processes (connections closed or reset and
  /// the runner gone), not time-outs, which routers notice seconds apart.
  std::vector<Suspicion> OnRunnerCrash(core::TimePoint now, const std::string& crash,
                                       std::span<const Fingerprint> in_flight);

  /// Merges a suspicion heard from another router. Repeated and reordered ones change nothing.
  void Hear(core::TimePoint now, const Suspicion& suspicion);

  /// The request was answered completely, here or (by a withdrawn notice) elsewhere. Returns
  /// whether it was under suspicion or quarantined; then the own notices about it are to be
  /// withdrawn.
  bool OnSuccess(const Fingerprint& fingerprint);

  /// Merges a quarantine heard from another router.
  void HearQuarantine(core::TimePoint now, const Fingerprint& fingerprint,
                      core::Duration remaining);

  /// Ends a quarantine or suspicion at an operator's request. This is no proof of innocence, so
  /// crashes that the request was in convict nobody else.
  void Forget(const Fingerprint& fingerprint);

  CrashVerdict Judge(core::TimePoint now, const Fingerprint& fingerprint) const;

  /// Whether the request may be dispatched only to a runner that runs nothing else (with `kPending`
  /// not even there for the moment).
  bool MustRunAlone(core::TimePoint now, const Fingerprint& fingerprint) const;

  /// Starts due quarantines and returns their fingerprints, to be sent as notices; drops what has
  /// expired. Call it at least every 100 ms while there are suspects.
  std::vector<Fingerprint> Tick(core::TimePoint now);

  /// The fingerprints in quarantine.
  std::vector<Fingerprint> Quarantined() const;

  std::size_t suspects() const { return this->suspect_map.size(); }
  std::size_t crashes() const { return this->crash_map.size(); }

 private:
  struct Suspect {
    std::set<std::string> crashes;
    core::TimePoint expires;
    bool quarantined = false;
  };
  struct Report {
    std::uint32_t expected = 0;
    std::set<Fingerprint> heard;
  };
  struct Crash {
    core::TimePoint first_heard;
    std::set<Fingerprint> candidates;
    std::map<std::uint64_t, Report> reports;
    /// False once a candidate was dropped without proof of innocence.
    bool conclusive = true;
  };

  void Add(core::TimePoint now, const Suspicion& suspicion);
  void MakeRoomForSuspect();
  void MakeRoomForCrash();
  void Drop(const Fingerprint& fingerprint, bool innocent);
  bool IsConvicted(core::TimePoint now, const Fingerprint& fingerprint,
                   const Suspect& suspect) const;
  bool IsSettling(core::TimePoint now, const Suspect& suspect) const;

  std::uint64_t origin;
  std::unordered_map<Fingerprint, Suspect> suspect_map;
  std::unordered_map<std::string, Crash> crash_map;
};

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_CRASH_TRACKER_H_
