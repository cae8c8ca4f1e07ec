#include "libraries/dispatch/load_shedding.h"

#include <gtest/gtest.h>

#include <map>

namespace pomelospar::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kFlooding = 1;

struct Count {
  int sent = 0;
  int shed = 0;
};

// Each workspace sends one request per period. Returns what was sent and shed in the last second of
// three, by workspace.
std::map<std::uint64_t, Count> Send(LoadShedding& shedding, core::ManualClock& clock,
                                    const std::map<std::uint64_t, milliseconds>& periods,
                                    double fraction) {
  std::map<std::uint64_t, Count> counts;
  for (milliseconds at{0}; at < seconds(3); at += milliseconds(1)) {
    clock.Advance(milliseconds(1));
    for (const auto& [workspace, period] : periods) {
      if (at.count() % period.count() != 0) continue;
      const bool shed = shedding.MustShed(clock.now(), workspace, fraction);
      if (at < seconds(2)) continue;
      ++counts[workspace].sent;
      counts[workspace].shed += shed ? 1 : 0;
    }
  }
  return counts;
}

// Guards against a workspace whose requests are refused because another one floods the same router.
TEST(LoadSheddingTest, SparesWorkspacesBesideAFlood) {
  core::ManualClock clock;
  LoadShedding shedding;
  const auto counts =
      Send(shedding, clock,
           {{kFlooding, milliseconds(1)}, {2, milliseconds(40)}, {3, milliseconds(100)}}, 0.9);
  EXPECT_EQ(counts.at(2).shed, 0);
  EXPECT_EQ(counts.at(3).shed, 0);
  const auto& flooding = counts.at(kFlooding);
  const int all = flooding.sent + counts.at(2).sent + counts.at(3).sent;
  EXPECT_NEAR(flooding.shed, 0.9 * all, 0.02 * all);
}

// Workspaces that send the same are refused the same part.
TEST(LoadSheddingTest, ShedsEquallyAmongEqualWorkspaces) {
  core::ManualClock clock;
  LoadShedding shedding;
  const auto counts = Send(shedding, clock,
                           {{1, milliseconds(5)}, {2, milliseconds(5)}, {3, milliseconds(5)}}, 0.5);
  for (const auto& [workspace, count] : counts) EXPECT_NEAR(count.shed, 0.5 * count.sent, 2);
}

// A flood that has ended must not keep its workspace from being served.
TEST(LoadSheddingTest, ForgetsAFloodThatHasEnded) {
  core::ManualClock clock;
  LoadShedding shedding;
  Send(shedding, clock, {{kFlooding, milliseconds(1)}}, 0.9);
  clock.Advance(seconds(2));
  const auto counts =
      Send(shedding, clock, {{kFlooding, milliseconds(100)}, {2, milliseconds(4)}}, 0.5);
  EXPECT_EQ(counts.at(kFlooding).shed, 0);
}

TEST(LoadSheddingTest, ShedsNothingWithoutOverload) {
  core::ManualClock clock;
  LoadShedding shedding;
  const auto counts = Send(shedding, clock, {{kFlooding, milliseconds(1)}}, 0.0);
  EXPECT_EQ(counts.at(kFlooding).shed, 0);
}

}  // namespace
}  // namespace pomelospar::dispatch
