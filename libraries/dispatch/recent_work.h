#ifndef POMELOSPAR_LIBRARIES_DISPATCH_RECENT_WORK_H_
#define POMELOSPAR_LIBRARIES_DISPATCH_RECENT_WORK_H_

#include <map>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {

/// Prefill work of the recent prompts of one upstream, as one router sees it. Admission control
/// derives the length of the engines' queues from it.
class RecentWork {
 public:
  /// Records a prompt of a route with this objective. `prefill_ms` is the time to prefill the parts
  /// that no engine has cached, in milliseconds.
  void AddPrompt(core::Duration objective, double prefill_ms);

  /// Returns the mean prefill time in milliseconds, weighted by the prefill time itself, so that a
  /// few large prompts count in proportion to the work they cause. Returns 0 before the first
  /// prompt.
  double TypicalPrefillMs() const;

  /// Returns the objective that limits the queues: the shortest one for which the prompts with this
  /// or a shorter objective cause more than a fifth of the work. A route of short prompts with the
  /// tightest objective thus does not leave the engines idle for all others. Returns 0 before the
  /// first prompt.
  core::Duration LimitingObjective() const;

 private:
  double sum_of_squares = 0.0;
  std::map<core::Duration, double> work_by_objective;
};

}  // namespace pomelospar::dispatch

#endif  // POMELOSPAR_LIBRARIES_DISPATCH_RECENT_WORK_H_
