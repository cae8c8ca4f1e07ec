#include "libraries/dispatch/processor_load.h"

#include <algorithm>

#include "libraries/core/milliseconds.h"

namespace pomelospar::dispatch {
namespace {

constexpr double kSmoothingFactor = 0.3;
// Bounds of the mean lateness between which the shed fraction grows from zero to its maximum. Under
// a CPU quota the process may be paused for up to 90 ms of every 100 ms although its work is done
// in time, so a single late timer proves nothing, but the mean of about 10 periods does.
constexpr double kSheddingStartMs = 20.0;
constexpr double kFullSheddingMs = 120.0;
// Longest pause of the process under a CPU quota.
constexpr double kQuotaPauseMs = 90.0;
// New connections are sent to other instances before the open ones use up the CPU: a request takes
// several iterations of the event loop, and each of them is as late as the timer.
constexpr double kOverloadThresholdMs = 25.0;
// Mean lateness before a late timer that shows that it is not a single one, after a pause of the
// whole process for example.
constexpr double kMinEarlierLatenessMs = 5.0;
// The platform takes two seconds to move a caller to the next instance. This instance stays
// unavailable for five times as long, so that the caller's connections spread over five instances.
constexpr core::Duration kOverloadHold = std::chrono::seconds(10);
constexpr double kMaxShedFraction = 0.95;
// A request takes about five iterations of the event loop until it is sent to a runner. With
// iterations of this length that is half of a usual objective of 500 ms.
constexpr double kMaxAcceptLatenessMs = 50.0;
// Half of a usual objective.
constexpr core::Duration kMaxAcceptPause = std::chrono::milliseconds(250);

}  // namespace

void ProcessorLoad::OnTimer(core::TimePoint now, core::Duration lateness) {
  const double late = core::ToMilliseconds(lateness);
  const bool earlier_timers_were_late = this->mean_lateness_ms > kMinEarlierLatenessMs;
  this->last_lateness_ms = late;
  this->mean_lateness_ms += kSmoothingFactor * (late - this->mean_lateness_ms);
  const bool this_timer_is_late = late > kOverloadThresholdMs;
  if (earlier_timers_were_late && this_timer_is_late &&
      this->mean_lateness_ms > kOverloadThresholdMs) {
    this->overloaded_until = now + kOverloadHold;
  }
}

bool ProcessorLoad::IsOverloaded(core::TimePoint now) const { return now < this->overloaded_until; }

double ProcessorLoad::ShedFraction(core::Duration overdue) const {
  const double late =
      std::max(this->mean_lateness_ms, core::ToMilliseconds(overdue) - kQuotaPauseMs);
  const double beyond = (late - kSheddingStartMs) / (kFullSheddingMs - kSheddingStartMs);
  return std::clamp(beyond, 0.0, 1.0) * kMaxShedFraction;
}

core::Duration BeyondQuotaPause(core::Duration overdue) {
  return std::max(overdue - core::FromMilliseconds(kQuotaPauseMs), core::Duration::zero());
}

bool ProcessorLoad::MayAccept(core::Duration overdue, core::Duration paused) const {
  return paused >= kMaxAcceptPause ||
         std::max(this->last_lateness_ms, core::ToMilliseconds(overdue)) <= kMaxAcceptLatenessMs;
}

}  // namespace pomelospar::dispatch
