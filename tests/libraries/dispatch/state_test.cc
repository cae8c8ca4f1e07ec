#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>
#include <numeric>
#include <span>
#include <tuple>
#include <utility>
#include <vector>

#include "libraries/core/clock.h"
#include "libraries/dispatch/peer_view.h"
#include "libraries/dispatch/policy.h"
#include "libraries/dispatch/prefix_index.h"
#include "libraries/dispatch/prefix_record.h"
#include "libraries/dispatch/processor_load.h"
#include "libraries/dispatch/retry_allowance.h"
#include "libraries/dispatch/runner_health.h"
#include "libraries/dispatch/share_window.h"

namespace pomelospar::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Policy TwoRoutes() {
  Policy policy;
  Route wide;
  wide.name = "wide";
  wide.host = "a.example";
  wide.prefix = "/x/";
  wide.streaming = true;
  wide.objective = milliseconds(600);
  wide.destinations = {{"engines", 3.0}, {"others", 1.0}};
  auto narrow = wide;
  narrow.name = "narrow";
  narrow.prefix = "/x/y/";
  narrow.objective = milliseconds(1200);
  policy.routes = {wide, narrow};
  policy.upstreams["engines"].name = "engines";
  IndexRoutes(policy);
  return policy;
}

// A request must not be served by a route with a shorter prefix of its host, or by a route of
// another host.
TEST(FindRouteTest, TakesTheLongestPrefixOfTheHost) {
  const auto policy = TwoRoutes();
  EXPECT_EQ(FindRoute(policy, "a.example", "/x/y/z")->name, "narrow");
  EXPECT_EQ(FindRoute(policy, "a.example:8080", "/x/yy")->name, "wide");
  EXPECT_EQ(FindRoute(policy, "b.example", "/x/y/z"), nullptr);
  EXPECT_EQ(FindRoute(policy, "a.example", "/x"), nullptr);
}

// A split route must not send requests to a destination with zero weight or past the last
// destination.
TEST(ChooseUpstreamTest, DividesByWeight) {
  auto policy = TwoRoutes();
  EXPECT_EQ(ChooseUpstream(policy.routes[0], 0.74), "engines");
  EXPECT_EQ(ChooseUpstream(policy.routes[0], 0.76), "others");
  policy.routes[0].destinations[0].weight = 0.0;
  EXPECT_EQ(ChooseUpstream(policy.routes[0], 0.0), "others");
}

// A part must not count as cached if an earlier part is not.
/// Returns the tokens of the prompt that the runner of the record has cached.
double CachedTokens(const PrefixIndex& index, const PrefixRecord& record,
                    std::span<const PromptPart> prompt) {
  return index.CachedTokens(PrefixHashes(prompt)).at(record.cache());
}

TEST(PrefixRecordTest, CountsLeadingPartsOnly) {
  const auto index = std::make_shared<PrefixIndex>();
  PrefixRecord record(index);
  const std::vector<PromptPart> prompt = {{1, 100.0}, {2, 50.0}, {3, 10.0}};
  record.Insert(prompt, 1000.0);
  EXPECT_DOUBLE_EQ(CachedTokens(*index, record, prompt), 160.0);
  const std::vector<PromptPart> other = {{4, 100.0}, {2, 50.0}};
  EXPECT_DOUBLE_EQ(CachedTokens(*index, record, other), 0.0);
  record.Clear();
  EXPECT_DOUBLE_EQ(CachedTokens(*index, record, prompt), 0.0);
}

// The record must not assume more cached tokens than the engine can hold.
TEST(PrefixRecordTest, ForgetsTheLeastRecentlyUsedBeyondTheCapacity) {
  const auto index = std::make_shared<PrefixIndex>();
  PrefixRecord record(index);
  const std::vector<PromptPart> first = {{1, 600.0}};
  const std::vector<PromptPart> second = {{2, 600.0}};
  record.Insert(first, 1000.0);
  record.Insert(second, 1000.0);
  EXPECT_DOUBLE_EQ(CachedTokens(*index, record, first), 0.0);
  EXPECT_DOUBLE_EQ(CachedTokens(*index, record, second), 600.0);
}

