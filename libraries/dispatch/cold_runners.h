#ifndef POMELOSPAR_LIBRARIES_DISPATCH_COLD_RUNNERS_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_COLD_RUNNERS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

// A runner that has just started tolerates only a few requests per second, summed over all routers.
// All routers find it idle at the same moment: after a release, after a failure domain has got its
// power back and when an evacuation ends. One coordinator for each cold runner therefore grants the
// starts of requests there.

/// How long a runner is treated as cold. A restart does not shorten it: the new entry may lack the
/// time, and a runner that has just started is no warmer than before.
struct ColdState {
  /// By what this router observed itself; it is told to the other routers.
  core::TimePoint observed_until{};
  /// By the runner's entry and by the reports of other routers. It is not told further: routers
  /// that repeat each other's reports would extend the time without end.
  core::TimePoint told_until{};
  /// The coordinator withheld a start or did not reply; it is not asked before this time.
  core::TimePoint next_request_at{};
};

/// Longest time for which an entry or a report can declare a runner cold, so that an absurd value
/// does not take it out of use.
inline constexpr core::Duration kLongestColdTime = std::chrono::seconds(60);

/// Records that this router has reason to believe that the runner was just started.
void ObserveCold(ColdState& state, core::TimePoint now, core::Duration left);

/// Records what the runner's entry or another router says.
void TellCold(ColdState& state, core::TimePoint now, core::Duration left);

/// Returns when the runner is warm again, whoever says so.
core::TimePoint ColdUntil(const ColdState& state);

bool IsCold(const ColdState& state, core::TimePoint now);

/// Returns the time to tell the other routers; zero if this router observed nothing itself.
core::Duration ObservedColdTime(const ColdState& state, core::TimePoint now);

/// Returns the starts per second that a coordinator grants at a runner that tolerates `per_second`
/// and must not get more than `per_second * overshoot + slack`. For a moment two routers may take
/// themselves for the coordinator, so each grants at most half of that.
double ColdStartRate(double per_second, double overshoot, double slack);

/// A granted start is used within this time after it was asked for, or not at all. It covers the
/// reply and the opening of a connection. A router that was paused would otherwise use its grants
/// long after the coordinator has ceased to count them.
inline constexpr core::Duration kColdStartLifetime = std::chrono::milliseconds(500);

/// Starts that one coordinator granted at a cold runner within the window of its rate: one second,
/// or the time for one start if the rate is lower.
class ColdStarts {
 public:
  /// Counts a start and returns true unless `per_second` starts were granted in the second before
  /// `now`. A rate below 1 grants one start every `1 / per_second` seconds.
  bool TryGrant(core::TimePoint now, double per_second);
  /// Returns true if no start was granted in the window before `now`.
  bool IsIdle(core::TimePoint now) const;

 private:
  std::deque<core::TimePoint> granted;
  /// By the rate of the latest call of `TryGrant`.
  core::Duration window = std::chrono::seconds(1);
};

/// Returns true if a router may grant starts. `listed` is the number of routers of its failure
/// domain, with itself, and `live` the number of those that it has heard from, with itself. Of two
/// parts of a domain that are cut off from each other, only one has more than half of them.
bool MayGrantColdStarts(std::size_t live, std::size_t listed, core::Duration since_start);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_COLD_RUNNERS_H_
