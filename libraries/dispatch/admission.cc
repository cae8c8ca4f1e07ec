#include "libraries/dispatch/admission.h"

#include <algorithm>
#include <cmath>

namespace pomelospar::dispatch {
namespace {

// Fraction of the objective that the predicted time to the first event may take; the rest covers
// the error of the prediction.
constexpr double kObjectiveFraction = 0.8;
// A prompt with a long prefill may still wait for this fraction of the objective. With 0.3, for
// prompts of 17,000 tokens and an objective of 500 ms, engines were idle between two prompts while
// four of five requests were refused.
constexpr double kMinQueueFraction = 0.5;
// A workspace beyond its fair share only gets engines that would otherwise be nearly idle. Between
// the two values of `share_use` the factor falls linearly to `kOverShareFactor`, beyond them with
// the third power, so that all workspaces with much work settle at the same use.
constexpr double kOverShareFactor = 0.2;
constexpr double kReductionStartUse = 0.5;
constexpr double kReductionEndUse = 1.0;
// With long streams the slots run out before the queues grow, and the workspace with the most
// requests would get each slot that becomes free. A workspace therefore leaves the last slots to
// those that have used less of their share.
constexpr double kSlotReductionStartUse = 0.8;
constexpr double kSlotFractionPerUse = 0.5;
constexpr double kMinSlotFraction = 0.35;
// A request that is retried by its caller is late already. It is worth less than a request that can
// still meet its objective, so it is admitted at shorter queues only.
constexpr double kCallerRetryFactor = 0.6;
// A request may be held for the smaller of its objective and its remaining time, divided by this.
// The rest of the objective is for the queue and the prefill at the runner.
constexpr int kHoldDivisor = 3;
// A retry of the caller may be held for its remaining time divided by this, up to
// `kMaxCallerRetryHold`.
constexpr int kCallerRetryHoldDivisor = 8;
constexpr core::Duration kMaxCallerRetryHold = std::chrono::milliseconds(800);
// Callers respect a Retry-After of up to a third of the time they have left.
constexpr double kMaxRetryAfterFraction = 0.32;

double ShareFactor(double use) {
  if (use > kReductionEndUse) return kOverShareFactor * std::pow(kReductionEndUse / use, 3.0);
  const double beyond =
      std::max((use - kReductionStartUse) / (kReductionEndUse - kReductionStartUse), 0.0);
  return 1.0 - beyond * (1.0 - kOverShareFactor);
}

}  // namespace

double MaxSlotFraction(const AdmissionContext& context) {
  const double beyond = std::max(context.share_use - kSlotReductionStartUse, 0.0);
  return std::max(1.0 - kSlotFractionPerUse * beyond, kMinSlotFraction);
}

double QueueWaitLimitMs(const EngineSpeed& speed, double limiting_objective_ms, double prefill_ms,
                        double typical_prefill_ms, const AdmissionContext& context) {
  const double in_time = kObjectiveFraction * limiting_objective_ms - speed.first_event_ms -
                         std::max(prefill_ms, typical_prefill_ms);
  double limit = std::max(in_time, kMinQueueFraction * limiting_objective_ms);
  limit *= ShareFactor(context.share_use);
  if (context.is_caller_retry) limit *= kCallerRetryFactor;
  return limit;
}

core::Duration HoldLimit(core::Duration objective, core::Duration time_left,
                         const AdmissionContext& context) {
  if (!context.is_caller_retry) return std::min(objective, time_left) / kHoldDivisor;
  return std::min(time_left / kCallerRetryHoldDivisor, kMaxCallerRetryHold);
}

bool IsTriedBefore(const AdmissionContext& left, const AdmissionContext& right) {
  if (left.is_caller_retry != right.is_caller_retry) return right.is_caller_retry;
  return left.share_use < right.share_use;
}

core::Duration RetryAfter(core::Duration objective, core::Duration time_left,
                          core::Duration share_window, const AdmissionContext& context,
                          double draw) {
  const double excess = 1.0 - 1.0 / std::max(context.share_use, 1.0);
  const auto until_within_share = std::chrono::duration_cast<core::Duration>(share_window * excess);
  const auto forecast = std::max({objective, until_within_share, context.until_within_share});
  const auto accepted =
      std::chrono::duration_cast<core::Duration>(time_left * kMaxRetryAfterFraction);
  return std::chrono::duration_cast<core::Duration>(std::min(forecast, accepted) *
                                                    (0.5 + 0.5 * draw));
}

}  // namespace pomelospar::dispatch
