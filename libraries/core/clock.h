#ifndef POMELOSPAR_LIBRARIES_CORE_CLOCK_H_
#define POMELOSPAR_LIBRARIES_CORE_CLOCK_H_

#include <chrono>
#include <functional>

namespace pomelospar::core {

using Duration = std::chrono::nanoseconds;
/// Monotonic time of one process; not comparable between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// The time source of the process. Decision functions take a `TimePoint` and never read a clock.
struct Clock {
  std::function<TimePoint()> now;
  std::function<WallTime()> wall;
  /// Time since the host started. It advances while the host is suspended; `now` may stop
  /// during that time.
  std::function<Duration()> since_boot;
};

/// The clock of the operating system.
Clock SystemClock();

/// A clock that stands still until it is advanced.
class ManualClock {
 public:
  void Advance(Duration step) { this->elapsed += step; }
  TimePoint now() const { return TimePoint(this->elapsed); }
  /// A view of this clock; it must not outlive the `ManualClock`.
  Clock clock();

 private:
  // Does not start at zero, so that "time of last event" fields with a zero value lie far in the
  // past.
  Duration elapsed = std::chrono::hours(1);
};

}  // namespace pomelospar::core

#endif  // POMELOSPAR_LIBRARIES_CORE_CLOCK_H_
