#ifndef POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_HEALTH_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_HEALTH_H_

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// Health of a runner as one router observes it in the answers to real requests. Status checks are
/// not used, because their result may be wrong either way or differ between callers.
class RunnerHealth {
 public:
  /// The runner answered without an error.
  void OnSuccess(core::TimePoint now);
  /// The runner answered with an error or broke off its answer.
  void OnFailure(core::TimePoint now);
  /// No connection could be opened. The runner is avoided for a time that doubles with each
  /// failure.
  void OnUnreachable(core::TimePoint now);
  /// The runner answered that it has no free capacity.
  void OnFull(core::TimePoint now);
  /// `ratio` is the observed time to the first event divided by the predicted time.
  void OnFirstEvent(core::TimePoint now, double ratio);
  /// `milliseconds` is the response time of a request.
  void OnLatency(double milliseconds);

  /// Returns false while the runner must not be tried.
  bool IsUsable(core::TimePoint now) const;
  double failure_rate(core::TimePoint now) const;
  double slowdown(core::TimePoint now) const;
  double latency_ms() const { return this->mean_latency_ms; }

 private:
  double mean_failure_rate = 0.0;
  core::TimePoint last_result{};
  double mean_slowdown = 1.0;
  core::TimePoint last_first_event{};
  double mean_latency_ms = 0.0;
  core::Duration backoff{};
  core::TimePoint backoff_until{};
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_RUNNER_HEALTH_H_
