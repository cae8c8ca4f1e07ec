#include "libraries/dispatch/placement.h"

#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <random>
#include <vector>

#include "libraries/dispatch/admission.h"
#include "libraries/dispatch/recent_work.h"

namespace pomelospar::dispatch {
namespace {

EngineOption IdleEngine() { return {.memory_capacity = 900'000.0, .slots = 128.0}; }

EngineRequest DraftRequest() {
  return {.prompt_tokens = 12'000.0, .output_tokens = 380.0, .queue_limit_ms = 400.0};
}

// Shared parts must not be prefilled again on every engine: the engine that has them cached is
// worth a wait.
TEST(PlaceAtEngineTest, PrefersTheEngineThatCachesThePrefix) {
  std::vector<EngineOption> options = {IdleEngine(), IdleEngine()};
  options[1].cached_tokens = 5'400.0;
  options[1].load.prefill_tokens = 6'000.0;
  const auto placement = PlaceAtEngine({}, options, DraftRequest());
  ASSERT_TRUE(placement.has_value());
  EXPECT_EQ(placement->option, 1U);
  EXPECT_DOUBLE_EQ(placement->prefill_tokens, 6'600.0);
}

// The engines that have a hot prefix cached are busy and its next request goes to another one,
// which copies the prefix from them in a fraction of the prefill time.
TEST(PlanCacheCopyTest, CopiesWhatAnotherEngineHasCached) {
  constexpr double kTokensPerMs = 460.0;
  std::vector<EngineOption> options = {IdleEngine(), IdleEngine(), IdleEngine()};
  options[0].cached_tokens = 400.0;
  options[1].cached_tokens = 5'400.0;
  options[2].cached_tokens = 6'000.0;
  options[2].failure_rate = 0.9;
  const auto copy = PlanCacheCopy({}, options, 0, 12'000.0, kTokensPerMs);
  ASSERT_TRUE(copy.has_value());
  EXPECT_EQ(copy->source, 1U);
  EXPECT_DOUBLE_EQ(copy->tokens, 5'000.0);
  EXPECT_LT(copy->saved_ms, PrefillMs({}, copy->tokens, 12'000.0, 0.0));
  EXPECT_GT(copy->saved_ms, 0.0);
}

TEST(PlanCacheCopyTest, PrefillsWhereACopySavesNothing) {
  std::vector<EngineOption> options = {IdleEngine(), IdleEngine()};
  EXPECT_FALSE(PlanCacheCopy({}, options, 0, 12'000.0, 460.0).has_value());
  options[1].cached_tokens = 5'400.0;
  // These engines do not copy, or copy no faster than they prefill.
  EXPECT_FALSE(PlanCacheCopy({}, options, 0, 12'000.0, 0.0).has_value());
  EXPECT_FALSE(PlanCacheCopy({}, options, 0, 12'000.0, 50.0).has_value());
  // The chosen engine has all of it.
  EXPECT_FALSE(PlanCacheCopy({}, options, 1, 12'000.0, 460.0).has_value());
  // The set-up of a copy takes longer than the prefill of a few tokens.
  options[1].cached_tokens = 100.0;
  EXPECT_FALSE(PlanCacheCopy({}, options, 0, 12'000.0, 460.0).has_value());
}

// A popular prefix must not queue all its requests at one engine while others are idle.
TEST(PlaceAtEngineTest, AvoidsAnEngineWhoseQueueIsTooLong) {
  std::vector<EngineOption> options = {IdleEngine(), IdleEngine()};
  options[1].cached_tokens = 5'400.0;
  options[1].load.prefill_tokens = 60'000.0;
  const auto placement = PlaceAtEngine({}, options, DraftRequest());
  ASSERT_TRUE(placement.has_value());
  EXPECT_EQ(placement->option, 0U);
}

// Shared parts must not be prefilled once in each failure domain of a large fleet: a round trip to
// another domain costs far less than the prefill.
TEST(PlaceAtEngineTest, PrefersAnEngineOfAnotherDomainThatCachesThePrefix) {
  std::vector<EngineOption> options = {IdleEngine(), IdleEngine()};
  options[1].cached_tokens = 5'400.0;
  options[1].other_domain = true;
  options[1].usable_fraction = 0.85;
  EXPECT_EQ(PlaceAtEngine({}, options, DraftRequest())->option, 1U);
}

// Each router learns late what routers of other failure domains have sent. Together they must not
// fill the last slots of an engine or the end of its queue at the same time.
TEST(PlaceAtEngineTest, LeavesTheLastCapacityOfADistantEngineToItsOwnDomain) {
  std::vector<EngineOption> options = {IdleEngine()};
  options[0].usable_fraction = 0.85;
  options[0].load.active = 108.0;
  EXPECT_TRUE(PlaceAtEngine({}, options, DraftRequest()).has_value());
  options[0].load.active = 109.0;
  EXPECT_FALSE(PlaceAtEngine({}, options, DraftRequest()).has_value());
  options[0].load = {.prefill_tokens = 30'000.0};
  options[0].usable_fraction = 1.0;
  EXPECT_TRUE(PlaceAtEngine({}, options, DraftRequest()).has_value());
  options[0].usable_fraction = 0.5;
  EXPECT_FALSE(PlaceAtEngine({}, options, DraftRequest()).has_value());
}

// All engines are busy. Prefilling cached parts again would take capacity from other requests, so
// an engine that does not have them cached is used only while its queue is short.
TEST(PlaceAtEngineTest, PrefillsCachedPartsAgainOnlyWhereTheQueueIsShort) {
  std::vector<EngineOption> options = {IdleEngine(), IdleEngine()};
  options[0].load.prefill_tokens = 25'000.0;
  options[1].load.prefill_tokens = 60'000.0;
  EXPECT_EQ(PlaceAtEngine({}, options, DraftRequest())->option, 0U);
  options[1].cached_tokens = 5'400.0;
  EXPECT_FALSE(PlaceAtEngine({}, options, DraftRequest()).has_value());
  options[0].load.prefill_tokens = 5'000.0;
  EXPECT_EQ(PlaceAtEngine({}, options, DraftRequest())->option, 0U);
}

// 64 routers see the same 12 idle engines until the next report and place one prompt each. Without
// a random estimate of unreported work all of them choose the same engine.
TEST(PlaceAtEngineTest, RoutersWithTheSameViewChooseDifferentEngines) {
  constexpr std::size_t kRouters = 64;
  constexpr std::size_t kEngines = 12;
  std::mt19937_64 random(5);
  std::uniform_real_distribution<> draw(1e-9, 1.0);
  for (const double mean_ms : {0.0, 50.0}) {
    std::vector<std::size_t> chosen(kEngines);
    for (std::size_t router = 0; router < kRouters; ++router) {
      std::vector<EngineOption> options(kEngines, IdleEngine());
      for (auto& option : options) {
        option.unreported_work_ms = UnreportedWorkMs(mean_ms, draw(random));
      }
      ++chosen[PlaceAtEngine({}, options, DraftRequest())->option];
    }
    const auto most = *std::max_element(chosen.begin(), chosen.end());
    if (mean_ms == 0.0) {
      EXPECT_EQ(most, kRouters);
    } else {
      EXPECT_LT(most, 3 * kRouters / kEngines);
    }
  }
}

// The random estimate of unreported work must not send a prompt to an engine that has to prefill
// its cached parts again.
TEST(PlaceAtEngineTest, UnreportedWorkDoesNotOutweighACachedPrefix) {
  std::vector<EngineOption> options = {IdleEngine(), IdleEngine()};
  options[1].cached_tokens = 5'400.0;
  options[1].unreported_work_ms = UnreportedWorkMs(50.0, 0.1);
  EXPECT_EQ(PlaceAtEngine({}, options, DraftRequest())->option, 1U);
}

// The cause of a refusal must be visible in the log: each engine is counted under the first limit
// that it exceeds.
TEST(CountEngineRejectionsTest, CountsTheFirstLimitThatEachEngineExceeds) {
  std::vector<EngineOption> options(5, IdleEngine());
  options[0].load.active = 128.0;
  options[1].load.memory_tokens = 890'000.0;
  options[2].load.prefill_tokens = 80'000.0;
  options[3].load.prefill_tokens = 35'000.0;
  options[4].load.prefill_tokens = 70'000.0;
  options[4].cached_tokens = 5'400.0;
  const auto rejections = CountEngineRejections({}, options, DraftRequest());
  EXPECT_EQ(rejections.slots, 1U);
  EXPECT_EQ(rejections.memory, 1U);
  EXPECT_EQ(rejections.queue, 2U);
  EXPECT_EQ(rejections.repeated_prefill, 1U);
  EXPECT_FALSE(PlaceAtEngine({}, options, DraftRequest()).has_value());
}

// Engines at their limit are not offered at all, because requests would be preempted there or wait
// behind others.
TEST(PlaceAtEngineTest, OffersNoEngineBeyondItsLimits) {
  auto no_slots = IdleEngine();
  no_slots.load.active = 128.0;
  auto no_memory = IdleEngine();
  no_memory.load.memory_tokens = 890'000.0;
  auto long_queue = IdleEngine();
  long_queue.load.prefill_tokens = 80'000.0;
  const std::vector<EngineOption> options = {no_slots, no_memory, long_queue};
  EXPECT_FALSE(PlaceAtEngine({}, options, DraftRequest()).has_value());
}

// A slow or failing engine may look idle because it answers so little. It must not attract
// requests.
TEST(PlaceAtEngineTest, AvoidsSlowAndFailingEngines) {
  std::vector<EngineOption> options = {IdleEngine(), IdleEngine(), IdleEngine()};
  options[0].slowdown = 5.0;
  options[1].failure_rate = 0.5;
  options[2].load.prefill_tokens = 8'000.0;
  const auto placement = PlaceAtEngine({}, options, DraftRequest());
  ASSERT_TRUE(placement.has_value());
  EXPECT_EQ(placement->option, 2U);
}

// The chosen engine is within all limits, whatever the load.
RC_GTEST_PROP(PlaceAtEngineTest, NeverExceedsTheLimits, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(0, 12);
  std::vector<EngineOption> options(count);
  for (auto& option : options) {
    option = IdleEngine();
    option.load.active = *rc::gen::inRange(0, 140);
    option.load.prefill_tokens = *rc::gen::inRange(0, 100'000);
    option.load.memory_tokens = *rc::gen::inRange(0, 1'000'000);
    option.slowdown = *rc::gen::inRange(1, 10);
  }
  const auto placement = PlaceAtEngine({}, options, DraftRequest());
  if (!placement) return;
  const auto& chosen = options.at(placement->option);
  RC_ASSERT(chosen.load.active < chosen.slots);
  RC_ASSERT(placement->queue_ms <= DraftRequest().queue_limit_ms);
  RC_ASSERT(chosen.load.memory_tokens + 12'380.0 <= chosen.memory_capacity);
}

// Requests to a plain service must not wait at a slow instance while another one is free.
TEST(PlaceAtServiceTest, PrefersTheFasterSoundInstance) {
  const std::vector<ServiceOption> options = {
      {.active = 1.0, .slots = 6.0, .latency_ms = 150.0},
      {.active = 2.0, .slots = 6.0, .latency_ms = 30.0},
      {.active = 0.0, .slots = 6.0, .latency_ms = 30.0, .failure_rate = 0.4}};
  const auto choice = PlaceAtService(options, 2.0);
  ASSERT_TRUE(choice.has_value());
  EXPECT_EQ(choice->option, 1U);
}

TEST(PlaceAtServiceTest, OffersNothingWhenAllQueuesAreFull) {
  const std::vector<ServiceOption> options = {{.active = 12.0, .slots = 6.0, .latency_ms = 30.0}};
  EXPECT_FALSE(PlaceAtService(options, 2.0).has_value());
}

// A flood of requests with the widest objective must not fill the queues beyond what other requests
// can bear, so the limit depends on the limiting objective only.
TEST(QueueWaitLimitTest, IsBoundedByTheLimitingObjective) {
  const EngineSpeed speed;
  EXPECT_LE(QueueWaitLimitMs(speed, 600.0, 20.0, 0.0, {}) + speed.first_event_ms + 20.0, 600.0);
}

// Large prompts must still be admitted under load.
TEST(QueueWaitLimitTest, KeepsAMinimumForLargePrompts) {
  EXPECT_GT(QueueWaitLimitMs({}, 600.0, 5000.0, 0.0, {}), 100.0);
}

// Prompts of 17,000 tokens take 400 ms each to prefill, and the objective is 500 ms. Half of the
// objective may be spent waiting for the previous prompt; otherwise engines are idle between two
// prompts while requests are refused.
TEST(QueueWaitLimitTest, KeepsEnginesBusyWherePromptsTakeMostOfTheObjective) {
  EXPECT_GE(QueueWaitLimitMs({}, 500.0, 400.0, 400.0, {}), 250.0);
}

// A few large prompts arrive among many short ones. The queues that short prompts are admitted to
// must not be longer than those that large prompts are admitted to, or all large ones are refused.
TEST(QueueWaitLimitTest, IsTheSameForShortAndLargePrompts) {
  constexpr double kLargeMs = 130.0;
  constexpr double kShortMs = 20.0;
  RecentWork recent;
  for (int prompt = 0; prompt < 400; ++prompt) {
    recent.AddPrompt(std::chrono::milliseconds(500), prompt % 4 == 0 ? kLargeMs : kShortMs);
  }
  const double typical = recent.TypicalPrefillMs();
  EXPECT_GT(typical, 0.7 * kLargeMs);
  EXPECT_LT(typical, kLargeMs);
  const double limit = QueueWaitLimitMs({}, 500.0, kLargeMs, typical, {});
  EXPECT_LT(QueueWaitLimitMs({}, 500.0, kShortMs, typical, {}), 1.2 * limit);
}

// A workspace that was served more than others is admitted to shorter queues only. The limit falls
// without a step, because competing workspaces could settle on either side of it.
TEST(QueueWaitLimitTest, FallsWithTheUsedShare) {
  double previous = QueueWaitLimitMs({}, 600.0, 20.0, 0.0, {.share_use = 0.0});
  for (const double use : {0.9, 1.0, 1.1, 1.2, 1.5, 2.0, 4.0}) {
    const double limit = QueueWaitLimitMs({}, 600.0, 20.0, 0.0, {.share_use = use});
    EXPECT_LT(limit, previous) << use;
    previous = limit;
  }
  EXPECT_LT(previous, 0.05 * QueueWaitLimitMs({}, 600.0, 20.0, 0.0, {}));
}

// All slots are in use. One large workspace sends four times as many requests as another, and a
// small one sends a request now and then. The large workspaces must get similar numbers of slots,
// and the small one must not be refused.
TEST(MaxSlotFractionTest, DividesSlotsEvenlyAndKeepsSlotsForSmallWorkspaces) {
  constexpr int kTicks = 2000;
  constexpr int kStreamTicks = 40;
  constexpr int kWindowTicks = 80;
  constexpr double kSlots = 120.0;
  constexpr double kCapacity = kSlots * kWindowTicks / kStreamTicks;
  const std::array<int, 3> requests_per_tick = {16, 4, 0};
  std::array<std::vector<int>, 3> begun;
  std::array<int, 3> served{};
  int refused_of_small = 0;
  const auto count_since = [&](std::size_t workspace, int tick) {
    const auto& times = begun[workspace];
    return static_cast<double>(times.end() - std::lower_bound(times.begin(), times.end(), tick));
  };
  for (int tick = 0; tick < kTicks; ++tick) {
    for (std::size_t workspace = 0; workspace < begun.size(); ++workspace) {
      const int requests = workspace == 2 ? (tick % 8 == 0 ? 1 : 0) : requests_per_tick[workspace];
      for (int request = 0; request < requests; ++request) {
        double active = 0.0;
        for (std::size_t other = 0; other < begun.size(); ++other) {
          active += count_since(other, tick - kStreamTicks + 1);
        }
        const double small = count_since(2, tick - kWindowTicks + 1);
        const double use =
            count_since(workspace, tick - kWindowTicks + 1) / ((kCapacity - small) / 2.0);
        if (active < kSlots * MaxSlotFraction({.share_use = use})) {
          begun[workspace].push_back(tick);
          if (tick >= kTicks / 2) ++served[workspace];
        } else if (workspace == 2 && tick > 2 * kWindowTicks) {
          ++refused_of_small;
        }
      }
    }
  }
  EXPECT_GT(2 * served[1], served[0]);
  EXPECT_EQ(refused_of_small, 0);
  EXPECT_GT(served[0] + served[1], kCapacity * kTicks / 2 / kWindowTicks * 3 / 4);
}

// Requests must not be held until their deadline and then refused: one that is placed at the end of
// this time still has over half of its objective for the queue and the prefill at the runner.
TEST(HoldLimitTest, LeavesOverHalfOfTheObjectiveToTheRunner) {
  using std::chrono::milliseconds;
  EXPECT_LE(HoldLimit(milliseconds(600), milliseconds(15'000), {}), milliseconds(300));
  EXPECT_LE(HoldLimit(milliseconds(600), milliseconds(90), {}), milliseconds(45));
  EXPECT_LE(HoldLimit(milliseconds(600), milliseconds(15'000), {.is_caller_retry = true}),
            milliseconds(800));
}

// Callers ignore a Retry-After beyond a third of their remaining time, and equal values would bring
// all of them back at the same moment.
TEST(RetryAfterTest, StaysWithinAThirdOfTheTimeLeftAndSpreads) {
  const auto left = std::chrono::milliseconds(3000);
  for (const auto objective : {std::chrono::milliseconds(600), std::chrono::milliseconds(9000)}) {
    const auto latest = RetryAfter(objective, left, {}, {}, 0.999);
    EXPECT_LE(latest, left / 3);
    EXPECT_GT(latest, RetryAfter(objective, left, {}, {}, 0.0) * 3 / 2);
  }
}

// The queues that refuse a request now are gone after one objective. A caller that is told to come
// back much later is late without need.
TEST(RetryAfterTest, ComesBackWithinOneObjective) {
  using std::chrono::milliseconds;
  EXPECT_LE(RetryAfter(milliseconds(800), milliseconds(15'000), milliseconds(1300),
                       {.share_use = 0.9}, 0.999),
            milliseconds(800));
}

// A workspace that used twice its share in the window is within it again when half of the window
// has passed; before that its request would be refused again.
TEST(RetryAfterTest, ASenderBeyondItsShareComesBackWhenItIsWithinItAgain) {
  using std::chrono::milliseconds;
  const auto after = RetryAfter(milliseconds(100), milliseconds(15'000), milliseconds(2000),
                                {.share_use = 2.0}, 0.999);
  EXPECT_GT(after, milliseconds(990));
  EXPECT_LE(after, milliseconds(1000));
}

}  // namespace
}  // namespace pomelospar::dispatch