// Runners come, go and restart while prompts are sent to them. No runner may be credited with the
// cache of another one that had the same number before, or with a part whose predecessor it has
// dropped.
RC_GTEST_PROP(PrefixIndexTest, AgreesWithASeparateRecordOfEachRunner, ()) {
  struct Naive {
    std::unique_ptr<PrefixRecord> record;
    std::vector<std::pair<std::uint64_t, double>> recent;
  };
  constexpr double kCapacity = 400.0;
  const auto index = std::make_shared<PrefixIndex>();
  std::vector<Naive> runners(4);
  for (auto& runner : runners) runner.record = std::make_unique<PrefixRecord>(index);
  const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
      rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 10), rc::gen::inRange(1, 4),
                     rc::gen::inRange(1, 4)));
  for (const auto& [number, action, first_part, second_part] : steps) {
    auto& runner = runners[static_cast<std::size_t>(number)];
    const std::vector<PromptPart> prompt = {{static_cast<std::uint64_t>(first_part), 100.0},
                                            {static_cast<std::uint64_t>(second_part), 80.0}};
    const auto hashes = PrefixHashes(prompt);
    if (action == 0) {
      runner.record.reset();
      runner.record = std::make_unique<PrefixRecord>(index);
      runner.recent.clear();
    } else if (action == 1) {
      runner.record->Clear();
      runner.recent.clear();
    } else {
      runner.record->Insert(prompt, kCapacity);
      for (std::size_t part = 0; part < prompt.size(); ++part) {
        std::erase_if(runner.recent,
                      [&](const auto& entry) { return entry.first == hashes[part]; });
        runner.recent.insert(runner.recent.begin(), {hashes[part], prompt[part].tokens});
      }
      const auto total = [&] {
        return std::accumulate(runner.recent.begin(), runner.recent.end(), 0.0,
                               [](double sum, const auto& entry) { return sum + entry.second; });
      };
      while (total() > kCapacity) runner.recent.pop_back();
    }
    for (const auto& other : runners) {
      double expected = 0.0;
      for (const auto hash : hashes) {
        const auto found = std::find_if(other.recent.begin(), other.recent.end(),
                                        [&](const auto& entry) { return entry.first == hash; });
        if (found == other.recent.end()) break;
        expected += found->second;
      }
      RC_ASSERT(CachedTokens(*index, *other.record, prompt) == expected);
    }
  }
}

TEST(SharedPrefixKeyTest, OmitsThePartOfTheRequestItself) {
  const std::vector<PromptPart> first = {{1, 10.0}, {2, 10.0}};
  const std::vector<PromptPart> second = {{1, 10.0}, {3, 10.0}};
  EXPECT_EQ(SharedPrefixKey(first), SharedPrefixKey(second));
  EXPECT_EQ(SharedPrefixKey(std::span(first).first(1)), 0U);
}

