#ifndef POMELOSPAR_LIBRARIES_DISPATCH_ADMISSION_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_ADMISSION_H_

#include "libraries/core/clock.h"
#include "libraries/dispatch/engine_model.h"

namespace pomelospar::dispatch {

/// Facts about the sender of a request that admission control uses while the engines are
/// overloaded.
struct AdmissionContext {
  /// Tokens that the request's workspace was served in the current window, with those of this
  /// request, divided by its max-min fair share.
  double share_use = 0.0;
  /// The caller sends the request again after a refusal, so its latency objective is already
  /// missed.
  bool is_caller_retry = false;
};

/// Typical prefill time of the recent prompts: the mean weighted by the prefill time itself, so
/// that a few large prompts count in proportion to the work they cause.
class TypicalPrefillTime {
 public:
  void AddSample(double prefill_ms);
  /// Returns 0 before the first prompt.
  double milliseconds() const;

 private:
  double sum = 0.0;
  double sum_of_squares = 0.0;
};

/// Returns the longest wait for earlier prompts at an engine, in milliseconds, at which a request
/// is still admitted there. It limits the queues while prompts arrive faster than the engines can
/// prefill them. All kinds of requests get the same limit, derived from the tightest objective
/// among them and the typical prefill time; otherwise the kind with the widest objective or the
/// shortest prompts would fill the queues until no other kind meets its objective. A prompt whose
/// prefill takes most of the objective keeps a part of the limit, so that large requests are not
/// starved.
double QueueWaitLimitMs(const EngineSpeed& speed, double tightest_objective_ms, double prefill_ms,
                        double typical_prefill_ms, const AdmissionContext& context);

/// Returns the fraction of an engine's slots that the request's workspace may fill. It matters when
/// streams are so long that the engines run out of slots before their queues grow: without it large
/// workspaces take all slots and small ones get none.
double MaxSlotFraction(const AdmissionContext& context);

/// Returns how long a request may wait in the router for a runner before it is refused. The time is
/// short because a caller that learns of the refusal soon can retry while the answer is still
/// useful.
core::Duration HoldLimit(core::Duration objective, core::Duration time_left,
                         const AdmissionContext& context);

/// Returns the delay after which a refused caller should retry. `draw` is a uniform random number
/// in [0, 1); it spreads the retries, so that the callers of one burst do not return as the next
/// burst.
core::Duration RetryAfter(core::Duration time_left, double draw);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_ADMISSION_H_
