#ifndef POMELOSPAR_LIBRARIES_DISPATCH_PLANNED_STOP_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_PLANNED_STOP_H_

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// The steps of a planned stop of this router.
struct PlannedStop {
  core::TimePoint begin;
  /// New connections are accepted until then; by that time the platform has stopped sending them.
  core::TimePoint accept_until;
  /// Requests that are still in progress are ended then, each with an answer.
  core::TimePoint end_requests_at;
  /// The process exits at the latest then, before it would be killed.
  core::TimePoint exit_at;
};

/// Plans a stop that begins at `begin`; the process is killed after `grace`.
PlannedStop PlanStop(core::TimePoint begin, core::Duration grace);

/// Returns true if a request may be sent to a runner although this router stops: if it ends at its
/// deadline before requests are ended, or if it was received before the stop and is sent in its
/// first part. Another router serves a request that is refused instead; one that is sent too late
/// would be cut while its runner executes it.
bool MaySendDuringStop(const PlannedStop& stop, core::TimePoint now, core::TimePoint received,
                       core::TimePoint deadline);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_PLANNED_STOP_H_
