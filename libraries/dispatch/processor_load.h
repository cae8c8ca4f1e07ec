#ifndef POMELOSPAR_LIBRARIES_DISPATCH_PROCESSOR_LOAD_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_PROCESSOR_LOAD_H_

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// Judges by the lateness of a periodic timer whether this process has more work than processor
/// time, and which share of new requests it should turn away. Answers one caller that sends many
/// times its usual to the one router that its connections lead to: a refusal costs a quarter of
/// the request, and the next try reaches another router.
class ProcessorLoad {
 public:
  /// Call when the timer fires, with the time since it was due.
  void OnTimer(core::TimePoint now, core::Duration lateness);
  /// True while callers should be led to other instances: from an overload until some seconds
  /// after.
  bool IsOverloaded(core::TimePoint now) const;
  /// Share of new requests to turn away, from 0 to 1, while the timer is overdue by `overdue` (zero
  /// or less if it is not due yet).
  double RefusedShare(core::Duration overdue) const;
  /// False while work that was accepted is late: more of it would only wait here, and refusing it
  /// would take processor time from what can be served. A connection that waits unread costs
  /// nothing, and its caller turns to another router.
  bool MayAccept(core::Duration overdue) const;
  double lateness_ms() const { return this->mean_lateness_ms; }

 private:
  double mean_lateness_ms = 0.0;
  double last_lateness_ms = 0.0;
  core::TimePoint overloaded_until{};
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_PROCESSOR_LOAD_H_
