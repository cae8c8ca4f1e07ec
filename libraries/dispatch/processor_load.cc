#include "libraries/dispatch/processor_load.h"

#include <algorithm>

#include "libraries/core/milliseconds.h"

namespace pomelospar::dispatch {
namespace {

constexpr double kWeight = 0.3;
// A core whose share is a quota may stand still for up to 90 ms of each 100 ms although the work is
// done in time, so single late timers say nothing; their mean over about 10 periods does.
constexpr double kToleratedMs = 20.0;
constexpr double kOverloadedMs = 120.0;
// New connections are led elsewhere before the open ones take all of the processor.
constexpr double kBusyMs = 40.0;
// The platform needs two seconds to lead a caller to the next instance. For so long it does not
// come back, so that its connections spread over five instances.
constexpr core::Duration kOverloadMemory = std::chrono::seconds(10);
constexpr double kLargestShare = 0.95;

}  // namespace

void ProcessorLoad::OnTimer(core::TimePoint now, core::Duration lateness) {
  const double late = core::ToMilliseconds(lateness);
  this->mean_lateness_ms += kWeight * (late - this->mean_lateness_ms);
  if (this->mean_lateness_ms > kBusyMs) this->overloaded_until = now + kOverloadMemory;
}

bool ProcessorLoad::IsOverloaded(core::TimePoint now) const { return now < this->overloaded_until; }

double ProcessorLoad::refused_share() const {
  const double beyond = (this->mean_lateness_ms - kToleratedMs) / (kOverloadedMs - kToleratedMs);
  return std::clamp(beyond, 0.0, 1.0) * kLargestShare;
}

}  // namespace pomelospar::dispatch
