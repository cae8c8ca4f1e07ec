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
  /// Time until the router may send a request of the workspace to an engine; see `ShareAllowance`.
  core::Duration until_within_share{};
  /// The caller sends the request again after a refusal, so its latency objective is already
  /// missed.
  bool is_caller_retry = false;
};

/// Returns the longest wait for earlier prompts at an engine, in milliseconds, at which a request
/// is still admitted there. It limits the queues while prompts arrive faster than the engines can
/// prefill them. All kinds of requests get the same limit, derived from the objective that most of
/// the work has or exceeds and from the typical prefill time (see `RecentWork`); otherwise the kind
/// with the widest objective or the shortest prompts would fill the queues until no other kind
/// meets its objective. A prompt whose prefill takes most of the objective keeps a part of the
/// limit, so that large requests are not starved.
double QueueWaitLimitMs(const EngineSpeed& speed, double limiting_objective_ms, double prefill_ms,
                        double typical_prefill_ms, const AdmissionContext& context);

/// Returns the fraction of an engine's slots that the request's workspace may fill. It matters when
/// streams are so long that the engines run out of slots before their queues grow: without it large
/// workspaces take all slots and small ones get none.
double MaxSlotFraction(const AdmissionContext& context);

/// Returns how long a request may wait in the router for a runner before it is refused. It answers
/// a load that comes in bursts shorter than the objective: a request that waits out the burst is in
/// time, and a refused one comes back after its objective. The time is a part of the objective, so
/// that the rest is left for the runner. The objective of a caller's retry is missed already, so
/// its time depends on the deadline only.
core::Duration HoldLimit(core::Duration objective, core::Duration time_left,
                         const AdmissionContext& context);

/// Returns true if a waiting request of a sender with `left` is tried before one with `right`.
/// Requests that can still meet their objective go before retries of callers, then the sender that
/// has used less of its share goes first. It answers a flood from one workspace: in order of
/// arrival its requests would stand before those of all others, which would then be refused.
bool IsTriedBefore(const AdmissionContext& left, const AdmissionContext& right);

/// Returns the delay after which a refused caller should retry: at most one objective, because the
/// queue limits keep the prefill work that refuses it now below that, or the time in which enough
/// of the use of a workspace beyond its share leaves the share window, or in which the router's
/// allowance admits the next request, whichever is longest. Callers
/// accept a part of their remaining time only, which limits the delay. `draw` is a uniform random
/// number in [0, 1); it spreads the retries, so that the callers of one burst do not return as the
/// next burst.
core::Duration RetryAfter(core::Duration objective, core::Duration time_left,
                          core::Duration share_window, const AdmissionContext& context,
                          double draw);

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_ADMISSION_H_
