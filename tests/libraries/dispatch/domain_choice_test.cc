#include "libraries/dispatch/domain_choice.h"

#include <gmock/gmock.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <random>
#include <vector>

#include "libraries/dispatch/placement.h"

namespace pomelospar::dispatch {
namespace {

using std::chrono::milliseconds;

TEST(LeavingPriceTest, AddsThePriceOfTheBytesToTheRoundTrip) {
  EXPECT_DOUBLE_EQ(LeavingPriceMs(std::nullopt, 1e9), 2.0);
  EXPECT_DOUBLE_EQ(LeavingPriceMs(0.0, 1e9), 2.0);
  EXPECT_DOUBLE_EQ(LeavingPriceMs(80.0, 512.0 * 1024.0), 42.0);
}

DomainCandidates Candidates(double home_cost, double home_ms, double away_cost, double away_ms) {
  DomainCandidates candidates;
  candidates.Add(0, false, home_cost, home_ms);
  candidates.Add(1, true, away_cost, away_ms);
  return candidates;
}

// Guards against requests that leave although their callers gain less than the operator's price.
TEST(ChooseDomainTest, LeavesIfTheGainExceedsThePrice) {
  EXPECT_EQ(ChooseDomain(Candidates(100.0, 100.0, 101.0, 60.0), {})->option, 0U);
  const auto choice = ChooseDomain(Candidates(100.0, 100.0, 99.0, 60.0), {});
  EXPECT_EQ(choice->option, 1U);
  EXPECT_EQ(choice->reason, LeavingReason::kGain);
}

// Guards against a high price that makes callers miss their objective while it could be met.
TEST(ChooseDomainTest, LeavesIfOnlyAnotherDomainMeetsTheObjective) {
  const LeavingTerms terms = {.price_ms = 500.0, .objective_ms = 600.0};
  const auto choice = ChooseDomain(Candidates(700.0, 700.0, 900.0, 400.0), terms);
  EXPECT_EQ(choice->option, 1U);
  EXPECT_EQ(choice->reason, LeavingReason::kObjective);
  EXPECT_EQ(ChooseDomain(Candidates(700.0, 590.0, 900.0, 400.0), terms)->option, 0U);
  EXPECT_EQ(ChooseDomain(Candidates(700.0, 700.0, 900.0, 599.0), terms)->option, 0U);
  EXPECT_EQ(ChooseDomain(Candidates(700.0, 700.0, 900.0, 400.0), {.price_ms = 500.0})->option, 0U);
}

// Guards against a refusal at home while another domain has room: the limit of the share does not
// apply to requests that would otherwise be refused.
TEST(ChooseDomainTest, StaysIfItMayNotLeaveUnlessItsDomainHasNoRoom) {
  const LeavingTerms terms = {.may_leave = false};
  const auto stays = ChooseDomain(Candidates(900.0, 900.0, 10.0, 10.0), terms);
  EXPECT_EQ(stays->option, 0U);
  EXPECT_FALSE(stays->leaves);
  EXPECT_EQ(stays->reason, LeavingReason::kGain);
  DomainCandidates away;
  away.Add(3, true, 900.0, 900.0);
  const auto leaves = ChooseDomain(away, terms);
  EXPECT_EQ(leaves->option, 3U);
  EXPECT_EQ(leaves->reason, LeavingReason::kNoRoom);
  EXPECT_FALSE(ChooseDomain(DomainCandidates(), terms).has_value());
}

// Guards against a change for deployments without the setting. The expected choice is computed as
// before the setting existed: the lowest cost wins, and another domain costs 2 ms.
TEST(ChooseDomainTest, WithoutAPriceTheLowestCostWins) {
  std::mt19937 random(7);
  std::uniform_int_distribution<int> cost(0, 12);
  std::bernoulli_distribution is_away(0.6);
  for (int round = 0; round < 20'000; ++round) {
    DomainCandidates candidates;
    std::size_t expected = 0;
    double expected_cost = 1e9;
    for (std::size_t option = 0; option < 5; ++option) {
      const bool away = is_away(random);
      const double total = cost(random) + DomainCostMs({}, away);
      candidates.Add(option, away, total, total);
      if (total >= expected_cost) continue;
      expected = option;
      expected_cost = total;
    }
    ASSERT_EQ(ChooseDomain(candidates, {})->option, expected);
  }
}

// A prefix that is cached in another domain is worth a transfer, unless the price is higher.
TEST(PlaceAtEngineDomainTest, ACachedPrefixElsewhereCountsAsGain) {
  std::vector<EngineOption> options(2, {.memory_capacity = 900'000.0, .slots = 128.0});
  options[1].other_domain = true;
  options[1].cached_tokens = 5'400.0;
  EngineRequest request = {.prompt_tokens = 12'000.0, .queue_limit_ms = 400.0};
  request.leaving.price_ms = LeavingPriceMs(500.0, 72'000.0);
  EXPECT_EQ(PlaceAtEngine({}, options, request)->option, 1U);
  EXPECT_EQ(PlaceAtEngine({}, options, request)->domain.reason, LeavingReason::kGain);
  request.leaving.price_ms = LeavingPriceMs(20'000.0, 72'000.0);
  EXPECT_EQ(PlaceAtEngine({}, options, request)->option, 0U);
}

TEST(PlaceAtServiceDomainTest, FollowsTheHomeFirstRule) {
  const std::vector<ServiceOption> options = {
      {.active = 1.0, .slots = 6.0, .latency_ms = 30.0},
      {.active = 0.0, .slots = 6.0, .latency_ms = 20.0, .other_domain = true}};
  EXPECT_EQ(PlaceAtService(options, 2.0)->option, 1U);
  EXPECT_EQ(PlaceAtService(options, 2.0, {.price_ms = 40.0})->option, 0U);
  EXPECT_EQ(PlaceAtService(options, 2.0, {.may_leave = false})->option, 0U);
}

// Guards against routers that all move to the same neighbor within one delay of their view.
TEST(LeavingShareTest, ChangesByABoundedStepEachPeriod) {
  LeavingShare share;
  core::TimePoint now{std::chrono::hours(1)};
  const DomainChoice pays = {.reason = LeavingReason::kGain};
  double before = share.At(now);
  EXPECT_EQ(before, 0.0);
  for (int step = 0; step < 400; ++step) {
    const DomainChoice stays;
    share.Count(now, step < 200 ? pays : stays);
    now += milliseconds(50);
    const double after = share.At(now);
    EXPECT_LE(std::abs(after - before), LeavingShare::kMaxStep);
    before = after;
    if (step == 199) {
      EXPECT_GT(after, 0.95);
    }
  }
  EXPECT_LT(before, 0.05);
}

// Guards against a share from an earlier load that applies to the first requests after a pause, and
// against a router with few requests whose share never rises.
TEST(LeavingShareTest, OutlastsAShortPauseOnly) {
  LeavingShare share;
  core::TimePoint now{std::chrono::hours(1)};
  for (int step = 0; step < 20; ++step) {
    share.Count(now, {.reason = LeavingReason::kGain});
    now += milliseconds(900);
  }
  EXPECT_GT(share.At(now), 0.8);
  EXPECT_EQ(share.At(now + std::chrono::seconds(3)), 0.0);
}

TEST(LeavingShareTest, TellsIfSomeLeft) {
  LeavingShare share;
  const core::TimePoint now{std::chrono::hours(1)};
  EXPECT_FALSE(share.SomeLeave(now));
  share.Count(now, {.reason = LeavingReason::kNoRoom, .leaves = true});
  EXPECT_TRUE(share.SomeLeave(now + LeavingShare::kQuietTime));
  EXPECT_FALSE(share.SomeLeave(now + LeavingShare::kQuietTime + milliseconds(1)));
}

}  // namespace
}  // namespace pomelospar::dispatch
