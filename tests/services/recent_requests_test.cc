#include "services/pomelospard/recent_requests.h"

#include <gtest/gtest.h>

#include <string>

namespace pomelospar::daemon {
namespace {

// Guards against memory that grows with the number of requests or with one request's retries.
TEST(RecentRequestsTest, IsBoundedInRequestsAndSteps) {
  RecentRequests recent(3);
  const core::TimePoint start{};
  for (int number = 0; number < 5; ++number) {
    recent.Begin(std::to_string(number), start);
  }
  EXPECT_EQ(recent.Find("1"), nullptr);
  ASSERT_NE(recent.Find("2"), nullptr);
  for (int step = 0; step < 1000; ++step) {
    recent.AddStep("4", start + std::chrono::milliseconds(step), "retry");
  }
  EXPECT_LE(recent.Find("4")->steps.size(), 100U);
  recent.AddStep("0", start, "dropped requests are ignored");
}

}  // namespace
}  // namespace pomelospar::daemon
