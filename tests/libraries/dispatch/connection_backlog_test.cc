#include "libraries/dispatch/connection_backlog.h"

#include <gtest/gtest.h>

#include <deque>

#include "libraries/core/clock.h"

namespace pomelospar::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Share of a core that the smallest instances get, and the time in which it reads a request.
constexpr double kSmallShare = 0.1;
constexpr core::Duration kReadTime = milliseconds(10);
// Callers abandon a request that was not read after this time. The limit is half of it, as the
// estimate may be off by a factor of two.
constexpr core::Duration kAbandoned = seconds(1);
constexpr core::Duration kLimit = milliseconds(500);

struct FloodResult {
  std::size_t read = 0;
  std::size_t refused = 0;
  std::size_t abandoned = 0;
};

// One caller opens connections to one router at a steady rate for two seconds. The router reads
// them one after the other.
FloodResult Flood(double share, core::Duration interval) {
  core::ManualClock clock;
  ConnectionBacklog backlog;
  backlog.SetLimits(share, kLimit);
  FloodResult result;
  std::deque<core::TimePoint> unread;
  const auto end = clock.now() + seconds(2);
  auto next_connection = clock.now();
  auto next_read = clock.now() + kReadTime;
  while (clock.now() < end) {
    if (clock.now() >= next_connection) {
      next_connection += interval;
      if (backlog.TryAdd(clock.now(), core::Duration::zero())) {
        unread.push_back(clock.now());
      } else {
        ++result.refused;
      }
    }
    if (clock.now() >= next_read) {
      next_read += kReadTime;
      if (!unread.empty()) {
        ++(clock.now() - unread.front() >= kAbandoned ? result.abandoned : result.read);
        unread.pop_front();
        backlog.OnFirstRequest(clock.now());
      }
    }
    clock.Advance(milliseconds(1));
  }
  return result;
}

// Guards against a router that begins with all connections of a flood, so that their callers have
// given up when it reads their requests.
TEST(ConnectionBacklogTest, AFloodIsReadInTimeOrRefused) {
  const auto flood = Flood(kSmallShare, milliseconds(2));
  EXPECT_EQ(flood.abandoned, 0U);
  EXPECT_GE(flood.read, 190U);
  EXPECT_GE(flood.refused, 700U);
  // Without a limit.
  EXPECT_GT(Flood(0.0, milliseconds(2)).abandoned, 50U);
}

// Guards against refusals while the router keeps up.
TEST(ConnectionBacklogTest, RefusesNothingBelowTheCapacity) {
  EXPECT_EQ(Flood(kSmallShare, milliseconds(11)).refused, 0U);
}

// Guards against idle connections, of callers that keep some in reserve or never send anything,
// that keep others out.
TEST(ConnectionBacklogTest, ForgetsConnectionsWithoutARequest) {
  core::ManualClock clock;
  ConnectionBacklog backlog;
  backlog.SetLimits(kSmallShare, kLimit);
  while (backlog.TryAdd(clock.now(), core::Duration::zero())) {
  }
  clock.Advance(seconds(1));
  EXPECT_TRUE(backlog.TryAdd(clock.now(), core::Duration::zero()));
}

// Guards against refusing the clumps in which callers open connections while nothing is late, and
// against accepting more while other work is.
TEST(ConnectionBacklogTest, AcceptsAClumpAndHeedsOtherWork) {
  core::ManualClock clock;
  ConnectionBacklog backlog;
  backlog.SetLimits(0.001, kLimit);
  for (int connection = 0; connection < 8; ++connection) {
    EXPECT_TRUE(backlog.TryAdd(clock.now(), seconds(5)));
  }
  backlog.SetLimits(1.0, kLimit);
  EXPECT_FALSE(backlog.TryAdd(clock.now(), seconds(5)));
  EXPECT_TRUE(backlog.TryAdd(clock.now(), core::Duration::zero()));
  // Without a limit nothing is refused.
  backlog.SetLimits(1.0, core::Duration::zero());
  EXPECT_TRUE(backlog.TryAdd(clock.now(), seconds(5)));
}

}  // namespace
}  // namespace pomelospar::dispatch
