#ifndef POMELOSPAR_LIBRARIES_DISPATCH_CRASH_SUSPECTS_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_CRASH_SUSPECTS_H_

#include <cstdint>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// A request was in progress on a runner that crashed.
struct Suspicion {
  /// Of the request: workspace, path and body.
  std::uint64_t request = 0;
  /// Of the run of the runner, so that one crash counts once wherever it was seen.
  std::uint64_t crash = 0;
};

std::uint64_t RequestFingerprint(std::string_view workspace, std::string_view target,
                                 std::string_view body);

/// Keeps requests apart that crash each runner that begins them. An engine runs a hundred requests
/// at once, so being there proves little; a request that was in progress in several crashes and
/// never succeeded in between is refused.
class CrashSuspects {
 public:
  /// Crashes after which a request is refused.
  static constexpr std::size_t kCrashLimit = 3;
  static constexpr core::Duration kMemory = std::chrono::minutes(2);

  /// A crash that this router saw, to be told to the others.
  void OnCrash(core::TimePoint now, const Suspicion& suspicion);
  /// A crash that another router saw. Repeated ones change nothing.
  void Hear(core::TimePoint now, const Suspicion& suspicion);
  void OnSuccess(std::uint64_t request);
  bool IsRefused(core::TimePoint now, std::uint64_t request) const;
  bool empty() const { return this->suspects.empty(); }

  /// What the next report to the other routers should hold. Each suspicion is told several times,
  /// because reports may be lost.
  std::vector<Suspicion> TakeNews();

 private:
  struct Suspect {
    std::set<std::uint64_t> crashes;
    core::TimePoint last;
  };
  struct News {
    Suspicion suspicion;
    unsigned times_left = 0;
  };

  std::unordered_map<std::uint64_t, Suspect> suspects;
  std::vector<News> news;
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_CRASH_SUSPECTS_H_
