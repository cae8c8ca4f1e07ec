#ifndef POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_HEALTH_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_HEALTH_H_

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// What one router has seen of a runner in answers to real requests. Status checks are not used:
/// they may be wrong either way, or for some callers only.
class RunnerHealth {
 public:
  void OnSuccess(core::TimePoint now);
  /// The runner answered with an error or broke its answer off.
  void OnFailure(core::TimePoint now);
  /// No connection could be opened. Further tries wait for a time that doubles.
  void OnUnreachable(core::TimePoint now);
  /// The runner said that it has no room.
  void OnFull(core::TimePoint now);
  /// `ratio` is the observed over the predicted time to the first event.
  void OnFirstEvent(core::TimePoint now, double ratio);
  void OnLatency(double milliseconds);

  /// False while the runner is not to be tried.
  bool IsUsable(core::TimePoint now) const;
  double failure_share(core::TimePoint now) const;
  double slowdown(core::TimePoint now) const;
  double latency_ms() const { return this->mean_latency_ms; }

 private:
  double failures = 0.0;
  core::TimePoint last_result{};
  double mean_slowdown = 1.0;
  core::TimePoint last_first_event{};
  double mean_latency_ms = 0.0;
  core::Duration pause{};
  core::TimePoint paused_until{};
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_HEALTH_H_
