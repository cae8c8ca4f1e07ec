#ifndef POMELOSPAR_LIBRARIES_DISPATCH_PROCESSOR_LOAD_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_PROCESSOR_LOAD_H_

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// Detects CPU overload of this process from the lateness of a periodic timer, and determines which
/// fraction of new requests to shed. It protects a router against one caller that sends many times
/// its usual load over connections that all lead to this router: a refusal costs a quarter of the
/// CPU time of a request, and the retry reaches another router.
class ProcessorLoad {
 public:
  /// Must be called each time the timer fires. `lateness` is the time since the timer was due.
  void OnTimer(core::TimePoint now, core::Duration lateness);
  /// Returns true while callers should be sent to other instances: during an overload and for some
  /// seconds after it.
  bool IsOverloaded(core::TimePoint now) const;
  /// Returns the fraction of new requests to shed, from 0 to 1. `overdue` is the time since the
  /// timer was due; zero or less if it is not due yet.
  double ShedFraction(core::Duration overdue) const;
  /// Returns false while accepted work is late, for a limited time: `paused` is the time for which
  /// nothing was accepted. During the pause the accepted work catches up and no CPU time is spent
  /// on refusing connections that could be served a moment later. A longer one would leave callers
  /// without an answer: a connection for which the listen queue has no room is tried again by its
  /// caller's system after seconds.
  bool MayAccept(core::Duration overdue, core::Duration paused) const;
  double lateness_ms() const { return this->mean_lateness_ms; }

 private:
  double mean_lateness_ms = 0.0;
  double last_lateness_ms = 0.0;
  core::TimePoint overloaded_until{};
};

/// Returns by how much a timer is later than the pauses of a process under a quota explain.
core::Duration BeyondQuotaPause(core::Duration overdue);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_PROCESSOR_LOAD_H_
