#ifndef POMELOSPAR_LIBRARIES_DISPATCH_ADMISSION_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_ADMISSION_H_

#include "libraries/core/clock.h"
#include "libraries/dispatch/engine_model.h"

namespace pomelospar::dispatch {

/// How a request stands when there is more work than the engines can do.
struct Standing {
  /// What its workspace has received in the present window over its max-min share.
  double share_use = 0.0;
  /// Its caller comes back after a refusal, so that its objective is missed already.
  bool returning = false;
};

/// Time to read a prompt in which a token of the recent prompts lies on average, so that the few
/// large ones count for what they bring.
class TypicalReading {
 public:
  void Note(double reading_ms);
  /// 0 before the first one.
  double milliseconds() const;

 private:
  double sum = 0.0;
  double sum_of_squares = 0.0;
};

/// The longest wait for earlier prompts at an engine that is accepted for a request, in
/// milliseconds. Answers a load above what the engines read: all kinds of request get the same
/// limit, from the tightest objective among them and the typical time to read, or else the kind
/// with the widest objective, or the shortest prompts, would fill the queues to a depth at which no
/// other meets its own. A prompt that takes most of the objective to read keeps a part of the
/// limit, so that large requests are not starved.
double AcceptedQueueMs(const EngineSpeed& speed, double tightest_objective_ms, double reading_ms,
                       double typical_reading_ms, const Standing& standing);

/// Share of an engine's slots that the request's workspace may fill. Answers streams so long that
/// slots, not reading, bind: without it small workspaces find all slots taken by large ones.
double SlotShare(const Standing& standing);

/// How long a request may wait in the router for a runner before it is refused. Short, because a
/// caller that knows soon can come back while its answer is still of use.
core::Duration HoldLimit(core::Duration objective, core::Duration time_left,
                         const Standing& standing);

/// When a refused caller should come back, for `draw` uniform in [0, 1). Spread, so that the
/// callers of a burst do not come back as the next burst.
core::Duration RetryAfter(core::Duration time_left, double draw);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_ADMISSION_H_
