#include "libraries/core/clock.h"

#include <ctime>

namespace pomelospar::core {
namespace {

Duration SinceBoot() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace

Clock SystemClock() {
  return Clock{
      .now =
          [] { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); },
      .wall =
          [] { return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()); },
      .since_boot = SinceBoot,
  };
}

Clock ManualClock::clock() {
  return Clock{
      .now = [this] { return this->now(); },
      .wall = [this] { return WallTime(this->elapsed); },
      .since_boot = [this] { return this->elapsed; },
  };
}

}  // namespace pomelospar::core
