#include "libraries/dispatch/cold_runners.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/dispatch/engine_coordination.h"

namespace pomelospar::dispatch {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a runner that absurd values take out of use, and against reports that routers
// repeat to each other and thereby extend without end.
TEST(ColdStateTest, BoundsTimesAndTellsOnlyItsOwnObservation) {
  core::ManualClock clock;
  ColdState state;
  EXPECT_FALSE(IsCold(state, clock.now()));
  TellCold(state, clock.now(), hours(1000));
  EXPECT_EQ(ObservedColdTime(state, clock.now()), core::Duration::zero());
  clock.Advance(kLongestColdTime - milliseconds(1));
  EXPECT_TRUE(IsCold(state, clock.now()));
  clock.Advance(milliseconds(1));
  EXPECT_FALSE(IsCold(state, clock.now()));
  TellCold(state, clock.now(), seconds(-5));
  EXPECT_FALSE(IsCold(state, clock.now()));
  ObserveCold(state, clock.now(), seconds(3));
  TellCold(state, clock.now(), seconds(1));
  clock.Advance(seconds(2));
  EXPECT_TRUE(IsCold(state, clock.now()));
  EXPECT_EQ(ObservedColdTime(state, clock.now()), seconds(1));
}

// Guards against a rate that two coordinators at the same time add up to more than is tolerated.
TEST(ColdStartRateTest, LeavesRoomForTwoCoordinators) {
  EXPECT_EQ(ColdStartRate(10.0, 1.5, 5.0), 10.0);
  EXPECT_EQ(ColdStartRate(10.0, 1.0, 0.0), 5.0);
  EXPECT_EQ(ColdStartRate(0.0, 1.5, 5.0), 0.0);
}

// Guards against runners that tolerate less than one start a second and would never get any.
TEST(ColdStartsTest, GrantsOneStartInTheTimeOfALowRate) {
  core::ManualClock clock;
  ColdStarts starts;
  EXPECT_FALSE(starts.TryGrant(clock.now(), 0.0));
  EXPECT_TRUE(starts.TryGrant(clock.now(), 0.25));
  clock.Advance(milliseconds(3999));
  EXPECT_FALSE(starts.TryGrant(clock.now(), 0.25));
  EXPECT_FALSE(starts.IsIdle(clock.now()));
  clock.Advance(milliseconds(1));
  EXPECT_TRUE(starts.TryGrant(clock.now(), 0.25));
  clock.Advance(seconds(4));
  EXPECT_TRUE(starts.IsIdle(clock.now()));
}

TEST(ColdStartsTest, NeitherAStartedRouterNorASmallPartOfADomainGrants) {
  EXPECT_FALSE(MayGrantColdStarts(25, 25, milliseconds(1999)));
  EXPECT_TRUE(MayGrantColdStarts(13, 25, seconds(2)));
  EXPECT_FALSE(MayGrantColdStarts(12, 24, seconds(2)));
  EXPECT_TRUE(MayGrantColdStarts(1, 1, seconds(2)));
}

// Guards against memory that grows with each runner that was ever cold, and against a forgotten
// start, after which more would be granted than are tolerated.
TEST(ColdStartsTest, IsIdleAfterTheSecondOfTheLastStart) {
  core::ManualClock clock;
  ColdStarts starts;
  EXPECT_TRUE(starts.IsIdle(clock.now()));
  EXPECT_TRUE(starts.TryGrant(clock.now(), 1.0));
  clock.Advance(milliseconds(999));
  EXPECT_FALSE(starts.IsIdle(clock.now()));
  clock.Advance(milliseconds(1));
  EXPECT_TRUE(starts.IsIdle(clock.now()));
}

constexpr double kTolerated = 10.0;
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5.0;

// Routers of one failure domain in virtual time. All want to send to all runners without pause.
struct Fleet {
  struct Router {
    std::string name;
    core::TimePoint started_at{};
    /// Routers that this one believes to be live.
    std::vector<std::string_view> view;
    std::map<std::uint64_t, ColdStarts> starts;
  };

  explicit Fleet(std::size_t size) {
    this->routers.resize(size);
    for (std::size_t index = 0; index < size; ++index) {
      this->routers[index].name = "router-" + std::to_string(index);
    }
    this->ShowTo(0, size);
  }

  // The routers from `begin` to `end` know each other and no others.
  void ShowTo(std::size_t begin, std::size_t end) {
    std::vector<std::string_view> names;
    for (auto index = begin; index < end; ++index) names.emplace_back(this->routers[index].name);
    for (auto index = begin; index < end; ++index) this->routers[index].view = names;
  }

  Router* Find(std::string_view name) {
    for (auto& router : this->routers) {
      if (router.name == name) return &router;
    }
    return nullptr;
  }

