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

/// Identifies a request by its content: SHA-256 as 64 lower-case hexadecimal digits.
using Fingerprint = std::string;

/// Hashes the four parts, each preceded by its length. Equal requests have equal fingerprints on
/// all routers.
Fingerprint FingerprintOf(std::string_view workspace, std::string_view method,
                          std::string_view path, std::string_view body);

/// How a request with a given fingerprint may be dispatched.
enum class CrashVerdict {
  /// Dispatch it without restriction.
  kAllowed,
  /// The request is a suspect: dispatch it only to a runner that has no other request.
  kRunAlone,
  /// `CrashTracker` decides within `kSettleTime`; do not dispatch the request until then.
  kPending,
  /// Reject it with status 422.
  kQuarantined,
};

/// Says that a request was in flight on a runner when the runner crashed. Sent to the other routers
/// as a `NOTICE_CRASH_SUSPICION` (fields subject, subject_incarnation, origin and value).
struct Suspicion {
  Fingerprint fingerprint;
  /// Identifies the crash by the runner's address and incarnation. All routers use the same name
  /// for the same crash.
  std::string crash;
  /// Incarnation of the router that had the request in flight.
  std::uint64_t origin = 0;
  /// Number of different fingerprints that this router had in flight on the runner.
  std::uint32_t in_flight = 0;
};

/// Finds requests that crash runners, by elimination; docs/decisions/crashing_requests.md explains
/// the method. Each crash has a set of candidates: all requests that were in flight on the runner,
/// except those that have succeeded since. A fingerprint is quarantined once it was in flight in
/// two crashes and is the only candidate of one of them. A request that never crashes a runner is
/// therefore not quarantined, however often it runs beside one that does.
class CrashTracker {
 public:
  /// How long a suspect is kept after its latest crash, so that a further crash adds to it; also
  /// the duration of a quarantine.
  static constexpr core::Duration kRetention = std::chrono::minutes(10);
  /// Time after the first report of a crash in which the notices of other routers about it arrive.
  /// Notices are sent immediately; a lost one is sent again after a digest mismatch, which probes
  /// detect within a few hundred milliseconds.
  static constexpr core::Duration kSettleTime = std::chrono::milliseconds(500);
  /// Beyond these limits the oldest entries are dropped; suspects in quarantine are dropped last.
  static constexpr std::size_t kMaximumSuspects = 1024;
  static constexpr std::size_t kMaximumCrashes = 256;

  /// `origin` is this router's incarnation.
  explicit CrashTracker(std::uint64_t origin);

  /// Records that a runner process ended while these requests of this router were in flight on it.
  /// Returns the suspicions to send to the other routers. Call it only if the process is gone (its
  /// connections were closed or reset), not for timeouts, which routers detect seconds apart.
  std::vector<Suspicion> OnRunnerCrash(core::TimePoint now, const std::string& crash,
                                       std::span<const Fingerprint> in_flight);

  /// Adds a suspicion received from another router. Duplicates have no effect, and the order of
  /// arrival does not matter.
  void MergeSuspicion(core::TimePoint now, const Suspicion& suspicion);

  /// Records that the request was answered completely, by this router or, as a withdrawn notice
  /// says, by another one. Ends its suspicion or quarantine and removes it from the candidates of
  /// its crashes. Returns whether it was a suspect; the caller then withdraws its own notices about
  /// the request.
  bool OnSuccess(const Fingerprint& fingerprint);

  /// Starts a quarantine received from another router, or extends the present one. It lasts for
  /// `remaining`, at most `kRetention`.
  void MergeQuarantine(core::TimePoint now, const Fingerprint& fingerprint,
                       core::Duration remaining);

  /// Ends a quarantine or suspicion at an operator's request. The request may still have caused its
  /// crashes, so no other candidate of those crashes is quarantined because of them.
  void Forget(const Fingerprint& fingerprint);

  /// Returns how the request may be dispatched at `now`.
  CrashVerdict VerdictFor(core::TimePoint now, const Fingerprint& fingerprint) const;

  /// Returns whether the verdict is `kRunAlone` or `kPending`, so that the request must not share a
  /// runner with others.
  bool MustRunAlone(core::TimePoint now, const Fingerprint& fingerprint) const;

  /// Starts the quarantines that are due and returns their fingerprints, for which the caller sends
  /// notices. Drops expired suspects and quarantines. Call it at least every 100 ms while there are
  /// suspects.
  std::vector<Fingerprint> Tick(core::TimePoint now);

  /// Returns the fingerprints in quarantine, in no particular order.
  std::vector<Fingerprint> Quarantined() const;

  /// Number of fingerprints under suspicion or in quarantine.
  std::size_t suspects() const { return this->suspect_map.size(); }
  std::size_t crashes() const { return this->crash_map.size(); }

 private:
  struct Suspect {
    /// Names of the crashes in which the request was in flight.
    std::set<std::string> crashes;
    core::TimePoint expires;
    bool quarantined = false;
  };
  /// What one router has reported about a crash.
  struct Report {
    /// Number of suspicions that the router sends about the crash.
    std::uint32_t expected = 0;
    std::set<Fingerprint> received;
  };
  struct Crash {
    core::TimePoint first_reported;
    std::set<Fingerprint> candidates;
    /// By the incarnation of the reporting router.
    std::map<std::uint64_t, Report> reports;
    /// False once a candidate was dropped without having succeeded. It may have caused the crash,
    /// so the last remaining candidate is not quarantined because of this crash.
    bool conclusive = true;
  };

  void AddSuspicion(core::TimePoint now, const Suspicion& suspicion);
  void EvictOldestSuspectIfFull();
  void EvictOldestCrashIfFull();
  /// Removes a suspect from the map and from the candidates of its crashes. `succeeded` says
  /// whether the request was answered; if it was not, its crashes no longer count against their
  /// other candidates.
  void Drop(const Fingerprint& fingerprint, bool succeeded);
  /// Returns whether the suspect was in enough crashes and is the only candidate of one of them for
  /// which all announced suspicions have arrived.
  bool MustQuarantine(core::TimePoint now, const Fingerprint& fingerprint,
                      const Suspect& suspect) const;
  /// Returns whether notices may still arrive about one of the suspect's crashes.
  bool AwaitsNotices(core::TimePoint now, const Suspect& suspect) const;

  std::uint64_t origin;
  std::unordered_map<Fingerprint, Suspect> suspect_map;
  std::unordered_map<std::string, Crash> crash_map;
};

}  // namespace pomelospar::admission

#endif  // POMELOSPAR_LIBRARIES_ADMISSION_CRASH_TRACKER_H_
