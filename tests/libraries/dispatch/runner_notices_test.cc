#include "libraries/dispatch/runner_notices.h"

#include <gtest/gtest.h>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A runner that asked for rest must get nothing until its end, and then one request before more.
TEST(RunnerNoticesTest, RestsAndProvesItself) {
  core::ManualClock clock;
  RunnerNotices notices;
  EXPECT_TRUE(MaySend(notices, clock.now(), 5.0));
  OnRest(notices, clock.now(), milliseconds(1500));
  // Requests that were sent before are answered during the rest.
  OnServed(notices, clock.now());
  clock.Advance(milliseconds(1499));
  EXPECT_FALSE(MaySend(notices, clock.now(), 0.0));
  clock.Advance(milliseconds(1));
  EXPECT_TRUE(MaySend(notices, clock.now(), 0.0));
  EXPECT_FALSE(MaySend(notices, clock.now(), 1.0));
  OnServed(notices, clock.now());
  EXPECT_TRUE(MaySend(notices, clock.now(), 1.0));
}

// A shorter time in a later response must not end a rest early, and an absurd one must not take
// the runner out of use for good.
TEST(RunnerNoticesTest, BoundsRests) {
  core::ManualClock clock;
  RunnerNotices notices;
  OnRest(notices, clock.now(), seconds(3));
  OnRest(notices, clock.now(), seconds(1));
  OnRest(notices, clock.now(), seconds(-5));
  clock.Advance(seconds(2));
  EXPECT_TRUE(IsResting(notices, clock.now()));
  clock.Advance(seconds(1));
  EXPECT_FALSE(IsResting(notices, clock.now()));
  OnRest(notices, clock.now(), hours(24));
  clock.Advance(seconds(301));
  EXPECT_TRUE(MaySend(notices, clock.now(), 0.0));
}

TEST(RunnerNoticesTest, SendsNothingToARunnerThatLeaves) {
  core::ManualClock clock;
  EXPECT_FALSE(MaySend({.leaving = true}, clock.now(), 0.0));
}

// Guards against an entry that names the address of another runner and draws nearly all requests of
// its upstream: such a runner refuses at once, so it has neither latency nor failures.
TEST(RunnerNoticesTest, SendsNothingToAnAddressOfAnotherRunner) {
  core::ManualClock clock;
  EXPECT_FALSE(MaySend({.misdirected = true}, clock.now(), 0.0));
}

}  // namespace
}  // namespace pomelospar::dispatch
