#include "libraries/core/clock.h"

namespace pomelospar::core {

Clock SystemClock() {
  return Clock{
      .now =
          [] { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); },
      .wall =
          [] { return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()); },
  };
}

Clock ManualClock::clock() {
  return Clock{
      .now = [this] { return this->now(); },
      .wall = [this] { return WallTime(this->elapsed); },
  };
}

}  // namespace pomelospar::core