  bool TrySend(const Router& sender, std::uint64_t runner, core::TimePoint now) {
    auto* coordinator = this->Find(ChooseCoordinator(runner, sender.view).value_or(""));
    if (coordinator == nullptr) return false;
    if (ChooseCoordinator(runner, coordinator->view) != coordinator->name) return false;
    if (!MayGrantColdStarts(coordinator->view.size(), this->routers.size(),
                            now - coordinator->started_at)) {
      return false;
    }
    return coordinator->starts[runner].TryGrant(now, ColdStartRate(kTolerated, kOvershoot, kSlack));
  }

  std::vector<Router> routers;
};

// Sends for three seconds; each router tries a runner drawn at random every 10 ms. Returns the
// arrivals at each runner.
std::map<std::uint64_t, std::vector<core::TimePoint>> Play(Fleet& fleet, core::ManualClock& clock,
                                                           std::size_t runners,
                                                           std::mt19937_64& random) {
  // A granted request reaches its runner after the time in which a connection is opened.
  std::uniform_int_distribution<int> delay_ms(0, 300);
  std::uniform_int_distribution<std::uint64_t> runner(1, runners);
  std::map<std::uint64_t, std::vector<core::TimePoint>> arrivals;
  for (int step = 0; step < 300; ++step) {
    for (const auto& router : fleet.routers) {
      const auto chosen = runner(random);
      if (!fleet.TrySend(router, chosen, clock.now())) continue;
      arrivals[chosen].push_back(clock.now() + milliseconds(delay_ms(random)));
    }
    clock.Advance(milliseconds(10));
  }
  return arrivals;
}

std::size_t MostInOneSecond(std::vector<core::TimePoint> times) {
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t index = 0; index < times.size(); ++index) {
    while (times[index] - times[first] >= seconds(1)) ++first;
    most = std::max(most, index - first + 1);
  }
  return most;
}

class ColdReplayTest : public testing::TestWithParam<std::size_t> {
 protected:
  // Checks the bound at each runner, and that the rate is used if `is_used`.
  void Check(const std::map<std::uint64_t, std::vector<core::TimePoint>>& arrivals, bool is_used) {
    EXPECT_EQ(arrivals.empty(), !is_used);
    for (const auto& [runner, times] : arrivals) {
      EXPECT_LE(static_cast<double>(MostInOneSecond(times)), kTolerated * kOvershoot + kSlack);
      if (is_used) {
        EXPECT_GE(static_cast<double>(times.size()), 2.0 * kTolerated);
      }
    }
  }

  std::mt19937_64 random{20261206};
  core::ManualClock clock;
};

// Load: all routers return to 30 cold runners at one moment. Guards against a crash of the runners,
// each of which looks idle to every router.
TEST_P(ColdReplayTest, AllRoutersReturnAtOnce) {
  Fleet fleet(this->GetParam());
  this->clock.Advance(seconds(2));
  this->Check(Play(fleet, this->clock, 30, this->random), true);
}

// Load: the same, while a third of the routers is cut off from the others. Guards against two
// coordinators for one runner; the larger part goes on using the runners.
TEST_P(ColdReplayTest, PartsOfADomainThatAreCutOff) {
  Fleet fleet(this->GetParam());
  fleet.ShowTo(0, this->GetParam() / 3);
  fleet.ShowTo(this->GetParam() / 3, this->GetParam());
  this->clock.Advance(seconds(2));
  this->Check(Play(fleet, this->clock, 30, this->random), true);
}

// Load: the same with two halves. Neither may grant.
TEST_P(ColdReplayTest, HalvesOfADomain) {
  const auto even = this->GetParam() / 2 * 2;
  Fleet fleet(even);
  fleet.ShowTo(0, even / 2);
  fleet.ShowTo(even / 2, even);
  this->clock.Advance(seconds(2));
  this->Check(Play(fleet, this->clock, 30, this->random), false);
}

// Load: the same, while a third of the routers restarts and has not discovered the others. Guards
// against routers that take themselves for the only ones.
TEST_P(ColdReplayTest, RestartedRouters) {
  Fleet fleet(this->GetParam());
  this->clock.Advance(seconds(10));
  for (std::size_t index = 0; index < this->GetParam() / 3; ++index) {
    fleet.routers[index].started_at = this->clock.now();
    fleet.routers[index].starts.clear();
    fleet.ShowTo(index, index + 1);
  }
  const auto arrivals = Play(fleet, this->clock, 30, this->random);
  for (const auto& [runner, times] : arrivals) {
    EXPECT_LE(static_cast<double>(MostInOneSecond(times)), kTolerated * kOvershoot + kSlack);
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, ColdReplayTest, testing::Values(25, 75, 300));

}  // namespace
}  // namespace pomelospar::dispatch
