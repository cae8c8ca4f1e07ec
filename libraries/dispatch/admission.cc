#include "libraries/dispatch/admission.h"

#include <algorithm>
#include <cmath>

namespace pomelospar::dispatch {
namespace {

// Fraction of the objective that the predicted time to the first event may take; the rest covers
// the error of the prediction.
constexpr double kObjectiveShare = 0.8;
// A prompt with a long prefill may still wait for this fraction of the objective. With 0.3, for
// prompts of 17,000 tokens and an objective of 500 ms, engines were idle between two prompts while
// four of five requests were refused.
constexpr double kLeastQueueShare = 0.5;
// A workspace beyond its fair share only gets engines that would otherwise be nearly idle. Between
// the two values of `share_use` the factor falls linearly to `kBeyondShareFactor`, beyond them with
// the third power, so that all workspaces with much work settle at the same use.
constexpr double kBeyondShareFactor = 0.2;
constexpr double kFullUse = 0.5;
constexpr double kBeyondUse = 1.0;
// With long streams the slots run out before the queues grow, and the workspace with the most
// requests would get each slot that becomes free. A workspace therefore leaves the last slots to
// those that have used less of their share.
constexpr double kFullSlotUse = 0.8;
constexpr double kSlotsPerUse = 0.5;
constexpr double kLeastSlotShare = 0.35;
// Weight of the earlier prompts when a prompt is added, so that about the last 100 prompts
// determine the result.
constexpr double kKeptShare = 0.99;
// A request that is retried by its caller is late already. It is worth less than a request that can
// still meet its objective, so it is admitted at shorter queues only.
constexpr double kReturningFactor = 0.6;
// A request may be held for its objective or its remaining time divided by this. For a retry only
// the caller's remaining time counts.
constexpr int kHoldDivisor = 8;
constexpr core::Duration kLongestReturningHold = std::chrono::milliseconds(800);
// Callers respect a Retry-After of up to a third of the time they have left.
constexpr double kFollowedShare = 0.32;

double ShareFactor(double use) {
  if (use > kBeyondUse) return kBeyondShareFactor * std::pow(kBeyondUse / use, 3.0);
  const double beyond = std::max((use - kFullUse) / (kBeyondUse - kFullUse), 0.0);
  return 1.0 - beyond * (1.0 - kBeyondShareFactor);
}

}  // namespace

double SlotShare(const Standing& standing) {
  const double beyond = std::max(standing.share_use - kFullSlotUse, 0.0);
  return std::max(1.0 - kSlotsPerUse * beyond, kLeastSlotShare);
}

void TypicalPrefillTime::AddSample(double prefill_ms) {
  this->sum = this->sum * kKeptShare + prefill_ms;
  this->sum_of_squares = this->sum_of_squares * kKeptShare + prefill_ms * prefill_ms;
}

double TypicalPrefillTime::milliseconds() const {
  return this->sum > 0.0 ? this->sum_of_squares / this->sum : 0.0;
}

double AcceptedQueueMs(const EngineSpeed& speed, double tightest_objective_ms, double prefill_ms,
                       double typical_prefill_ms, const Standing& standing) {
  const double in_time = kObjectiveShare * tightest_objective_ms - speed.first_event_ms -
                         std::max(prefill_ms, typical_prefill_ms);
  double limit = std::max(in_time, kLeastQueueShare * tightest_objective_ms);
  limit *= ShareFactor(standing.share_use);
  if (standing.returning) limit *= kReturningFactor;
  return limit;
}

core::Duration HoldLimit(core::Duration objective, core::Duration time_left,
                         const Standing& standing) {
  if (!standing.returning) return std::min(objective, time_left) / kHoldDivisor;
  return std::min(time_left / kHoldDivisor, kLongestReturningHold);
}

core::Duration RetryAfter(core::Duration time_left, double draw) {
  const double share = kFollowedShare * (0.5 + 0.5 * draw);
  return std::chrono::duration_cast<core::Duration>(time_left * share);
}

}  // namespace pomelospar::dispatch