// A quarter of the runners has crashed, and each request is placed at several of them before one
// can be reached. The served tokens must not exceed those asked for: the capacity would seem to
// meet all demand, and a flooding workspace would get the places of the others.
TEST(RequestUseTest, CountsARequestOnceHoweverOftenItIsPlaced) {
  const core::TimePoint now = core::ManualClock().now();
  SlidingSum asked(seconds(1));
  SlidingSum served(seconds(1));
  for (int request = 0; request < 100; ++request) {
    RequestUse use(1'000.0);
    asked.Add(now, use.all_tokens());
    EXPECT_DOUBLE_EQ(use.uncounted_tokens(), 1'000.0);
    for (int placement = 0; placement < 4; ++placement) use.Count(served, now);
    EXPECT_DOUBLE_EQ(use.uncounted_tokens(), 0.0);
    // Every second request finds no runner in the end.
    if (request % 2 == 0) use.TakeBack(served, now);
    if (request % 4 == 0) use.TakeBack(served, now);
  }
  EXPECT_DOUBLE_EQ(served.Sum(now), 50'000.0);
  const std::vector<double> demands = {asked.Sum(now)};
  EXPECT_DOUBLE_EQ(MaxMinLevel(demands, served.Sum(now)), 50'000.0);
}

// Guards against a large request that is refused for ever because it exceeds the balance, and
// against a workspace that is paid back more than it was charged.
TEST(ShareAllowanceTest, AdmitsAnySizeAndIsExactOverTime) {
  ShareAllowance allowance;
  core::TimePoint now{std::chrono::hours(1)};
  allowance.Begin(now, 250.0);
  allowance.Refill(now, 1'000.0, 250.0);
  EXPECT_EQ(allowance.TimeUntilAllowed(), core::Duration::zero());
  allowance.Take(2'250.0);
  EXPECT_EQ(allowance.TimeUntilAllowed(), seconds(2));
  double sent = 0.0;
  for (int tick = 0; tick < 10'000; ++tick) {
    now += milliseconds(1);
    allowance.Refill(now, 1'000.0, 250.0);
    if (allowance.TimeUntilAllowed() > core::Duration::zero()) continue;
    allowance.Take(500.0);
    sent += 500.0;
  }
  EXPECT_NEAR(sent, 8'000.0, 500.0);
}

// Guards against a share of nothing, with which a request would never be admitted again.
TEST(ShareAllowanceTest, RecoversWhenTheRateReturns) {
  ShareAllowance allowance;
  core::TimePoint now{std::chrono::hours(1)};
  allowance.Begin(now, 0.0);
  allowance.Refill(now, 0.0, 0.0);
  allowance.Take(100.0);
  EXPECT_EQ(allowance.TimeUntilAllowed(), seconds(60));
  now += seconds(1);
  allowance.Refill(now, 100.0, 25.0);
  EXPECT_EQ(allowance.TimeUntilAllowed(), core::Duration::zero());
}

// Guards against a surge that competes with what it asked for before, and against a share level
// that a few requests of a small workspace move.
TEST(CompetingDemandsTest, ForecastsCountForLargeDemandsOnly) {
  const std::vector<ShareDemand> demands = {
      {.asked = 100.0, .forecast = 900.0}, {.asked = 10.0, .forecast = 30.0}, {.asked = 500.0}};
  EXPECT_THAT(CompetingDemands(demands, 600.0), testing::ElementsAre(900.0, 10.0, 500.0));
  EXPECT_THAT(CompetingDemands({}, 600.0), testing::IsEmpty());
}

// The level must not grant more than the capacity, or leave capacity unused while demand is unmet.
RC_GTEST_PROP(MaxMinLevelTest, UsesTheWholeCapacityAndNoMore, ()) {
  const auto numbers = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
  const auto capacity = static_cast<double>(*rc::gen::inRange(1, 5000));
  const std::vector<double> demands(numbers.begin(), numbers.end());
  const double level = MaxMinLevel(demands, capacity);
  double total = 0.0;
  double asked = 0.0;
  for (const double demand : demands) {
    total += std::min(demand, level);
    asked += demand;
  }
  RC_ASSERT(total <= capacity + 1e-6);
  RC_ASSERT(total >= std::min(asked, capacity) - 1e-6);
}

TEST(SlidingSumTest, ForgetsWhatIsOlderThanTheWindow) {
  core::ManualClock clock;
  SlidingSum sum(seconds(4));
  sum.Add(clock.now(), 10.0);
  clock.Advance(seconds(2));
  sum.Add(clock.now(), 5.0);
  EXPECT_DOUBLE_EQ(sum.Sum(clock.now()), 15.0);
  clock.Advance(milliseconds(2500));
  EXPECT_DOUBLE_EQ(sum.Sum(clock.now()), 5.0);
  clock.Advance(seconds(4));
  EXPECT_DOUBLE_EQ(sum.Sum(clock.now()), 0.0);
}

// During an outage every request fails. In any window the retries must stay within the allowed
// fraction.
TEST(RetryAllowanceTest, StaysWithinTheRatioInEveryWindow) {
  core::ManualClock clock;
  RetryAllowance allowance({.ratio = 0.2, .slack = 1.0, .window = seconds(10)});
  std::vector<core::TimePoint> retries;
  constexpr int kRequestsPerSecond = 20;
  for (int request = 0; request < 60 * kRequestsPerSecond; ++request) {
    allowance.OnRequest(clock.now());
    if (allowance.TryRetry(clock.now())) retries.push_back(clock.now());
    clock.Advance(milliseconds(1000 / kRequestsPerSecond));
  }
  for (const auto start : retries) {
    const auto in_window = std::count_if(retries.begin(), retries.end(), [&](auto at) {
      return at >= start && at < start + seconds(10);
    });
    EXPECT_LE(in_window, 0.2 * 10 * kRequestsPerSecond + 1.0);
  }
  EXPECT_GT(retries.size(), 100U);
}

// The work of a router that is gone, or of one that was restarted, must not count forever.
TEST(PeerViewTest, ReplacesOrdersAndExpiresReports) {
  core::ManualClock clock;
  PeerView view;
  PeerReport report = {.sender = "10.0.0.1", .incarnation = 7, .sequence = 2};
  report.runners[5] = {.prefill_tokens = 100.0, .active = 2.0, .memory_tokens = 50.0};
  report.workspaces[9] = {.asked = 10.0, .served = 4.0};
  EXPECT_TRUE(view.Apply(report, clock.now()));
  report.sequence = 1;
  EXPECT_FALSE(view.Apply(report, clock.now()));
  EXPECT_DOUBLE_EQ(view.LoadOf(5).active, 2.0);
  report.incarnation = 8;
  report.runners[5].active = 1.0;
  EXPECT_TRUE(view.Apply(report, clock.now()));
  EXPECT_DOUBLE_EQ(view.LoadOf(5).active, 1.0);
  EXPECT_DOUBLE_EQ(view.UsageOf(9).served, 4.0);
  clock.Advance(seconds(3));
  EXPECT_EQ(view.Expire(clock.now(), seconds(2)), 1U);
  EXPECT_DOUBLE_EQ(view.LoadOf(5).active, 0.0);
  EXPECT_DOUBLE_EQ(view.UsageOf(9).served, 0.0);
}

// A coordinator gets the load of one engine between two reports. It must replace that entry only,
// and a report that was sent before it and arrives after it must not bring the old load back.
TEST(PeerViewTest, AppliesPartialReports) {
  core::ManualClock clock;
  PeerView view;
  PeerReport whole = {.sender = "10.0.0.1", .domain = "a", .incarnation = 7, .sequence = 2};
  whole.runners[5] = {.prefill_tokens = 100.0, .active = 2.0};
  whole.runners[6] = {.prefill_tokens = 10.0, .active = 1.0};
  whole.workspaces[9] = {.asked = 10.0, .served = 4.0};
  PeerReport partial = {
      .sender = "10.0.0.1", .domain = "a", .incarnation = 7, .sequence = 4, .is_partial = true};
  partial.runners[5] = {.prefill_tokens = 300.0, .active = 3.0};
  EXPECT_FALSE(view.Apply(partial, clock.now()));
  EXPECT_TRUE(view.Apply(whole, clock.now()));
  EXPECT_TRUE(view.Apply(partial, clock.now()));
  EXPECT_FALSE(view.Apply(partial, clock.now()));
  EXPECT_DOUBLE_EQ(view.LoadOf(5).prefill_tokens, 300.0);
  EXPECT_DOUBLE_EQ(view.LoadOf(6).prefill_tokens, 10.0);
  EXPECT_DOUBLE_EQ(view.UsageOf(9).served, 4.0);
  whole.sequence = 3;
  whole.workspaces[9].served = 6.0;
  EXPECT_TRUE(view.Apply(whole, clock.now()));
  EXPECT_DOUBLE_EQ(view.LoadOf(5).prefill_tokens, 300.0);
  EXPECT_DOUBLE_EQ(view.UsageOf(9).served, 6.0);
  whole.sequence = 5;
  EXPECT_TRUE(view.Apply(whole, clock.now()));
  EXPECT_DOUBLE_EQ(view.LoadOf(5).prefill_tokens, 100.0);
  partial.sequence = 6;
  partial.incarnation = 8;
  EXPECT_FALSE(view.Apply(partial, clock.now()));
}

TEST(PeerViewTest, SumsTheLoadOfTheOthers) {
  core::ManualClock clock;
  PeerView view;
  for (const auto* sender : {"10.0.0.1", "10.0.0.2"}) {
    PeerReport report = {.sender = sender, .domain = "a", .incarnation = 7, .sequence = 1};
    report.runners[5] = {.prefill_tokens = 100.0, .active = 2.0};
    EXPECT_TRUE(view.Apply(report, clock.now()));
  }
  EXPECT_DOUBLE_EQ(view.LoadWithout("10.0.0.1", 5).prefill_tokens, 100.0);
  EXPECT_DOUBLE_EQ(view.LoadWithout("10.0.0.3", 5).prefill_tokens, 200.0);
  EXPECT_EQ(view.RoutersOf("a").size(), 2U);
  EXPECT_TRUE(view.RoutersOf("b").empty());
}

// An unreachable runner must neither be tried by every request nor be avoided forever.
TEST(RunnerHealthTest, PausesAnUnreachableRunner) {
  core::ManualClock clock;
  RunnerHealth health;
  EXPECT_TRUE(health.IsUsable(clock.now()));
  health.OnUnreachable(clock.now());
  EXPECT_FALSE(health.IsUsable(clock.now()));
  clock.Advance(seconds(3));
  EXPECT_TRUE(health.IsUsable(clock.now()));
}

// Failures and slowness must fade without new results, because a runner that is avoided yields
// none.
// A flood that begins at all routers at once must be told at once while nothing limits it, and the
// reports of a usual load must not become more.
TEST(MustReportSurgeTest, ReportsEarlyOnlyWithoutALevel) {
  const double unlimited = std::numeric_limits<double>::infinity();
  EXPECT_TRUE(MustReportSurge(unlimited, 25'000.0));
  EXPECT_FALSE(MustReportSurge(unlimited, 15'000.0));
  EXPECT_FALSE(MustReportSurge(500'000.0, 25'000.0));
  // The configuration names no capacity.
  EXPECT_FALSE(MustReportSurge(0.0, 25'000.0));
}

TEST(RunnerHealthTest, ForgetsFailuresAndSlowness) {
  core::ManualClock clock;
  RunnerHealth health;
  for (int failure = 0; failure < 10; ++failure) health.OnFailure(clock.now());
  health.OnFirstEvent(clock.now(), 10.0);
  EXPECT_GT(health.failure_rate(clock.now()), 0.7);
  EXPECT_GT(health.slowdown(clock.now()), 2.0);
  clock.Advance(seconds(20));
  EXPECT_LT(health.failure_rate(clock.now()), 0.05);
  EXPECT_LT(health.slowdown(clock.now()), 1.1);
}

// A single late timer, as a CPU quota causes it, must not turn callers away.
TEST(ProcessorLoadTest, ToleratesASingleLateTimer) {
  core::ManualClock clock;
  ProcessorLoad load;
  load.OnTimer(clock.now(), milliseconds(60));
  EXPECT_DOUBLE_EQ(load.ShedFraction(milliseconds(0)), 0.0);
  EXPECT_FALSE(load.IsOverloaded(clock.now()));
}

// The machine pauses the process once for longer than the mean would bear, and the timers after the
// pause are in time. The instance must not be unavailable for seconds because of it.
TEST(ProcessorLoadTest, ToleratesOneLongPause) {
  core::ManualClock clock;
  ProcessorLoad load;
  for (int timer = 0; timer < 20; ++timer) load.OnTimer(clock.now(), milliseconds(1));
  load.OnTimer(clock.now(), milliseconds(300));
  EXPECT_FALSE(load.IsOverloaded(clock.now()));
  for (int timer = 0; timer < 20; ++timer) load.OnTimer(clock.now(), milliseconds(1));
  EXPECT_FALSE(load.IsOverloaded(clock.now()));
}

// A caller sends several times what the router can serve.
TEST(ProcessorLoadTest, ShedsAndSendsCallersAwayWhileTimersStayLate) {
  core::ManualClock clock;
  ProcessorLoad load;
  for (int timer = 0; timer < 30; ++timer) load.OnTimer(clock.now(), milliseconds(250));
  EXPECT_GT(load.ShedFraction(milliseconds(0)), 0.9);
  EXPECT_TRUE(load.IsOverloaded(clock.now()));
  for (int timer = 0; timer < 30; ++timer) load.OnTimer(clock.now(), milliseconds(0));
  EXPECT_DOUBLE_EQ(load.ShedFraction(milliseconds(0)), 0.0);
  clock.Advance(seconds(8));
  EXPECT_TRUE(load.IsOverloaded(clock.now()));
  clock.Advance(seconds(3));
  EXPECT_FALSE(load.IsOverloaded(clock.now()));
}

// The router must report that it is not ready before its open connections use up the CPU.
TEST(ProcessorLoadTest, SendsNewConnectionsAwayBeforeItShedsMost) {
  core::ManualClock clock;
  ProcessorLoad load;
  for (int timer = 0; timer < 30; ++timer) load.OnTimer(clock.now(), milliseconds(45));
  EXPECT_TRUE(load.IsOverloaded(clock.now()));
  EXPECT_LT(load.ShedFraction(milliseconds(0)), 0.3);
}

// During a long iteration of the event loop no timer fires, but the router must not keep accepting
// work. A pause under a CPU quota must not count as such an iteration.
TEST(ProcessorLoadTest, ShedsWhileTheTimerIsOverdue) {
  const ProcessorLoad load;
  EXPECT_GT(load.ShedFraction(milliseconds(250)), 0.9);
  EXPECT_DOUBLE_EQ(load.ShedFraction(milliseconds(88)), 0.0);
}

// A caller opens connections faster than the router serves them. They stay unaccepted while an
// iteration of the event loop is late and are accepted as soon as one is in time, so that the CPU
// is never idle while connections wait; and after a limited time in any case, so that no caller
// waits until its deadline.
TEST(ProcessorLoadTest, PausesAcceptingWhileAcceptedWorkIsLate) {
  core::ManualClock clock;
  ProcessorLoad load;
  const auto not_paused = milliseconds(0);
  EXPECT_TRUE(load.MayAccept(milliseconds(0), not_paused));
  EXPECT_FALSE(load.MayAccept(milliseconds(200), not_paused));
  for (int timer = 0; timer < 10; ++timer) load.OnTimer(clock.now(), milliseconds(250));
  EXPECT_FALSE(load.MayAccept(milliseconds(0), milliseconds(249)));
  EXPECT_TRUE(load.MayAccept(milliseconds(0), milliseconds(250)));
  load.OnTimer(clock.now(), milliseconds(0));
  EXPECT_TRUE(load.MayAccept(milliseconds(0), not_paused));
}

}  // namespace
}  // namespace pomelospar::dispatch
