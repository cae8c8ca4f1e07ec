#ifndef POMELOSPAR_LIBRARIES_DISPATCH_CRASH_SUSPECTS_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_CRASH_SUSPECTS_H_

#include <cstdint>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// Records that a request was in progress on a runner when that runner crashed.
struct Suspicion {
  /// Hash of the workspace, path and body of the request.
  std::uint64_t request = 0;
  /// Identifies the run of the runner that ended, so that a crash reported by several routers
  /// counts once.
  std::uint64_t crash = 0;
};

/// Returns the hash that identifies equal requests in `Suspicion::request`.
std::uint64_t RequestFingerprint(std::string_view workspace, std::string_view target,
                                 std::string_view body);

/// Detects requests that crash every runner that starts them. An engine runs about a hundred
/// requests at once, so one crash proves little about any of them. A request is refused if it was
/// in progress in several crashes and did not succeed in between.
class CrashSuspects {
 public:
  /// A request is refused after this many crashes.
  static constexpr std::size_t kCrashLimit = 3;
  /// A request with `kCrashLimit` crashes is refused for this long after the latest one.
  static constexpr core::Duration kRetention = std::chrono::minutes(2);

  /// Records a crash that this router observed and queues it for the reports to the other routers.
  void RecordLocalCrash(core::TimePoint now, const Suspicion& suspicion);
  /// Records a crash, whichever router observed it. Called directly for a crash that another router
  /// reported. Repeated reports of a crash have no effect.
  void RecordCrash(core::TimePoint now, const Suspicion& suspicion);
  /// Removes all crashes recorded for a request that has succeeded.
  void OnSuccess(std::uint64_t request);
  /// Returns true if the request has reached `kCrashLimit` and its latest crash is recent.
  bool IsRefused(core::TimePoint now, std::uint64_t request) const;
  bool empty() const { return this->suspects.empty(); }

  /// Returns the suspicions to include in the next report to the other routers. Each suspicion is
  /// included in several reports, because reports may be lost.
  std::vector<Suspicion> TakePendingSuspicions();

 private:
  struct Suspect {
    std::set<std::uint64_t> crashes;
    core::TimePoint last;
  };
  struct PendingSuspicion {
    Suspicion suspicion;
    unsigned sends_left = 0;
  };

  std::unordered_map<std::uint64_t, Suspect> suspects;
  std::vector<PendingSuspicion> pending_suspicions;
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_CRASH_SUSPECTS_H_
