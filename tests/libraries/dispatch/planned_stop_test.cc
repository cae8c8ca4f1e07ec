#include "libraries/dispatch/planned_stop.h"

#include <gtest/gtest.h>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A request that is sent late in the grace time must end before the process does.
TEST(PlannedStopTest, SendsOnlyWhatEndsInTime) {
  core::ManualClock clock;
  const auto begin = clock.now();
  const auto stop = PlanStop(begin, seconds(8));
  EXPECT_LT(stop.end_requests_at, stop.exit_at);
  EXPECT_LT(stop.exit_at, begin + seconds(8));
  const auto at = [&](int ms) { return begin + milliseconds(ms); };
  // Received after the signal.
  EXPECT_TRUE(MaySendDuringStop(stop, at(100), at(100), at(1100)));
  EXPECT_TRUE(MaySendDuringStop(stop, at(6000), at(6000), at(7000)));
  EXPECT_FALSE(MaySendDuringStop(stop, at(100), at(100), at(9100)));
  EXPECT_FALSE(MaySendDuringStop(stop, at(6500), at(6500), at(7500)));
  // Received before the signal, and placed or retried after it.
  EXPECT_TRUE(MaySendDuringStop(stop, at(1000), at(-100), at(14900)));
  EXPECT_FALSE(MaySendDuringStop(stop, at(4000), at(-100), at(14900)));
  EXPECT_TRUE(MaySendDuringStop(stop, at(4000), at(-100), at(5000)));
}

// A grace time shorter than the margins must not give times before the signal.
TEST(PlannedStopTest, BearsAShortGraceTime) {
  core::ManualClock clock;
  for (const auto grace : {milliseconds(0), milliseconds(400), milliseconds(700)}) {
    const auto stop = PlanStop(clock.now(), grace);
    EXPECT_GE(stop.end_requests_at, stop.begin);
    EXPECT_LE(stop.accept_until, stop.end_requests_at);
    EXPECT_LE(stop.exit_at, stop.begin + grace);
  }
}

}  // namespace
}  // namespace pomelospar::dispatch
