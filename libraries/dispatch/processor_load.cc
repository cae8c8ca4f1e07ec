#include "libraries/dispatch/processor_load.h"

#include <algorithm>

namespace pomelospar::dispatch {
namespace {

constexpr double kWeight = 0.3;
// A core whose share is a quota may stand still for up to 90 ms of each 100 ms although the work is
// done in time, so single late timers say nothing; their mean over about 10 periods does.
constexpr double kToleratedMs = 10.0;
constexpr double kOverloadedMs = 40.0;
constexpr double kLargestShare = 0.95;

}  // namespace

void ProcessorLoad::OnTimer(core::Duration lateness) {
  const double late = std::chrono::duration<double, std::milli>(lateness).count();
  this->mean_lateness_ms += kWeight * (late - this->mean_lateness_ms);
}

double ProcessorLoad::refused_share() const {
  const double beyond =
      (this->mean_lateness_ms - kToleratedMs) / (kOverloadedMs - kToleratedMs);
  return std::clamp(beyond, 0.0, 1.0) * kLargestShare;
}

}  // namespace pomelospar::dispatch
