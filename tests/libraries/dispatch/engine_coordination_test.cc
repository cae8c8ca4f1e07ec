#include "libraries/dispatch/engine_coordination.h"

#include <gmock/gmock.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace pomelospar::dispatch {
namespace {

TEST(ChooseCoordinatorTest, MovesOnlyTheEnginesOfARouterThatDied) {
  EXPECT_EQ(ChooseCoordinator(1, {}), std::nullopt);
  const std::vector<std::string_view> all = {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"};
  const std::vector<std::string_view> left = {"10.0.0.4", "10.0.0.1", "10.0.0.3"};
  std::map<std::string_view, int> engines_of;
  for (std::uint64_t engine = 1; engine <= 400; ++engine) {
    const auto before = *ChooseCoordinator(engine, all);
    const auto after = *ChooseCoordinator(engine, left);
    ++engines_of[before];
    EXPECT_TRUE(before == "10.0.0.2" || after == before) << engine;
  }
  for (const auto& [router, engines] : engines_of) EXPECT_GT(engines, 50) << router;
}

TEST(IsAcceptableTest, RefusesAnEngineThatIsBusierThanAssumed) {
  const EngineOption option = {.load = {.prefill_tokens = 3'000.0, .active = 4.0}, .slots = 8.0};
  const auto proposal = ProposePlacement(option, 2'000.0);
  EXPECT_TRUE(IsAcceptable(proposal, option.load));
  EXPECT_TRUE(IsAcceptable(proposal, {.prefill_tokens = 3'500.0, .active = 7.0}));
  EXPECT_FALSE(IsAcceptable(proposal, {.prefill_tokens = 9'000.0, .active = 4.0}));
  EXPECT_FALSE(IsAcceptable(proposal, {.prefill_tokens = 3'000.0, .active = 8.0}));
}

/// Many routers before engines that prefill one prompt after another. A router knows its own
/// placements at once and those of the others as of its last report.
class StaleViewReplay {
 public:
  static constexpr int kRouters = 64;
  static constexpr int kEngines = 90;
  static constexpr double kReportPeriodMs = 250.0;
  static constexpr double kObjectiveMs = 800.0;

  /// Returns the share of the prompts whose first event comes within the objective while the
  /// arrivals keep the engines busy for the fraction `utilization` of the time.
  double ShareInTime(double utilization, bool with_coordinators) {
    // Short, usual and uncached long prompts.
    std::discrete_distribution<std::size_t> size({0.5, 0.35, 0.15});
    constexpr std::array<double, 3> kSizes = {1'000.0, 4'000.0, 17'000.0};
    const double mean_ms = 0.5 * this->TimeOf(kSizes[0]) + 0.35 * this->TimeOf(kSizes[1]) +
                           0.15 * this->TimeOf(kSizes[2]);
    std::exponential_distribution<> interval(utilization * kEngines / mean_ms);
    int arrivals = 0;
    int in_time = 0;
    for (double now = interval(this->random); now < 10'000.0; now += interval(this->random)) {
      const auto router = static_cast<std::size_t>(this->random() % kRouters);
      const double tokens = kSizes[size(this->random)];
      this->UpdateViews(now);
      const auto engine = this->Choose(router, now, tokens, with_coordinators);
      auto& busy_until = this->busy_until_ms[engine];
      busy_until = std::max(busy_until, now) + this->TimeOf(tokens);
      this->views[router][engine] += tokens;
      ++arrivals;
      if (busy_until + this->speed.first_event_ms - now <= kObjectiveMs) ++in_time;
    }
    return static_cast<double>(in_time) / arrivals;
  }

 private:
  double TimeOf(double tokens) const { return PrefillMs(this->speed, tokens, 6'000.0, 10.0); }

  double UnfinishedTokens(std::size_t engine, double now) const {
    return std::max(this->busy_until_ms[engine] - now, 0.0) / this->TimeOf(1.0);
  }

  void UpdateViews(double now) {
    for (std::size_t router = 0; router < kRouters; ++router) {
      auto& next = this->next_report_ms[router];
      if (next < 0.0) next = kReportPeriodMs * static_cast<double>(router) / kRouters;
      if (now < next) continue;
      next += kReportPeriodMs;
      for (std::size_t engine = 0; engine < kEngines; ++engine) {
        this->views[router][engine] = this->UnfinishedTokens(engine, now);
      }
    }
  }

  std::size_t Choose(std::size_t router, double now, double tokens, bool with_coordinators) {
    constexpr int kMaxProposals = 6;
    std::uniform_real_distribution<> draw(1e-9, 1.0);
    std::vector<EngineOption> options(kEngines);
    for (auto& option : options) {
      option = {.memory_capacity = 1e6,
                .slots = 128.0,
                .unreported_work_ms = UnreportedWorkMs(50.0, draw(this->random))};
    }
    for (int proposals = 0;; ++proposals) {
      for (std::size_t engine = 0; engine < kEngines; ++engine) {
        options[engine].load.prefill_tokens = this->views[router][engine];
      }
      const auto placement =
          PlaceAtEngine(this->speed, options, {.prompt_tokens = tokens, .queue_limit_ms = 1e6});
      if (!with_coordinators || proposals == kMaxProposals) return placement->option;
      const auto proposal = ProposePlacement(options[placement->option], placement->prefill_tokens);
      const double unfinished = this->UnfinishedTokens(placement->option, now);
      if (IsAcceptable(proposal, {.prefill_tokens = unfinished})) return placement->option;
      this->views[router][placement->option] = unfinished;
    }
  }

  EngineSpeed speed = {.prompt_tokens_per_ms = 56.0,
                       .step_ms = 6.5,
                       .step_ms_per_request = 0.1,
                       .chunk_tokens = 1024.0,
                       .attention_ms_per_million_pairs = 0.3,
                       .first_event_ms = 100.0};
  std::mt19937_64 random{20261204};
  std::vector<double> busy_until_ms = std::vector<double>(kEngines, 0.0);
  std::vector<double> next_report_ms = std::vector<double>(kRouters, -1.0);
  std::vector<std::vector<double>> views =
      std::vector<std::vector<double>>(kRouters, std::vector<double>(kEngines, 0.0));
};

// 64 routers place prompts at 90 engines, each of which gets several prompts between two reports.
// All routers that see the same engine idle choose it, and its queue grows beyond the objective
// while other engines are idle.
TEST(EngineCoordinationTest, RoutersWithOldViewsDoNotCrowdAnEngine) {
  constexpr double kUtilization = 0.85;
  const double alone = StaleViewReplay().ShareInTime(kUtilization, false);
  const double coordinated = StaleViewReplay().ShareInTime(kUtilization, true);
  RecordProperty("in_time_alone", std::to_string(alone));
  RecordProperty("in_time_coordinated", std::to_string(coordinated));
  EXPECT_GE(coordinated, 0.99);
  EXPECT_GT(coordinated, alone);
}

}  // namespace
}  // namespace pomelospar::dispatch
