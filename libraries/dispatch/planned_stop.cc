#include "libraries/dispatch/planned_stop.h"

#include <algorithm>

namespace pomelospar::dispatch {
namespace {

using std::chrono::milliseconds;

// The platform stops sending callers after two readiness checks, one second apart, without a 200.
constexpr core::Duration kAcceptAfterStop = milliseconds(2600);
// Time that is left for the process to exit.
constexpr core::Duration kExitMargin = milliseconds(500);
// Time in which the last answers reach their callers, also from a process that is late.
constexpr core::Duration kAnswerMargin = milliseconds(300);

}  // namespace

PlannedStop PlanStop(core::TimePoint begin, core::Duration grace) {
  const auto exit_at = begin + std::max(grace - kExitMargin, core::Duration::zero());
  const auto end_requests_at = std::max(exit_at - kAnswerMargin, begin);
  return {.begin = begin,
          .accept_until = std::min(begin + kAcceptAfterStop, end_requests_at),
          .end_requests_at = end_requests_at,
          .exit_at = exit_at};
}

bool MaySendDuringStop(const PlannedStop& stop, core::TimePoint now, core::TimePoint received,
                       core::TimePoint deadline) {
  if (deadline <= stop.end_requests_at) return true;
  return received < stop.begin && now < stop.accept_until;
}

}  // namespace pomelospar::dispatch
